// Cuts a stream of server-sent events into whole events, so that a caller is
// never sent a part of one.
#pragma once

#include <string>
#include <string_view>

namespace sapphirespar::wire {

// What one piece of the stream completed.
struct sse_events
{
  // Whole events, to be passed on as they are.
  std::string mBytes;
  // How many of them carry data other than the end mark.
  unsigned mCount = 0;
  // Whether "data: [DONE]" was among them; nothing after it is kept.
  bool mDone = false;
  // The last identifier among them; empty if none has one.
  std::string mLastId;
};

class sse_splitter
{
public:
  // Takes the next piece of the stream.
  sse_events Feed(std::string_view aPiece);

  // What has come after the last whole event.
  const std::string& Remainder() const { return mPartial; }

private:
  // The beginning of an event whose end has not arrived.
  std::string mPartial;
};

} // namespace sapphirespar::wire
