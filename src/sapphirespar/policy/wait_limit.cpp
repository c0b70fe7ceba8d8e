// The longest wait of either kind of work.
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {

namespace {

using std::chrono::milliseconds;

// Callers that were refused together come back spread over this time, so that
// one with a target of 2 s can still be in time. Measured, as the shares below,
// in docs/bench/2026-12-04-placement.md.
constexpr milliseconds kSpread{ 500 };
constexpr milliseconds kSoonest{ 500 };

// Bulk work may queue for its whole target while at most the first share of the
// slots is taken, and for the least part of it from the second share on.
constexpr double kRoomySlots = 0.6;
constexpr double kFullSlots = 0.9;
constexpr double kLeastPart = 0.5;

milliseconds
LongestQueueing(milliseconds aTarget, double aSlotsTaken)
{
  const double full = std::clamp(
    (aSlotsTaken - kRoomySlots) / (kFullSlots - kRoomySlots), 0.0, 1.0);
  return std::chrono::duration_cast<milliseconds>(
    aTarget * std::lerp(1.0, kLeastPart, full));
}

// How much longer the request would wait than it may; zero if it may wait.
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
      : aWait.mQueueing - LongestQueueing(aWait.mTarget, aWait.mSlotsTaken);
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
  const auto spread = std::chrono::duration_cast<milliseconds>(kSpread * aDraw);
  return std::max(excess, kSoonest) + spread;
}

} // namespace sapphirespar::policy
