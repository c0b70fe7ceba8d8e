// Decides whether a stream is moved off an engine that is about to be taken
// away.
#pragma once

#include <chrono>
#include <optional>

namespace sapphirespar::policy {

struct leaving_stream
{
  // Time until the engine is taken away; negative once it is overdue.
  std::chrono::milliseconds mLeavesIn{ 0 };
  // Upper bound of the tokens that the engine has yet to generate; unset if the
  // request names none.
  std::optional<double> mTokensLeft;
  // Time that a token takes there now.
  double mTokenMs = 0;
};

// Returns whether the stream would be cut off if it stayed. A stream that ends
// in time stays, since a move makes its caller wait and takes room elsewhere.
bool IsCutOffIfItStays(const leaving_stream& aStream);

} // namespace sapphirespar::policy
