// Reads the events of a streamed answer out of pieces of any size.
#pragma once

#include <string>
#include <string_view>

namespace sapphirespar::tools {

class sse_reader
{
public:
  // Takes the next piece of the body.
  void Add(std::string_view aPiece);

  // The answer's text so far.
  const std::string& Text() const { return mText; }
  // Events that held text so far.
  unsigned Tokens() const { return mTokens; }
  // Whether the closing "[DONE]" has come.
  bool Done() const { return mDone; }
  // The outcome that an error event told, or empty.
  const std::string& ErrorOutcome() const { return mErrorOutcome; }

private:
  void TakeEvent(std::string_view aEvent);
  void TakeData(std::string_view aData);

  // Bytes after the last whole event.
  std::string mRest;
  std::string mText;
  std::string mErrorOutcome;
  unsigned mTokens = 0;
  bool mDone = false;
};

} // namespace sapphirespar::tools
