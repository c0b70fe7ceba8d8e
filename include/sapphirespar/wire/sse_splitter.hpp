// Splits a stream of server-sent events into complete events, so that no
// partial event is forwarded to a caller.
#pragma once

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
  // The last event identifier among them; empty if no event has one.
  std::string mLastId;
};

class sse_splitter
{
public:
  // Takes the next piece of the stream and returns the events it completes.
  sse_events Feed(std::string_view aPiece);

  // Returns whether a stream that ends here was cut inside an event: its last
  // line has no end, or an event has no blank line after it. Comments and blank
  // lines are outside events.
  bool InsideEvent() const;

  // Returns the bytes after the last event that Feed returned.
  const std::string& Remainder() const { return mPartial; }

private:
  // Bytes that Feed has not returned yet: the start of an incomplete event, or
  // what follows the end marker.
  std::string mPartial;
};

} // namespace sapphirespar::wire
