// Implements preemption and resumption.
#include "sapphirespar/policy/preemption.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

// A request preempts lower ones only when the time until its latest start is at
// most this many times the expected time until the next free slot.
constexpr int kUrgencyFactor = 4;

// A pause is expected to last this many times the slot time of the request that
// causes it.
constexpr int kPauseFactor = 2;

bool
Serves(const slot_state& aState, const std::string& aPool)
{
  const auto& pools = aState.mView.mPools;
  return std::ranges::find(pools, aPool) != pools.end();
}

// Returns whether a first-tier request waits that could use a slot of the
// upstream.
bool
FirstTierWaitsFor(const scheduler_state& aState, const slot_state& aUpstream)
{
  return std::ranges::any_of(
    aUpstream.mView.mPools, [&](const std::string& aName) {
      const auto pool = aState.Pools().find(aName);
      return pool != aState.Pools().end() &&
             std::ranges::any_of(
               pool->second.mLanes, [](const class_lane& aLane) {
                 return aLane.IsFirstTier() && !aLane.mQueue.empty();
               });
    });
}

// Returns the time until the answer is due minus the expected remaining run
// time.
steady_duration
SlackOf(const slot_holder& aHolder,
        const scheduler_hooks& aHooks,
        steady_time aNow)
{
  const auto expected = aHooks.mEstimate(aHolder.mRequest);
  const auto left = std::max(expected.mAnswer - aHolder.HeldTime(aNow),
                             steady_duration::zero());
  return aHolder.mRequest.mAnswerBy - aNow - left;
}

std::vector<pause_candidate>
PauseCandidates(const scheduler_state& aState,
                const scheduler_hooks& aHooks,
                const queued_request& aFor,
                unsigned aTier,
                steady_time aNow)
{
  std::vector<pause_candidate> candidates;
  for (const auto& [id, holder] : aState.Slots().Holders()) {
    const auto& upstream = *holder.mUpstream;
    const auto& rules = aState.RulesOf(holder.mRequest.mClass);
    // A request that got its slot in the current step is not paused again.
    const bool lower =
      !holder.mPaused && holder.mRunningSince < aNow && rules.mTier > aTier;
    if (lower && Serves(upstream, aFor.mPool) && MayServe(upstream, aFor) &&
        CanPreempt(upstream) &&
        (aTier <= kFirstTier || !FirstTierWaitsFor(aState, upstream))) {
      const auto slack = SlackOf(holder, aHooks, aNow);
      candidates.push_back({ id, rules.mTier, rules.mWeight, slack });
    }
  }
  return candidates;
}

// Pauses a lower request and gives its slot to the one at aKey. Returns false
// if no request can be paused or the request at aKey has expired.
bool
PreemptFor(scheduler_state& aState,
           const scheduler_hooks& aHooks,
           class_lane& aLane,
           const queue_key& aKey,
           steady_time aNow,
           decisions& aDecisions)
{
  const auto& request = aLane.mQueue.at(aKey);
  if (IsExpired(aLane, aKey, request, aNow)) {
    return false;
  }
  const auto pause = aState.Estimate().SlotTime(request.mClass) * kPauseFactor;
  auto candidates =
    PauseCandidates(aState, aHooks, request, aLane.mClass.mTier, aNow);
  if (!aLane.IsFirstTier()) {
    std::erase_if(candidates, [&](const pause_candidate& aItem) {
      return aItem.mSlack <= pause;
    });
  }
  const auto chosen = aHooks.mChoosePause(candidates, pause);
  if (!chosen) {
    return false;
  }
  auto& holder = *aState.Slots().Find(*chosen);
  aState.SetPaused(holder, true, aNow, aDecisions);
  aState.Assign(aLane, aKey, holder.mUpstream->mView.mId, aNow, aDecisions);
  return true;
}

} // namespace

void
Preempt(scheduler_state& aState,
        const scheduler_hooks& aHooks,
        pool_queue& aPool,
        class_lane& aLane,
        steady_time aNow,
        decisions& aDecisions)
{
  while (!aLane.mQueue.empty()) {
    const queue_key key = aLane.mQueue.begin()->first;
    const auto nextFree = PredictNextFreeSlot(aPool, aState.Estimate());
    const bool urgent = key.mStartBy - aNow <= nextFree * kUrgencyFactor;
    if (!urgent || !PreemptFor(aState, aHooks, aLane, key, aNow, aDecisions)) {
      return;
    }
  }
}

void
Resume(scheduler_state& aState,
       pool_queue& aPool,
       steady_time aNow,
       decisions& aDecisions)
{
  for (const auto* upstream : aState.MembersOf(aPool)) {
    for (auto* holder : aState.Slots().PausedAt(*upstream)) {
      if (FreeSlots(*upstream) == 0) {
        break;
      }
      aState.SetPaused(*holder, false, aNow, aDecisions);
    }
  }
}

void
ResumeUnlisted(scheduler_state& aState, steady_time aNow, decisions& aDecisions)
{
  for (auto* holder : aState.Slots().PausedAtUnlisted()) {
    aState.SetPaused(*holder, false, aNow, aDecisions);
  }
}

} // namespace sapphirespar::policy
