// Implements the tiered scheduler.
#include "sapphirespar/policy/tiered_scheduler.hpp"

#include "sapphirespar/policy/admission.hpp"
#include "sapphirespar/policy/preemption.hpp"
#include "sapphirespar/policy/refusals.hpp"
#include "sapphirespar/policy/scheduler_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::policy {

namespace {

// Maximum number of requests of a lane that are tried at a time, in case no
// upstream can take the first ones.
constexpr unsigned kScanLimit = 16;

// A new request may always wait for at least 1 / kMinimumWaitDivisor of the
// time until its deadline, whatever its estimated length.
constexpr int kMinimumWaitDivisor = 4;

steady_time
DefaultStartBy(const queued_request& aRequest,
               const expected_times& aExpected,
               steady_time aNow)
{
  const auto due = std::min(aRequest.mFirstTokenBy, aRequest.mAnswerBy);
  const auto estimated =
    std::min(aRequest.mFirstTokenBy - aExpected.mFirstToken,
             aRequest.mAnswerBy - aExpected.mAnswer);
  return std::max(estimated, aNow + (due - aNow) / kMinimumWaitDivisor);
}

class tiered_scheduler : public scheduler
{
public:
  explicit tiered_scheduler(scheduler_hooks aHooks)
    : mHooks(std::move(aHooks))
  {
    if (!mHooks.mEstimate) {
      mHooks.mEstimate = [this](const queued_request& aRequest) {
        return mState.Estimate().Predict(aRequest);
      };
    }
    if (!mHooks.mStartBy) {
      mHooks.mStartBy = DefaultStartBy;
    }
    if (!mHooks.mChooseUpstream) {
      mHooks.mChooseUpstream = ChooseUpstream;
    }
    if (!mHooks.mChoosePause) {
      mHooks.mChoosePause = ChoosePause;
    }
  }

  void Configure(bundle_ptr aBundle) override;
  decisions SetUpstreams(std::span<const upstream_view> aUpstreams,
                         steady_time aNow) override;
  decisions Submit(queued_request aRequest, steady_time aNow) override;
  void Adopt(queued_request aRequest,
             const upstream_id& aUpstream,
             steady_time aNow) override;
  decisions Finish(const completion& aCompletion, steady_time aNow) override;
  decisions Withdraw(const request_id& aRequest, steady_time aNow) override;
  decisions Tick(steady_time aNow) override;
  std::vector<scheduler_counts> Counts() const override;

private:
  // One lane of one pool that may be served next.
  struct lane_candidate
  {
    pool_queue* mPool = nullptr;
    class_lane* mLane = nullptr;
  };

  enum class lane_filter
  {
    FirstTier,
    All,
  };

  using pool_list = std::vector<pool_queue*>;

  // Slots are assigned across all pools because pools share upstreams.
  pool_list AllPools();

  // Handles a request that is submitted again: a waiting one keeps its queue
  // position, a running one keeps its slot. Returns false for a new request.
  bool RepeatDecision(const request_id& aRequest, decisions& aDecisions);

  void RejectExpired(const pool_queue& aPool,
                     class_lane& aLane,
                     steady_time aNow,
                     decisions& aDecisions);
  void RejectUnservable(pool_queue& aPool, decisions& aDecisions);

  void Dispatch(const pool_list& aPools,
                steady_time aNow,
                decisions& aDecisions);
  void Serve(const pool_list& aPools,
             lane_filter aFilter,
             steady_time aNow,
             decisions& aDecisions);
  void PreemptIn(const pool_list& aPools,
                 lane_filter aFilter,
                 steady_time aNow,
                 decisions& aDecisions);
  bool ServeOne(const lane_candidate& aCandidate,
                steady_time aNow,
                decisions& aDecisions);

