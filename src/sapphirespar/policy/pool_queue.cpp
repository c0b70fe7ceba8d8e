// Predicts waiting times in one pool and reserves slots for higher tiers.
#include "sapphirespar/policy/pool_queue.hpp"

#include <algorithm>
#include <numeric>

namespace sapphirespar::policy {

namespace {

// Smallest number of slots that a prediction assumes.
constexpr double kMinimumCapacity = 0.01;

// Standard deviations above the mean demand that the reserve covers: nearly all
// of the demand of the first tier, and most of that of the other higher tiers.
constexpr double kFirstTierDeviations = 3;
constexpr double kHigherTierDeviations = 1;

template<class Predicate>
unsigned
RunningWhere(const pool_queue& aPool, Predicate aOfTier)
{
  return std::transform_reduce(aPool.mLanes.begin(),
                               aPool.mLanes.end(),
                               0u,
                               std::plus<>{},
                               [&](const class_lane& aLane) {
                                 return aOfTier(aLane.mClass.mTier)
                                          ? aLane.mRunning
                                          : 0;
                               });
}

unsigned
RunningAbove(const pool_queue& aPool, unsigned aTier)
{
  return RunningWhere(aPool, [&](unsigned aOther) { return aOther < aTier; });
}

unsigned
RunningBelow(const pool_queue& aPool, unsigned aTier)
{
  return RunningWhere(aPool, [&](unsigned aOther) { return aOther > aTier; });
}

// Returns the slot time of the requests that are served before one of aLane
// with aKey.
steady_duration
WorkAhead(const pool_queue& aPool,
          const class_lane& aLane,
          const queue_key& aKey,
          const answer_estimate& aEstimate)
{
  steady_duration work{};
  for (const auto& other : aPool.mLanes) {
    if (other.mClass.mTier > aLane.mClass.mTier) {
      continue;
    }
    const double requests = other.mClass.mTier < aLane.mClass.mTier
                              ? other.mQueue.size()
                              : RequestsAhead(other, aKey);
    work += std::chrono::duration_cast<steady_duration>(
      aEstimate.SlotTime(other.mClass.mId) * requests);
  }
  return work;
}

// Returns the slots to keep free for the lanes above aTier, not counting those
// that these lanes already use.
unsigned
ReservedAbove(const pool_queue& aPool,
              unsigned aTier,
              double aDeviations,
              unsigned aSlots,
              steady_time aNow)
{
  double need = 0;
  for (const auto& lane : aPool.mLanes) {
    need += lane.mClass.mTier < aTier ? lane.mSlotDemand.MeanAt(aNow) : 0;
  }
  const auto reserve = ReservedSlots(need, aDeviations, aSlots);
  const auto used = RunningAbove(aPool, aTier);
  return reserve > used ? reserve - used : 0;
}

bool
AnyCannotPause(std::span<slot_state* const> aMembers)
{
  return std::ranges::any_of(aMembers, [](const slot_state* aState) {
    return !aState->mView.mCanPause;
  });
}

} // namespace

unsigned
UsableSlots(std::span<slot_state* const> aMembers)
{
  return std::transform_reduce(
    aMembers.begin(),
    aMembers.end(),
    0u,
    std::plus<>{},
    [](const slot_state* aState) {
      const auto slots = aState->mView.mSlots;
      const auto external = std::min(aState->mView.mExternalLoad, slots);
      return TakesWork(*aState) ? slots - external : 0;
    });
}

unsigned
FreeSlots(std::span<slot_state* const> aMembers)
{
  return std::transform_reduce(aMembers.begin(),
                               aMembers.end(),
                               0u,
                               std::plus<>{},
                               [](const slot_state* aState) {
                                 return TakesWork(*aState) ? FreeSlots(*aState)
                                                           : 0;
                               });
}

bool
MayTakeSlot(const pool_queue& aPool,
            const class_lane& aLane,
            std::span<slot_state* const> aMembers,
            steady_time aNow)
{
  const auto free = FreeSlots(aMembers);
  if (free == 0 || aLane.IsFirstTier()) {
    return free > 0;
  }
  if (!AnyCannotPause(aMembers)) {
    return true;
  }
  const auto slots = UsableSlots(aMembers);
  const auto first =
    ReservedAbove(aPool, kFirstTier + 1, kFirstTierDeviations, slots, aNow);
  const auto higher =
    aLane.HasCredit()
      ? 0
      : ReservedAbove(
          aPool, aLane.mClass.mTier, kHigherTierDeviations, slots, aNow);
  return free > std::max(first, higher);
}

steady_duration
PredictWait(const pool_queue& aPool,
            const class_lane& aLane,
            const queue_key& aKey,
            std::span<slot_state* const> aMembers,
            const answer_estimate& aEstimate)
{
  const double slots = UsableSlots(aMembers);
  if (slots == 0) {
    return {};
  }
  const auto above = RunningAbove(aPool, aLane.mClass.mTier);
  const auto left =
    std::max({ slots - above, MinimumShare(aLane) * slots, kMinimumCapacity });
  const auto queueing = std::chrono::duration_cast<steady_duration>(
    WorkAhead(aPool, aLane, aKey, aEstimate) / left);
  // If lower work can be paused, the first request in the queue does not wait
  // for a slot to be freed.
  const bool canPreempt =
    RunningBelow(aPool, aLane.mClass.mTier) > 0 && !AnyCannotPause(aMembers);
  return canPreempt ? queueing
                    : queueing + PredictNextFreeSlot(aPool, aEstimate);
}

steady_duration
PredictNextFreeSlot(const pool_queue& aPool, const answer_estimate& aEstimate)
{
  steady_duration held{};
  unsigned running = 0;
  for (const auto& lane : aPool.mLanes) {
    held += aEstimate.SlotTime(lane.mClass.mId) * lane.mRunning;
    running += lane.mRunning;
  }
  return running == 0 ? steady_duration::zero() : held / running / running;
}

} // namespace sapphirespar::policy
