// Operations on the state of the tiered scheduler.
#include "sapphirespar/policy/scheduler_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::policy {

void
scheduler_state::Configure(bundle_ptr aBundle)
{
  mBundle = std::move(aBundle);
  for (auto& [name, pool] : mPools) {
    for (auto& lane : pool.mLanes) {
      lane.mClass = ClassOf(lane.mClass.mId);
    }
    SortLanes(pool.mLanes);
  }
}

const request_class&
scheduler_state::RulesOf(const class_id& aId) const
{
  static const request_class sDefaultRules;
  const auto* found = mBundle ? FindClass(*mBundle, aId) : nullptr;
  return found ? *found : sDefaultRules;
}

request_class
scheduler_state::ClassOf(const class_id& aId) const
{
  auto rules = RulesOf(aId);
  rules.mId = aId;
  return rules;
}

pool_queue&
scheduler_state::PoolOf(const std::string& aPool)
{
  auto& pool = mPools[aPool];
  if (pool.mPool.empty()) {
    pool.mPool = aPool;
  }
  return pool;
}

class_lane&
scheduler_state::LaneIn(pool_queue& aPool, const class_id& aClass)
{
  const auto found =
    std::ranges::find_if(aPool.mLanes, [&](const class_lane& aLane) {
      return aLane.mClass.mId == aClass;
    });
  return found != aPool.mLanes.end() ? *found
                                     : AddLane(aPool.mLanes, ClassOf(aClass));
}

std::span<slot_state* const>
scheduler_state::MembersOf(const pool_queue& aPool) const
{
  return mSlots.Members(aPool.mPool);
}

admission_view
scheduler_state::AdmissionOf(const pool_queue& aPool,
                             const class_lane& aLane,
                             steady_time aNow) const
{
  return { aPool, aLane, MembersOf(aPool), mEstimate, aNow };
}

bool
scheduler_state::IsWaiting(const request_id& aRequest) const
{
  return mPositions.contains(aRequest);
}

queue_key
scheduler_state::NewKey(steady_time aStartBy)
{
  return { aStartBy, ++mSequence };
}

void
scheduler_state::Enqueue(class_lane& aLane,
                         const queue_key& aKey,
                         queued_request aRequest)
{
  aRequest.mRunsOnce = !aLane.mClass.mIdempotent;
  mPositions.emplace(aRequest.mId,
                     queue_position{ aRequest.mPool, aRequest.mClass, aKey });
  Push(aLane, aKey, std::move(aRequest));
}

void
scheduler_state::Withdraw(const request_id& aRequest)
{
  if (const auto found = mPositions.find(aRequest); found != mPositions.end()) {
    const auto& [pool, classId, key] = found->second;
    Remove(LaneIn(PoolOf(pool), classId), key);
    mPositions.erase(found);
  }
}

void
scheduler_state::Assign(class_lane& aLane,
                        const queue_key& aKey,
                        const upstream_id& aUpstream,
                        steady_time aNow,
                        decisions& aDecisions)
{
  auto request = Remove(aLane, aKey);
  mPositions.erase(request->mId);
  ChargeCredit(aLane, mEstimate.SlotTime(aLane.mClass.mId));
  ++aLane.mRunning;
  aDecisions.mAssignments.push_back({ request->mId, aUpstream });
  mSlots.Take(*std::move(request), aUpstream, aNow);
}

void
scheduler_state::Adopt(queued_request aRequest,
                       const upstream_id& aUpstream,
                       steady_time aNow)
{
  if (mSlots.Find(aRequest.mId)) {
    return;
  }
  Withdraw(aRequest.mId);
  auto& lane = LaneIn(PoolOf(aRequest.mPool), aRequest.mClass);
  ++lane.mRunning;
  aRequest.mRunsOnce = !lane.mClass.mIdempotent;
  mSlots.Take(std::move(aRequest), aUpstream, aNow);
}

std::optional<slot_holder>
scheduler_state::Release(const completion& aCompletion, steady_time aNow)
{
  auto holder = mSlots.Release(aCompletion.mRequest);
  if (!holder) {
    return holder;
  }
  const auto& request = holder->mRequest;
  if (!holder->mPaused) {
    --LaneIn(PoolOf(request.mPool), request.mClass).mRunning;
  }
  mEstimate.AddCompletion(request, aCompletion, holder->HeldTime(aNow));
  return holder;
}

void
scheduler_state::SetPaused(slot_holder& aHolder,
                           bool aPaused,
                           steady_time aNow,
                           decisions& aDecisions)
{
  const auto& request = aHolder.mRequest;
  auto& lane = LaneIn(PoolOf(request.mPool), request.mClass);
  lane.mRunning += aPaused ? -1 : 1;
  mSlots.SetPaused(aHolder, aPaused, aNow);
  aDecisions.mPauses.push_back(
    { request.mId, aHolder.mUpstream->mView.mId, !aPaused });
}

waiting_queue::iterator
scheduler_state::Reject(class_lane& aLane,
                        waiting_queue::iterator aItem,
                        rejection aRejection,
                        decisions& aDecisions)
{
  const auto next = std::next(aItem);
  mPositions.erase(aItem->second.mId);
  aDecisions.mRejections.push_back(std::move(aRejection));
  Remove(aLane, queue_key(aItem->first));
  return next;
}

std::vector<scheduler_counts>
scheduler_state::Counts() const
{
  auto counts = mSlots.Counts();
  for (auto& count : counts) {
    const auto found = mPools.find(count.mPool);
    count.mQueued =
      found == mPools.end() ? 0 : WaitingCount(found->second.mLanes);
  }
  return counts;
}

} // namespace sapphirespar::policy
