// Finds event boundaries in a stream of server-sent events.
#include "sapphirespar/wire/sse_splitter.hpp"

#include <algorithm>
#include <utility>

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

// Returns the value of an "id" line.
std::string_view
IdValue(std::string_view aLine, std::string_view aField)
{
  auto value = aLine.substr(aField.size());
  value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
  return value;
}

} // namespace

std::optional<std::string_view>
sse_splitter::NextLine()
{
  if (mAfterCarriageReturn && mLineStart < mPartial.size()) {
    mAfterCarriageReturn = false;
    mLineStart += mPartial[mLineStart] == '\n' ? 1 : 0;
    mSearched = std::max(mSearched, mLineStart);
  }
  const auto end = mPartial.find_first_of(kLineEnds, mSearched);
  if (end == std::string::npos) {
    mSearched = mPartial.size();
    return std::nullopt;
  }
  const auto rest = std::string_view(mPartial).substr(mLineStart);
  const auto line = rest.substr(0, end - mLineStart);
  const bool both = mPartial.compare(end, kLineEnds.size(), kLineEnds) == 0;
  mLineStart = end + (both ? kLineEnds.size() : 1);
  mSearched = mLineStart;
  mAfterCarriageReturn = !both && mPartial[end] == '\r';
  return line;
}

void
sse_splitter::AddLine(std::string_view aLine)
{
  constexpr std::string_view kEndMarker = "data: [DONE]";
  constexpr std::string_view kData = "data:";
  constexpr std::string_view kId = "id:";
  mEvent.mIsEndMarker = !mEvent.mBegun && aLine == kEndMarker;
  mEvent.mHasData = mEvent.mHasData || aLine.starts_with(kData);
  if (mEvent.mId.empty() && aLine.starts_with(kId)) {
    mEvent.mId = IdValue(aLine, kId);
  }
  mEvent.mBegun = true;
}

sse_events
sse_splitter::Feed(std::string_view aPiece)
{
  mPartial += aPiece;
  mBytesSinceData += aPiece.size();
  sse_events result;
  std::size_t returned = 0;
  while (!mDone) {
    const auto line = NextLine();
    if (!line) {
      break;
    }
    if (!line->empty()) {
      AddLine(*line);
    } else if (mEvent.mBegun) {
      // The blank line that ends the event.
      returned = mLineStart;
      const auto event = std::exchange(mEvent, {});
      mDone = event.mIsEndMarker;
      const bool counts = event.mHasData && !mDone;
      if (counts && result.mCount == 0) {
        result.mFirstId = event.mId;
      }
      result.mCount += counts ? 1 : 0;
      if (event.mHasData) {
        mBytesSinceData = mPartial.size() - returned;
      }
      if (!event.mId.empty()) {
        result.mLastId = event.mId;
        result.mEndsWithoutId = false;
      } else if (counts) {
        result.mEndsWithoutId = true;
      }
    }
  }
  result.mDone = mDone && returned > 0;
  result.mBytes = mPartial.substr(0, returned);
  mPartial.erase(0, returned);
  mLineStart -= returned;
  mSearched -= returned;
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
