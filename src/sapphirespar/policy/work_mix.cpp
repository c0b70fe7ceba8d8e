// The fading sums of work of either kind.
#include "sapphirespar/policy/work_mix.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// Long enough for a few dozen requests at one router, short enough to follow a
// burst of one kind.
constexpr double kHalfLifeSeconds = 4;

// An engine's time for one output token of one of a dozen streams that run
// together: a step of about 5 ms.
constexpr double kOutputTokenMs = 0.4;

// Callers rarely use all the tokens that they allow.
constexpr double kOutputUsed = 0.6;

constexpr interactive_share kLowest = 0.25;
constexpr interactive_share kHighest = 0.6;

} // namespace

void
work_mix::Add(const prompt_work& aWork, steady_time aNow)
{
  const std::chrono::duration<double> passed = aNow - mFadedAt;
  const double kept =
    std::exp2(-std::max(passed.count(), 0.0) / kHalfLifeSeconds);
  mFadedAt = std::max(mFadedAt, aNow);
  mInteractiveMs *= kept;
  mBulkMs *= kept;
  const double work = ReadingMs(aWork.mPromptTokens) +
                      kOutputTokenMs * kOutputUsed * aWork.mMaximumOutputTokens;
  (aWork.mInteractive ? mInteractiveMs : mBulkMs) += work;
}

interactive_share
work_mix::Share() const
{
  const double total = mInteractiveMs + mBulkMs;
  return total > 0 ? std::clamp(mInteractiveMs / total, kLowest, kHighest)
                   : (kLowest + kHighest) / 2;
}

} // namespace sapphirespar::policy