  scheduler_state mState;
  scheduler_hooks mHooks;
};

void
tiered_scheduler::Configure(bundle_ptr aBundle)
{
  mState.Configure(std::move(aBundle));
}

decisions
tiered_scheduler::SetUpstreams(std::span<const upstream_view> aUpstreams,
                               steady_time aNow)
{
  decisions result;
  mState.Slots().SetUpstreams(aUpstreams);
  ResumeUnlisted(mState, aNow, result);
  for (auto& [name, pool] : mState.Pools()) {
    RejectUnservable(pool, result);
  }
  Dispatch(AllPools(), aNow, result);
  return result;
}

decisions
tiered_scheduler::Submit(queued_request aRequest, steady_time aNow)
{
  decisions result;
  if (RepeatDecision(aRequest.mId, result)) {
    return result;
  }
  if (!mState.Slots().CanServe(aRequest)) {
    result.mRejections.push_back(RefuseNoUpstream(aRequest));
    return result;
  }
  auto& pool = mState.PoolOf(aRequest.mPool);
  auto& lane = mState.LaneIn(pool, aRequest.mClass);
  const auto expected = mHooks.mEstimate(aRequest);
  const auto key = mState.NewKey(mHooks.mStartBy(aRequest, expected, aNow));
  lane.mSlotDemand.AddRequest(aNow, expected.mSlotTime);
  if (auto refused =
        CheckAdmission(mState.AdmissionOf(pool, lane, aNow), key, aRequest)) {
    result.mRejections.push_back(*std::move(refused));
    return result;
  }
  mState.Enqueue(lane, key, std::move(aRequest));
  Dispatch({ &pool }, aNow, result);
  return result;
}

void
tiered_scheduler::Adopt(queued_request aRequest,
                        const upstream_id& aUpstream,
                        steady_time aNow)
{
  mState.Adopt(std::move(aRequest), aUpstream, aNow);
}

decisions
tiered_scheduler::Finish(const completion& aCompletion, steady_time aNow)
{
  decisions result;
  if (const auto holder = mState.Release(aCompletion, aNow)) {
    pool_list pools;
    for (const auto& pool : holder->mUpstream->mView.mPools) {
      pools.push_back(&mState.PoolOf(pool));
    }
    Dispatch(pools, aNow, result);
  }
  return result;
}

decisions
tiered_scheduler::Withdraw(const request_id& aRequest, steady_time)
{
  mState.Withdraw(aRequest);
  return {};
}

decisions
tiered_scheduler::Tick(steady_time aNow)
{
  decisions result;
  for (auto& [name, pool] : mState.Pools()) {
    for (auto& lane : pool.mLanes) {
      RejectExpired(pool, lane, aNow, result);
    }
  }
  Dispatch(AllPools(), aNow, result);
  return result;
}

std::vector<scheduler_counts>
tiered_scheduler::Counts() const
{
  return mState.Counts();
}

tiered_scheduler::pool_list
tiered_scheduler::AllPools()
{
  pool_list pools;
  for (auto& [name, pool] : mState.Pools()) {
    pools.push_back(&pool);
  }
  return pools;
}

bool
tiered_scheduler::RepeatDecision(const request_id& aRequest,
                                 decisions& aDecisions)
{
  const auto* holder = mState.Slots().Find(aRequest);
  if (!holder) {
    return mState.IsWaiting(aRequest);
  }
  aDecisions.mAssignments.push_back({ aRequest, holder->mUpstream->mView.mId });
  return true;
}

void
tiered_scheduler::RejectExpired(const pool_queue& aPool,
                                class_lane& aLane,
                                steady_time aNow,
                                decisions& aDecisions)
{
  auto item = aLane.mQueue.begin();
  while (item != aLane.mQueue.end() && item->first.mStartBy <= aNow) {
    const auto& [key, request] = *item;
    if (!IsExpired(aLane, key, request, aNow)) {
      ++item;
      continue;
    }
    const auto spare = key.mStartBy - request.mArrival;
    const auto after =
      RetryAfter(mState.AdmissionOf(aPool, aLane, aNow), spare);
    item =
      mState.Reject(aLane, item, RefuseTooLate(request, after), aDecisions);
  }
}

void
tiered_scheduler::RejectUnservable(pool_queue& aPool, decisions& aDecisions)
{
  for (auto& lane : aPool.mLanes) {
    for (auto item = lane.mQueue.begin(); item != lane.mQueue.end();) {
      item = mState.Slots().CanServe(item->second)
               ? std::next(item)
               : mState.Reject(
                   lane, item, RefuseNoUpstream(item->second), aDecisions);
    }
  }
}

void
tiered_scheduler::Dispatch(const pool_list& aPools,
                           steady_time aNow,
                           decisions& aDecisions)
{
  for (auto* pool : aPools) {
    // Late requests of the first tier may be many, so only Tick checks them.
    for (auto& lane : pool->mLanes) {
      if (!lane.IsFirstTier()) {
        RejectExpired(*pool, lane, aNow, aDecisions);
      }
    }
    const auto slots = UsableSlots(mState.MembersOf(*pool));
    AccrueCredit(pool->mLanes,
                 slots,
                 aNow - std::exchange(pool->mAccruedAt, aNow),
                 [this](const class_id& aClass) {
                   return mState.Estimate().SlotTime(aClass);
                 });
  }
  Serve(aPools, lane_filter::FirstTier, aNow, aDecisions);
  PreemptIn(aPools, lane_filter::FirstTier, aNow, aDecisions);
  for (auto* pool : aPools) {
    Resume(mState, *pool, aNow, aDecisions);
  }
  Serve(aPools, lane_filter::All, aNow, aDecisions);
  PreemptIn(aPools, lane_filter::All, aNow, aDecisions);
}

void
tiered_scheduler::PreemptIn(const pool_list& aPools,
                            lane_filter aFilter,
                            steady_time aNow,
                            decisions& aDecisions)
{
  for (auto* pool : aPools) {
    for (auto& lane : pool->mLanes) {
      if (aFilter == lane_filter::All || lane.IsFirstTier()) {
        Preempt(mState, mHooks, *pool, lane, aNow, aDecisions);
      }
    }
  }
}

void
tiered_scheduler::Serve(const pool_list& aPools,
                        lane_filter aFilter,
                        steady_time aNow,
                        decisions& aDecisions)
{
  std::vector<const class_lane*> skipped;
  for (;;) {
    lane_candidate best;
    for (auto* pool : aPools) {
      auto* lane = NextLane(pool->mLanes, skipped);
      if (lane && (!best.mLane || Precedes(*lane, *best.mLane))) {
        best = { pool, lane };
      }
    }
    const bool excluded = best.mLane && aFilter == lane_filter::FirstTier &&
                          !best.mLane->IsFirstTier();
    if (!best.mLane || excluded) {
      return;
    }
    if (!ServeOne(best, aNow, aDecisions)) {
      skipped.push_back(best.mLane);
    }
  }
}

// Assigns a slot to the first request of the lane that can use one; returns
// false if there is none.
bool
tiered_scheduler::ServeOne(const lane_candidate& aCandidate,
                           steady_time aNow,
                           decisions& aDecisions)
{
  auto& [pool, lane] = aCandidate;
  const auto members = mState.MembersOf(*pool);
  if (!MayTakeSlot(*pool, *lane, members, aNow)) {
    return false;
  }
  unsigned tried = 0;
  for (const auto& [key, request] : lane->mQueue) {
    if (tried++ == kScanLimit) {
      return false;
    }
    if (IsExpired(*lane, key, request, aNow)) {
      continue;
    }
    const auto expected = mHooks.mEstimate(request);
    const auto* chosen =
      mHooks.mChooseUpstream({ members, request, expected, aNow });
    if (chosen) {
      mState.Assign(*lane, queue_key(key), chosen->mView.mId, aNow, aDecisions);
      return true;
    }
  }
  return false;
}

} // namespace

scheduler_ptr
MakeTieredScheduler(scheduler_hooks aHooks)
{
  return std::make_unique<tiered_scheduler>(std::move(aHooks));
}

} // namespace sapphirespar::policy
