// An incremental parser for the server-sent events of a streamed answer.
#pragma once

#include <string>
#include <string_view>

namespace sapphirespar::tools {

class sse_reader
{
public:
  // Parses the next piece of the body, which may have any size.
  void Add(std::string_view aPiece);

  // The answer's text so far.
  const std::string& Text() const { return mText; }
  // Number of deltas so far. A stand-in engine sends one for each token, or a
  // single one if its token interval is zero.
  unsigned Tokens() const { return mTokens; }
  // Whether the closing "[DONE]" event has arrived.
  bool Done() const { return mDone; }
  // The outcome reported by an error event; empty without one.
  const std::string& ErrorOutcome() const { return mErrorOutcome; }

private:
  void HandleEvent(std::string_view aEvent);
  void HandleData(std::string_view aData);

  // Bytes after the last complete event.
  std::string mBuffer;
  std::string mText;
  std::string mErrorOutcome;
  unsigned mTokens = 0;
  bool mDone = false;
};

} // namespace sapphirespar::tools
