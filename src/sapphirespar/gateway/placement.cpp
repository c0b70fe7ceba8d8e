// Candidates for the choice of an upstream, and the load that a choice adds.
#include "placement.hpp"

#include "sapphirespar/policy/engine_choice.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Streams with a shorter target for pauses notice the reading of one long
// prompt beside them.
constexpr milliseconds kInteractiveGap{ 600 };

// A silent upstream is given up for another one after this many times the
// target latency, and never sooner than the shortest time.
constexpr int kPatienceInTargets = 3;
constexpr milliseconds kShortestPlainPatience{ 300 };
constexpr milliseconds kShortestStreamPatience{ 1000 };
constexpr int kPatienceInGaps = 4;

// What a place in another data centre costs a plain request, in requests that
// run there.
constexpr double kFarCost = 0.3;

// What a failing plain upstream costs, in requests that run there.
constexpr double kFailureCost = 8;

std::vector<upstream_ptr>
Candidates(const forward_services& aServices,
           const forwarded_request& aForwarded,
           std::span<const upstream_ptr> aTried)
{
  auto members = aServices.mUpstreams.Members(aForwarded.mPool);
  std::erase_if(members, [&](const upstream_ptr& aMember) {
    return std::ranges::find(aTried, aMember) != aTried.end();
  });
  const auto now = std::chrono::steady_clock::now();
  const auto blocked = [&](const upstream_ptr& aMember) {
    return aMember->mHealth.IsInBackoff(now);
  };
  // Where all have just failed, one of them may be back.
  if (!std::ranges::all_of(members, blocked)) {
    std::erase_if(members, blocked);
  }
  return members;
}

policy::upstream_load
LoadOf(const upstream& aUpstream)
{
  auto load = aUpstream.mOwn;
  load += aUpstream.mOthers;
  return load;
}

policy::engine_candidate
ToCandidate(const upstream& aUpstream,
            const engine_traits& aEngine,
            std::uint64_t aSharedKey,
            steady_time aNow)
{
  policy::engine_candidate candidate;
  candidate.mKey = aUpstream.mKey;
  candidate.mLoad = LoadOf(aUpstream);
  candidate.mSlots = aUpstream.mEntry.mSlots;
  candidate.mMemoryTokens = static_cast<double>(aEngine.mMemoryTokens);
  candidate.mPenaltyMs = aUpstream.mHealth.PenaltyMs(aNow);
  candidate.mHasSharedPrefix =
    aSharedKey != 0 && aUpstream.mPrompts.Holds(aSharedKey, aNow);
  return candidate;
}

// The work that a request asks of an engine.
policy::prompt_work
WorkOf(const forwarded_request& aForwarded)
{
  const auto& facts = aForwarded.mFacts;
  policy::prompt_work work;
  work.mPromptTokens = facts.mPromptTokens;
  work.mMaximumOutputTokens = facts.mMaximumOutputTokens;
  work.mInteractive = aForwarded.mRoute->mTargetGap <= kInteractiveGap;
  work.mUrgent = aForwarded.mRoute->mPriority == 0;
  if (facts.mPrompt.size() > 1) {
    const auto shared =
      std::span(facts.mPrompt).first(facts.mPrompt.size() - 1);
    work.mSharedKey = shared.back().mId;
    work.mSharedTokens = std::accumulate(
      shared.begin(), shared.end(), 0.0, [](double aSum, const auto& aPart) {
        return aSum + aPart.mTokens;
      });
  }
  return work;
}

policy::upstream_load
AddedLoad(const policy::prompt_work& aWork, double aTokensToRead)
{
  policy::upstream_load load;
  (aWork.mUrgent ? load.mUrgentTokens : load.mOtherTokens) = aTokensToRead;
  load.mMemoryTokens = aWork.mPromptTokens + aWork.mMaximumOutputTokens;
  load.mRunning = 1;
  load.mInteractive = aWork.mInteractive ? 1 : 0;
  return load;
}

