// Implements queue limits, share credit and the order of service of lanes.
#include "sapphirespar/policy/class_lanes.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace sapphirespar::policy {

namespace {

// One account may use at most 1 / kAccountQueueDivisor of a class's queue.
constexpr unsigned kAccountQueueDivisor = 2;

// Every class outside the first tier gets at least this share.
constexpr unsigned kMinimumSharePercent = 1;

auto
SortKeyOf(const request_class& aClass)
{
  return std::tie(aClass.mTier, aClass.mId);
}

steady_time
EarliestStartOf(const class_lane& aLane)
{
  return aLane.mQueue.begin()->first.mStartBy;
}

// For how long the lane has accrued the credit that it has; zero without any.
// Lanes with short requests would fall behind those with long ones if each
// request counted the same.
double
CreditInTime(const class_lane& aLane)
{
  return aLane.HasCredit()
           ? static_cast<double>(aLane.mCredit.count()) / MinimumShare(aLane)
           : 0;
}

} // namespace

class_lane&
AddLane(class_lanes& aLanes, const request_class& aClass)
{
  class_lane lane;
  lane.mClass = aClass;
  const auto next = std::ranges::lower_bound(
    aLanes, SortKeyOf(aClass), {}, [](const class_lane& aLane) {
      return SortKeyOf(aLane.mClass);
    });
  return *aLanes.insert(next, std::move(lane));
}

void
SortLanes(class_lanes& aLanes)
{
  std::ranges::sort(aLanes, {}, [](const class_lane& aLane) {
    return SortKeyOf(aLane.mClass);
  });
}

bool
IsFull(const class_lane& aLane, const account_id& aAccount)
{
  const auto limit = aLane.mClass.mQueueLimit;
  if (aLane.mQueue.size() >= limit) {
    return true;
  }
  const auto found = aLane.mByAccount.find(aAccount);
  const auto accountLimit =
    (limit + kAccountQueueDivisor - 1) / kAccountQueueDivisor;
  return found != aLane.mByAccount.end() && found->second >= accountLimit;
}

void
Push(class_lane& aLane, const queue_key& aKey, queued_request aRequest)
{
  ++aLane.mByAccount[aRequest.mAccount];
  aLane.mQueue.emplace(aKey, std::move(aRequest));
}

std::optional<queued_request>
Remove(class_lane& aLane, const queue_key& aKey)
{
  auto taken = Extract(aLane.mQueue, aKey);
  if (taken) {
    const auto count = aLane.mByAccount.find(taken->mAccount);
    if (--count->second == 0) {
      aLane.mByAccount.erase(count);
    }
  }
  return taken;
}

std::size_t
WaitingCount(std::span<const class_lane> aLanes)
{
  return std::transform_reduce(
    aLanes.begin(),
    aLanes.end(),
    std::size_t{ 0 },
    std::plus<>{},
    [](const class_lane& aLane) { return aLane.mQueue.size(); });
}

double
MinimumShare(const class_lane& aLane)
{
  if (aLane.IsFirstTier()) {
    return 0;
  }
  constexpr double kPercent = 100;
  return std::max(aLane.mClass.mMinimumSharePercent, kMinimumSharePercent) /
         kPercent;
}

void
AccrueCredit(class_lanes& aLanes,
             unsigned aSlots,
             steady_duration aTime,
             const std::function<steady_duration(const class_id&)>& aSlotTime)
{
  steady_duration longest{};
  for (const auto& lane : aLanes) {
    longest = std::max(longest, aSlotTime(lane.mClass.mId));
  }
  for (auto& lane : aLanes) {
    if (lane.mQueue.empty()) {
      continue;
    }
    const auto accrued = [&](steady_duration aSpan) {
      return std::chrono::duration_cast<steady_duration>(
        aSpan * (MinimumShare(lane) * aSlots));
    };
    // All slots may be taken for as long as the longest work runs, and credit
    // that accrues meanwhile must not be lost. The lower bound also shrinks a
    // debt that was charged with the default slot time before the class's own
    // was known.
    const auto slotTime = aSlotTime(lane.mClass.mId);
    lane.mCredit = std::clamp(
      lane.mCredit + accrued(aTime), -slotTime, slotTime + accrued(longest));
  }
}

void
ChargeCredit(class_lane& aLane, steady_duration aSlotTime)
{
  aLane.mCredit = std::max(aLane.mCredit - aSlotTime, -aSlotTime);
}

bool
Precedes(const class_lane& aLeft, const class_lane& aRight)
{
  const auto rank = [](const class_lane& aLane) {
    const bool hasCredit = aLane.HasCredit();
    const auto tier =
      aLane.IsFirstTier() || !hasCredit ? aLane.mClass.mTier : kFirstTier + 1;
    return std::tuple(aLane.IsFirstTier() ? 0 : 1,
                      hasCredit ? 0 : 1,
                      tier,
                      -CreditInTime(aLane),
                      EarliestStartOf(aLane));
  };
  return rank(aLeft) < rank(aRight);
}

class_lane*
NextLane(class_lanes& aLanes, std::span<const class_lane* const> aSkipped)
{
  class_lane* next = nullptr;
  for (auto& lane : aLanes) {
    const bool skipped = std::ranges::find(aSkipped, &lane) != aSkipped.end();
    if (lane.mQueue.empty() || skipped) {
      continue;
    }
    if (!next || Precedes(lane, *next)) {
      next = &lane;
    }
  }
  return next;
}

double
RequestsAhead(const class_lane& aLane, const queue_key& aKey)
{
  if (aLane.mQueue.empty()) {
    return 0;
  }
  const double size = aLane.mQueue.size();
  const auto first = EarliestStartOf(aLane);
  const auto last = aLane.mQueue.rbegin()->first.mStartBy;
  if (aKey.mStartBy < first) {
    return 0;
  }
  if (aKey.mStartBy >= last) {
    return size;
  }
  const std::chrono::duration<double> span = last - first;
  const std::chrono::duration<double> part = aKey.mStartBy - first;
  return size * (part / span);
}

} // namespace sapphirespar::policy
