// Finds event boundaries in a stream of server-sent events.
#include "sapphirespar/wire/sse_splitter.hpp"

#include <algorithm>

namespace sapphirespar::wire {

namespace {

// Returns the offset after the blank line that ends the event, or npos.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aStart)
{
  constexpr std::string_view kBoundary = "\n\n";
  constexpr std::string_view kCrLfBoundary = "\r\n\r\n";
  const auto plain = aText.find(kBoundary, aStart);
  const auto crLf = aText.find(kCrLfBoundary, aStart);
  if (plain < crLf) {
    return plain + kBoundary.size();
  }
  return crLf == std::string_view::npos ? crLf : crLf + kCrLfBoundary.size();
}

// Returns the value of the event's "id" line, or an empty view.
std::string_view
EventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
      return line.substr(0, line.find('\r'));
    }
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size()
                                                       : end + 1);
  }
  return {};
}

} // namespace

sse_events
sse_splitter::Feed(std::string_view aPiece)
{
  constexpr std::string_view kDone = "data: [DONE]";
  constexpr std::string_view kData = "data:";
  constexpr std::string_view kDataLine = "\ndata:";
  mPartial += aPiece;
  sse_events result;
  std::size_t start = 0;
  while (!result.mDone) {
    const auto end = FindEventEnd(mPartial, start);
    if (end == std::string::npos) {
      break;
    }
    const auto event = std::string_view(mPartial).substr(start, end - start);
    result.mDone = event.substr(0, event.find_first_of("\r\n")) == kDone;
    const bool hasData =
      event.starts_with(kData) || event.find(kDataLine) != event.npos;
    result.mCount += hasData && !result.mDone ? 1 : 0;
    const auto id = EventId(event);
    if (!id.empty()) {
      result.mLastId = id;
    }
    start = end;
  }
  result.mBytes = mPartial.substr(0, start);
  mPartial.erase(0, start);
  return result;
}

} // namespace sapphirespar::wire