// Sets how long the upstream may be silent. Only where the request can go on
// elsewhere is it worth leaving one that may still answer.
void
SetPatience(const forwarded_request& aForwarded,
            bool aLastAttempt,
            attempt_target& aTarget)
{
  const auto& route = *aForwarded.mRoute;
  aTarget.mFirstPatience = LeftUntil(aForwarded.mDue);
  aTarget.mGapPatience = aTarget.mFirstPatience;
  if (aLastAttempt || !route.mIdempotent) {
    return;
  }
  const milliseconds predicted(static_cast<int>(aTarget.mPredictedMs));
  const auto shortest =
    route.mStreams ? kShortestStreamPatience : kShortestPlainPatience;
  aTarget.mFirstPatience =
    predicted + std::max(kPatienceInTargets * route.mTargetLatency, shortest);
  aTarget.mGapPatience =
    std::max(kPatienceInGaps * route.mTargetGap, kShortestStreamPatience);
}

attempt_target
PlaceAtEngine(const forward_services& aServices,
              const forwarded_request& aForwarded,
              std::span<const upstream_ptr> aMembers)
{
  const auto now = std::chrono::steady_clock::now();
  const auto work = WorkOf(aForwarded);
  std::vector<policy::engine_candidate> candidates;
  std::ranges::transform(
    aMembers, std::back_inserter(candidates), [&](const upstream_ptr& aMember) {
      return ToCandidate(*aMember, *aForwarded.mEngine, work.mSharedKey, now);
    });
  const auto choice = policy::ChooseEngine(
    work, candidates, aServices.mSplit.Share(), aServices.mDraw());
  attempt_target target;
  target.mUpstream = aMembers[choice->mIndex];
  target.mPredictedMs = choice->mFirstEventMs;
  target.mQueueingMs = choice->mQueueingMs;
  target.mSlotsTaken = choice->mSlotsTaken;
  target.mSharedKey = work.mSharedKey;
  target.mPrefillTokens = choice->mPrefillTokens;
  target.mInteractive = work.mInteractive;
  target.mTicket = std::make_unique<work_ticket>(
    target.mUpstream, AddedLoad(work, choice->mPrefillTokens));
  return target;
}

attempt_target
PlaceAtService(const forward_services& aServices,
               std::span<const upstream_ptr> aMembers)
{
  const auto now = std::chrono::steady_clock::now();
  const auto cost = [&](const upstream_ptr& aMember) {
    const bool far = aMember->mEntry.mDataCentre != aServices.mDataCentre;
    return LoadOf(*aMember).mRunning + (far ? kFarCost : 0) +
           kFailureCost * aMember->mHealth.FailureShare(now);
  };
  const auto best = std::ranges::min_element(aMembers, {}, cost);
  attempt_target target;
  target.mUpstream = *best;
  policy::upstream_load load;
  load.mRunning = 1;
  target.mTicket = std::make_unique<work_ticket>(target.mUpstream, load);
  return target;
}

} // namespace

std::optional<attempt_target>
PlaceRequest(const forward_services& aServices,
             const forwarded_request& aForwarded,
             std::span<const upstream_ptr> aTried)
{
  const auto members = Candidates(aServices, aForwarded, aTried);
  if (members.empty()) {
    return std::nullopt;
  }
  auto target = aForwarded.mEngine
                  ? PlaceAtEngine(aServices, aForwarded, members)
                  : PlaceAtService(aServices, members);
  const bool last = aTried.size() + 1 >= aForwarded.mRoute->mMaximumAttempts ||
                    members.size() < 2;
  SetPatience(aForwarded, last, target);
  return target;
}

milliseconds
FirstEventPatience(const route& aRoute)
{
  constexpr milliseconds kShortest{ 2000 };
  constexpr int kTargets = 4;
  constexpr int kGaps = 8;
  if (!aRoute.mStreams) {
    return aRoute.mTimeout;
  }
  return std::max(
    { kShortest, kTargets * aRoute.mTargetLatency, kGaps * aRoute.mTargetGap });
}

} // namespace sapphirespar::gateway
