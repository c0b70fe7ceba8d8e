// Applies the limits on waiting for interactive and bulk work.
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {

namespace {

using std::chrono::milliseconds;

// The retries of callers that are refused at the same time are spread over this
// time. It is short enough that a caller with a target of 2 s can still be in
// time.
constexpr milliseconds kRetryJitter{ 500 };
constexpr milliseconds kMinimumRetryAfter{ 500 };

// Bulk work may queue for its whole target while the share of slots taken is at
// most kLowSlotUse. The limit falls linearly to kMinimumTargetFraction of the
// target at kHighSlotUse and stays there.
constexpr double kLowSlotUse = 0.6;
constexpr double kHighSlotUse = 0.9;
constexpr double kMinimumTargetFraction = 0.5;

milliseconds
QueueingLimit(milliseconds aTarget, double aSlotsTaken)
{
  const double full = std::clamp(
    (aSlotsTaken - kLowSlotUse) / (kHighSlotUse - kLowSlotUse), 0.0, 1.0);
  return std::chrono::duration_cast<milliseconds>(
    aTarget * std::lerp(1.0, kMinimumTargetFraction, full));
}

// Returns by how much the expected wait exceeds its limit; zero if it does not.
milliseconds
Excess(const expected_wait& aWait)
{
  const auto limit = aWait.mInteractive
                       ? aWait.mPatience
                       : std::min(aWait.mTarget, aWait.mPatience);
  const auto late = aWait.mFirstEvent - limit;
  const auto queueing =
    aWait.mInteractive
      ? milliseconds::zero()
      : aWait.mQueueing - QueueingLimit(aWait.mTarget, aWait.mSlotsTaken);
  return std::max({ late, queueing, milliseconds::zero() });
}

} // namespace

std::optional<milliseconds>
CheckWaitLimit(const expected_wait& aWait, double aDraw)
{
  const auto excess = Excess(aWait);
  if (excess == milliseconds::zero()) {
    return std::nullopt;
  }
  const auto spread =
    std::chrono::duration_cast<milliseconds>(kRetryJitter * aDraw);
  return std::max(excess, kMinimumRetryAfter) + spread;
}

} // namespace sapphirespar::policy
