// Finds event boundaries in a stream of server-sent events.
#include "sapphirespar/wire/sse_splitter.hpp"

#include <algorithm>

namespace sapphirespar::wire {

namespace {

constexpr std::string_view kLineEnds = "\r\n";

// Returns the first line of aText with its end, which is a line feed, a
// carriage return or both. Without one, returns an empty view.
std::string_view
FirstLine(std::string_view aText)
{
  const auto end = aText.find_first_of(kLineEnds);
  if (end == std::string_view::npos) {
    return {};
  }
  return aText.substr(0, end + (aText.substr(end, 2) == kLineEnds ? 2 : 1));
}

bool
IsBlank(std::string_view aLine)
{
  return kLineEnds.find(aLine.front()) != std::string_view::npos;
}

// Returns the offset after the blank line that ends the event, or npos. Blank
// lines before the event belong to it.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aStart)
{
  bool inEvent = false;
  auto position = aStart;
  while (true) {
    const auto line = FirstLine(aText.substr(position));
    if (line.empty()) {
      return std::string_view::npos;
    }
    position += line.size();
    if (inEvent && IsBlank(line)) {
      return position;
    }
    inEvent = inEvent || !IsBlank(line);
  }
}

// Returns the value of the event's "id" line, or an empty view.
std::string_view
EventId(std::string_view aEvent)
{
  constexpr std::string_view kField = "id:";
  while (!aEvent.empty()) {
    const auto line = FirstLine(aEvent);
    if (line.starts_with(kField)) {
      auto value = line.substr(kField.size());
      value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
      return value.substr(0, value.find_first_of(kLineEnds));
    }
    aEvent.remove_prefix(line.empty() ? aEvent.size() : line.size());
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
  constexpr std::string_view kDataLineAfterCr = "\rdata:";
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
    const bool hasData = event.starts_with(kData) ||
                         event.find(kDataLine) != event.npos ||
                         event.find(kDataLineAfterCr) != event.npos;
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

bool
sse_splitter::InsideEvent() const
{
  std::string_view rest = mPartial;
  bool inside = false;
  while (!rest.empty()) {
    const auto line = FirstLine(rest);
    if (line.empty()) {
      return true;
    }
    inside = !IsBlank(line) && (inside || !line.starts_with(':'));
    rest.remove_prefix(line.size());
  }
  return inside;
}

} // namespace sapphirespar::wire
