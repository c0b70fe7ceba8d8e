// Pausing and resuming.
#include "sapphirespar/policy/preemption.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

// A request lets lower ones run on while its time to spare is more than
// this many times that until the next free slot.
constexpr int kPatience = 4;

// A pause is expected to last this many times as long as the request that it
// makes way for.
constexpr int kPauseLength = 2;

bool
Serves(const slot_state& aState, const std::string& aPool)
{
  const auto& pools = aState.mView.mPools;
  return std::ranges::find(pools, aPool) != pools.end();
}

// Whether a first-tier request waits that might use a slot of the upstream.
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

// Time to spare until the answer is due, less what is left of it.
steady_duration
SlackOf(const slot_holder& aHolder,
        const scheduler_hooks& aHooks,
        steady_time aNow)
{
  const auto expected = aHooks.mEstimate(aHolder.mRequest);
  const auto left =
    std::max(expected.mAnswer - aHolder.Held(aNow), steady_duration::zero());
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
    // What got its slot in this very step is not taken off again.
    const bool lower =
      !holder.mPaused && holder.mRunningSince < aNow && rules.mTier > aTier;
    if (lower && Serves(upstream, aFor.mPool) && MayServe(upstream, aFor) &&
        MaySwap(upstream) &&
        (aTier <= kFirstTier || !FirstTierWaitsFor(aState, upstream))) {
      const auto slack = SlackOf(holder, aHooks, aNow);
      candidates.push_back({ id, rules.mTier, rules.mWeight, slack });
    }
  }
  return candidates;
}

// Pauses a lower request and gives its slot to the one at aKey. Returns false
// if there is nothing to pause.
bool
PreemptFor(scheduler_state& aState,
           const scheduler_hooks& aHooks,
           class_lane& aLane,
           const queue_key& aKey,
           steady_time aNow,
           decisions& aMade)
{
  const auto& request = aLane.mQueue.at(aKey);
  if (IsLost(aLane, aKey, request, aNow)) {
    return false;
  }
  const auto pause = aState.Estimate().SlotTime(request.mClass) * kPauseLength;
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
  aState.SetPaused(holder, true, aNow, aMade);
  aState.Assign(aLane, aKey, holder.mUpstream->mView.mId, aNow, aMade);
  return true;
}

} // namespace

void
Preempt(scheduler_state& aState,
        const scheduler_hooks& aHooks,
        pool_queue& aPool,
        class_lane& aLane,
        steady_time aNow,
        decisions& aMade)
{
  while (!aLane.mQueue.empty()) {
    const queue_key key = aLane.mQueue.begin()->first;
    const auto nextFree = PredictNextFree(aPool, aState.Estimate());
    const bool urgent = key.mStartBy - aNow <= nextFree * kPatience;
    if (!urgent || !PreemptFor(aState, aHooks, aLane, key, aNow, aMade)) {
      return;
    }
  }
}

void
Resume(scheduler_state& aState,
       pool_queue& aPool,
       steady_time aNow,
       decisions& aMade)
{
  for (const auto* upstream : aState.MembersOf(aPool)) {
    for (auto* holder : aState.Slots().PausedAt(*upstream)) {
      if (FreeSlots(*upstream) == 0) {
        break;
      }
      aState.SetPaused(*holder, false, aNow, aMade);
    }
  }
}

void
ResumeUnnamed(scheduler_state& aState, steady_time aNow, decisions& aMade)
{
  for (auto* holder : aState.Slots().PausedAtUnnamed()) {
    aState.SetPaused(*holder, false, aNow, aMade);
  }
}

} // namespace sapphirespar::policy
