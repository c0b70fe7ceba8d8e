// Computes the progress deadlines of streams.
#include "sapphirespar/policy/progress_deadline.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

using namespace std::chrono_literals;

// Up to this multiple of the expected time, a stream counts as slow rather than
// stalled.
constexpr int kStallFactor = 10;

constexpr steady_duration kMinimumFirstTokenLimit = 5s;
constexpr steady_duration kMinimumBetweenTokensLimit = 2s;

} // namespace

progress_limits
LimitsFor(steady_duration aFirstToken, steady_duration aBetweenTokens)
{
  return { std::max(aFirstToken * kStallFactor, kMinimumFirstTokenLimit),
           std::max(aBetweenTokens * kStallFactor,
                    kMinimumBetweenTokensLimit) };
}

progress_deadline::progress_deadline(progress_limits aLimits,
                                     steady_time aStart,
                                     steady_time aAnswerBy)
  : mLimits(aLimits)
  , mAnswerBy(aAnswerBy)
  , mLast(aStart)
{
}

void
progress_deadline::NoteProgress(steady_time aNow)
{
  mLast = aNow;
  mStarted = true;
}

void
progress_deadline::SetPaused(bool aPaused, steady_time aNow)
{
  mPaused = aPaused;
  mLast = aNow;
}

steady_time
progress_deadline::Due() const
{
  if (mPaused) {
    return mAnswerBy;
  }
  const auto limit = mStarted ? mLimits.mBetweenTokens : mLimits.mFirstToken;
  return std::min(mLast + limit, mAnswerBy);
}

} // namespace sapphirespar::policy
