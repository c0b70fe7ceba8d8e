// Compares the rest of a stream with the time that its engine has left.
#include "sapphirespar/policy/leaving_stream.hpp"

namespace sapphirespar::policy {
namespace {

// Engines may be taken away this much sooner than they say: what they write is
// some hundred milliseconds old when it is read.
constexpr std::chrono::duration<double, std::milli> kEarliness{ 400 };

} // namespace

bool
IsCutOffIfItStays(const leaving_stream& aStream)
{
  if (!aStream.mTokensLeft) {
    return true;
  }
  const std::chrono::duration<double, std::milli> rest(*aStream.mTokensLeft *
                                                       aStream.mTokenMs);
  return rest + kEarliness > aStream.mLeavesIn;
}

} // namespace sapphirespar::policy
