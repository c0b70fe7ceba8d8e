// Splits a body into server-sent events and reads their data lines.
#include "sse_reader.hpp"

#include "standin_http.hpp"

namespace sapphirespar::tools {
namespace {

constexpr std::string_view kEventEnd = "\n\n";
constexpr std::string_view kData = "data: ";

} // namespace

void
sse_reader::Add(std::string_view aPiece)
{
  mBuffer += aPiece;
  std::string_view unparsed = mBuffer;
  for (auto end = unparsed.find(kEventEnd); end != std::string_view::npos;
       end = unparsed.find(kEventEnd)) {
    HandleEvent(unparsed.substr(0, end));
    unparsed.remove_prefix(end + kEventEnd.size());
  }
  mBuffer.erase(0, mBuffer.size() - unparsed.size());
}

void
sse_reader::HandleEvent(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    const auto line = aEvent.substr(0, end);
    if (line.starts_with(kData)) {
      HandleData(line.substr(kData.size()));
    }
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
  }
}

void
sse_reader::HandleData(std::string_view aData)
{
  if (aData == "[DONE]") {
    mDone = true;
    return;
  }
  const auto event = ParseObject(aData);
  if (!event) {
    return;
  }
  if (const auto* error = event->if_contains("error");
      error != nullptr && error->is_object()) {
    mErrorOutcome = TextOr(error->as_object(), "outcome", "unknown");
    return;
  }
  const auto* choices = event->if_contains("choices");
  if (choices == nullptr || !choices->is_array()) {
    return;
  }
  for (const auto& choice : choices->as_array()) {
    const auto* delta =
      choice.is_object() ? choice.as_object().if_contains("delta") : nullptr;
    if (delta != nullptr && delta->is_object()) {
      mText += TextOr(delta->as_object(), "content", "");
      ++mTokens;
    }
  }
}

} // namespace sapphirespar::tools
