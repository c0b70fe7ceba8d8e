// Fading counts of an upstream's failures and delays.
#include "sapphirespar/policy/passive_health.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBlock{ 250 };
constexpr milliseconds kLongestBlock{ 2000 };

// Long enough to tell a failing upstream by its answers, short enough to try
// again one that has recovered.
constexpr double kHalfLifeSeconds = 3;

// Results that count as good before there are any.
constexpr double kPriorResults = 2;

// A request that fails is lost or comes back a second or two later.
constexpr double kFailureMs = 1500;

// Share of a new delay in the mean.
constexpr double kDelayWeight = 0.25;
constexpr double kLongestDelayMs = 4000;

} // namespace

double
passive_health::Kept(steady_time aNow) const
{
  const std::chrono::duration<double> passed = aNow - mFadedAt;
  return std::exp2(-std::max(passed.count(), 0.0) / kHalfLifeSeconds);
}

void
passive_health::Fade(steady_time aNow)
{
  const double kept = Kept(aNow);
  mResults *= kept;
  mFailures *= kept;
  mLateMs *= kept;
  mFadedAt = std::max(mFadedAt, aNow);
}

void
passive_health::AddConnectFailure(steady_time aNow)
{
  const auto block = kFirstBlock * (1U << std::min(mUnreached, 3U));
  mBlockedUntil = aNow + std::min(block, kLongestBlock);
  ++mUnreached;
}

void
passive_health::AddResponse()
{
  mUnreached = 0;
  mBlockedUntil = {};
}

void
passive_health::AddResult(bool aFailed, steady_time aNow)
{
  Fade(aNow);
  mResults += 1;
  mFailures += aFailed ? 1 : 0;
}

void
passive_health::AddDelay(double aLateMs, steady_time aNow)
{
  Fade(aNow);
  const double late = std::clamp(aLateMs, 0.0, kLongestDelayMs);
  mLateMs += kDelayWeight * (late - mLateMs);
}

double
passive_health::FailureShare(steady_time aNow) const
{
  const double kept = Kept(aNow);
  return mFailures * kept / (mResults * kept + kPriorResults);
}

double
passive_health::PenaltyMs(steady_time aNow) const
{
  return kFailureMs * FailureShare(aNow) + mLateMs * Kept(aNow);
}

} // namespace sapphirespar::policy
