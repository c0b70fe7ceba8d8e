// Lanes of classes.
#include "sapphirespar/policy/class_lanes.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace sapphirespar::policy {

namespace {

// One account may fill at most one part in this many of a class's queue.
constexpr unsigned kQueuePartsPerAccount = 2;

} // namespace

class_lane&
LaneOf(class_lanes& aLanes, const request_class& aClass)
{
  const auto place = [](const request_class& aItem) {
    return std::tie(aItem.mTier, aItem.mId);
  };
  const auto found = std::ranges::lower_bound(
    aLanes, place(aClass), {}, [&](const class_lane& aLane) {
      return place(aLane.mClass);
    });
  if (found != aLanes.end() && found->mClass.mId == aClass.mId) {
    return *found;
  }
  return *aLanes.insert(found, class_lane{ aClass, {}, {} });
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
    (limit + kQueuePartsPerAccount - 1) / kQueuePartsPerAccount;
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
  auto taken = TakeOut(aLane.mQueue, aKey);
  if (taken) {
    const auto count = aLane.mByAccount.find(taken->mAccount);
    if (--count->second == 0) {
      aLane.mByAccount.erase(count);
    }
  }
  return taken;
}

std::size_t
Waiting(std::span<const class_lane> aLanes)
{
  return std::transform_reduce(
    aLanes.begin(),
    aLanes.end(),
    std::size_t{ 0 },
    std::plus<>{},
    [](const class_lane& aLane) { return aLane.mQueue.size(); });
}

} // namespace sapphirespar::policy
