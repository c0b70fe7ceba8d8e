// Splits a stream of server-sent events into complete events, so that no
// partial event is forwarded to a caller.
#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

// The events that one piece of the stream completed.
struct sse_events
{
  // The complete events, byte for byte.
  std::string mBytes;
  // Number of events with data, without the end marker "data: [DONE]".
  unsigned mCount = 0;
  // Whether the end marker "data: [DONE]" was among them. mBytes ends with it.
  bool mDone = false;
  // The identifiers of the first event with data, and the last one among all
  // events; empty if these have none.
  std::string mFirstId;
  std::string mLastId;
  // Whether events with data follow the one with mLastId, or the start if no
  // event has an identifier. The stream can't be resumed after these.
  bool mEndsWithoutId = false;
};

// Looks at each byte of the stream once, however the stream is cut into pieces.
class sse_splitter
{
public:
  // aLimitBytes: see Overlong.
  explicit sse_splitter(
    std::size_t aLimitBytes = std::numeric_limits<std::size_t>::max())
    : mLimitBytes(aLimitBytes)
  {
  }

  // Takes the next piece of the stream and returns the events it completes.
  // Returns nothing after the end marker; what follows it is kept.
  sse_events Feed(std::string_view aPiece);

  // Returns whether more than the limit of bytes followed the last event with
  // data: an unfinished event, comments, or bytes after the end marker. The
  // stream should not be read further then.
  bool Overlong() const { return mBytesSinceData > mLimitBytes; }

  // Returns the number of bytes after the last event with data.
  std::size_t BytesSinceData() const { return mBytesSinceData; }

  // Returns whether a stream that ends here was cut inside an event: its last
  // line has no end, or an event has no blank line after it. Comments and blank
  // lines are outside events.
  bool InsideEvent() const;

  // Returns the bytes after the last event that Feed returned.
  const std::string& Remainder() const { return mPartial; }

private:
  // What the lines of an incomplete event said.
  struct open_event
  {
    // Whether it has any line that is not blank.
    bool mBegun = false;
    bool mHasData = false;
    bool mIsEndMarker = false;
    std::string mId;
  };

  // Returns the next complete line without its end. It stays valid until
  // mPartial changes.
  std::optional<std::string_view> NextLine();

  // Adds a line that is not blank to mEvent.
  void AddLine(std::string_view aLine);

  std::size_t mLimitBytes;
  std::size_t mBytesSinceData = 0;
  // Bytes that Feed has not returned yet: the start of an incomplete event, or
  // what follows the end marker.
  std::string mPartial;
  // Offsets in mPartial: the start of the incomplete line, and the first byte
  // that was not searched for a line end. mLineStart <= mSearched.
  std::size_t mLineStart = 0;
  std::size_t mSearched = 0;
  // Whether a line ended with a carriage return before mLineStart, so that a
  // line feed there belongs to it.
  bool mAfterCarriageReturn = false;
  open_event mEvent;
  // Whether the end marker was returned.
  bool mDone = false;
};

} // namespace sapphirespar::wire
