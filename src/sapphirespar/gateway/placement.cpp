// Candidates for the choice of an upstream, the load that a request adds, and
// the limits on an upstream's silence.
#include "placement.hpp"

#include "sapphirespar/policy/engine_choice.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Limits on an upstream's silence as multiples of the route's target latency or
// target gap, with a minimum.
constexpr int kSilenceInTargets = 3;
constexpr milliseconds kMinimumPlainSilence{ 300 };
constexpr milliseconds kMinimumStreamSilence{ 1000 };
constexpr int kSilenceInGaps = 4;

// Penalty for a plain upstream in another data centre, in running requests.
constexpr double kRemoteCost = 0.3;

// Penalty for a plain upstream whose requests all fail, in running requests.
constexpr double kFailureCost = 8;

// The upstreams of a pool that accept new requests and, if aSoftware is set,
// run that version.
std::vector<upstream_ptr>
MembersWith(const forward_services& aServices,
            std::string_view aPool,
            std::optional<std::uint64_t> aSoftware)
{
  auto members = aServices.mUpstreams.Members(aPool);
  std::erase_if(members, [aSoftware](const upstream_ptr& aMember) {
    return aSoftware && SoftwareKey(aMember->mEntry) != *aSoftware;
  });
  return members;
}

std::vector<upstream_ptr>
Candidates(const forward_services& aServices,
           const forwarded_request& aForwarded,
           std::span<const upstream_ptr> aTried,
           std::optional<std::uint64_t> aSoftware)
{
  auto members = MembersWith(aServices, aForwarded.mPool, aSoftware);
  std::erase_if(members, [&](const upstream_ptr& aMember) {
    return std::ranges::find(aTried, aMember) != aTried.end();
  });
  const auto now = std::chrono::steady_clock::now();
  std::erase_if(members, [&](const upstream_ptr& aMember) {
    return aServices.mRateGuard.TimeUntilPermit(aMember->mKey) >
             milliseconds::zero() ||
           !aServices.mBrittleGuard.MaySend(*aMember, aForwarded.mPriority);
  });
  const auto blocked = [&](const upstream_ptr& aMember) {
    return aMember->mHealth.IsInBackoff(now);
  };
  // If all are in backoff, all remain candidates, because one of them may have
  // recovered.
  if (!std::ranges::all_of(members, blocked)) {
    std::erase_if(members, blocked);
  }
  return members;
}

policy::upstream_load
TotalLoad(const upstream& aUpstream)
{
  auto load = aUpstream.mOwnLoad;
  load += aUpstream.mPeerLoad;
  return load;
}

policy::engine_candidate
ToCandidate(const upstream& aUpstream,
            const engine_traits& aEngine,
            std::span<const prompt_segment> aShared,
            const engine_figures& aFigures,
            bool aTellsZonesApart,
            steady_time aNow)
{
  policy::engine_candidate candidate;
  candidate.mKey = aUpstream.mKey;
  candidate.mZone =
    aTellsZonesApart ? PoolKey(aUpstream.mEntry.mDataCentre.mText) : 0;
  candidate.mLoad = TotalLoad(aUpstream);
  candidate.mSlots = aUpstream.mEntry.mSlots;
  candidate.mMemoryTokens = static_cast<double>(aEngine.mMemoryTokens);
  candidate.mSlowness = aUpstream.mPace.Slowness(aFigures);
  candidate.mPenaltyMs = aUpstream.mHealth.PenaltyMs(aNow);
  candidate.mCachedTokens = aUpstream.mPrefixCache.CachedTokens(aShared, aNow);
  return candidate;
}

// The segments that the prompt shares with other requests.
std::span<const prompt_segment>
SharedSegments(const request_info& aInfo)
{
  const std::span segments(aInfo.mPrompt);
  return segments.first(segments.empty() ? 0 : segments.size() - 1);
}

policy::kind_separation
Separate(const forward_services& aServices,
         const forwarded_request& aForwarded,
         const engine_figures& aFigures)
{
  const auto& route = *aForwarded.mRoute;
  const policy::prompt_kind kind{ route.mTargetLatency, route.mTargetGap };
  aServices.mKinds.Add(kind, aForwarded.mInfo.mPromptTokens);
  const policy::stream_pool pool{ aFigures,
                                  aForwarded.mEngine->mSlots,
                                  aForwarded.mEngine->mTokensPerEvent,
                                  aForwarded.mRouting->SmallestGap(
                                    aForwarded.mPool) };
  return aServices.mKinds.Separate(
    kind, aForwarded.mInfo.mPromptTokens, route.mPriority == 0, pool);
}

// Describes the request to the engine choice.
policy::prompt_work
WorkOf(const forwarded_request& aForwarded,
       const policy::kind_separation& aSeparation)
{
  const auto& info = aForwarded.mInfo;
  policy::prompt_work work;
  work.mPromptTokens = info.mPromptTokens;
  work.mMaximumOutputTokens = info.mMaximumOutputTokens;
  work.mInteractive = aSeparation.mInteractive;
  work.mGapBudgetMs = aSeparation.mGapBudgetMs;
  work.mUrgent = aForwarded.mRoute->mPriority == 0;
  work.mTargetMs =
    static_cast<double>(aForwarded.mRoute->mTargetLatency.count());
  const auto shared = SharedSegments(info);
  if (!shared.empty()) {
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

// Sets how long the upstream may be silent. Another upstream is tried only if
// the request may run twice.
void
SetSilenceLimits(const route& aRoute, attempt_target& aTarget)
{
  if (!aRoute.mIdempotent) {
    return;
  }
  const milliseconds predicted(static_cast<int>(aTarget.mPredictedMs));
  const auto shortest =
    aRoute.mStreams ? kMinimumStreamSilence : kMinimumPlainSilence;
  aTarget.mSilence = silence_limits{
    predicted + std::max(kSilenceInTargets * aRoute.mTargetLatency, shortest),
    std::max(kSilenceInGaps * aRoute.mTargetGap, kMinimumStreamSilence)
  };
}

// The members in this data centre if the request stays there and there are any,
// otherwise all.
std::vector<upstream_ptr>
MembersFor(const forward_services& aServices,
           const policy::zone_exit& aExit,
           const engine_figures& aFigures,
           const policy::prompt_work& aWork,
           std::span<const upstream_ptr> aMembers)
{
  const double shared = policy::PrefillMs(aFigures, aWork.mSharedTokens);
  std::vector<upstream_ptr> members;
  if (!aExit.Leaves(shared, aServices.mDraw())) {
    std::ranges::copy_if(
      aMembers, std::back_inserter(members), [&](const auto& aMember) {
        return aMember->mEntry.mDataCentre == aServices.mDataCentre;
      });
  }
  if (members.empty()) {
    members.assign(aMembers.begin(), aMembers.end());
  }
  return members;
}

attempt_target
PlaceAtEngine(const forward_services& aServices,
              const forwarded_request& aForwarded,
              std::span<const upstream_ptr> aMembers)
{
  const auto now = std::chrono::steady_clock::now();
  const auto& model = aServices.mModels.Of(aForwarded.mPool);
  const auto separation = Separate(aServices, aForwarded, model.Figures());
  const auto work = WorkOf(aForwarded, separation);
  const auto shared = SharedSegments(aForwarded.mInfo);
  const auto* exit = aServices.mZoneExit(aForwarded.mPool);
  std::vector<upstream_ptr> local;
  if (exit != nullptr) {
    local = MembersFor(aServices, *exit, model.Figures(), work, aMembers);
    aMembers = local;
  }
  std::vector<policy::engine_candidate> candidates;
  std::ranges::transform(
    aMembers, std::back_inserter(candidates), [&](const upstream_ptr& aMember) {
      return ToCandidate(*aMember,
                         *aForwarded.mEngine,
                         shared,
                         model.Figures(),
                         exit != nullptr,
                         now);
    });
  const auto choice =
    policy::ChooseEngine(work,
                         candidates,
                         model.Figures(),
                         separation.mSplit ? aServices.mSplit.Share() : 0,
                         aServices.mDraw());
  attempt_target target;
  target.mUpstream = aMembers[choice->mIndex];
  target.mPredictedMs = choice->mFirstEventMs;
  target.mQueueingMs = choice->mQueueingMs;
  target.mSlotsTaken = choice->mSlotsTaken;
  target.mShared = shared;
  target.mSharedTokens = work.mSharedTokens;
  target.mCachedTokens = candidates[choice->mIndex].mCachedTokens;
  target.mPrefillTokens = choice->mPrefillTokens;
  target.mInteractive = work.mInteractive;
  target.mReservation = std::make_unique<load_reservation>(
    target.mUpstream, AddedLoad(work, choice->mPrefillTokens));
  return target;
}

attempt_target
PlaceAtService(const forward_services& aServices,
               std::span<const upstream_ptr> aMembers)
{
  const auto now = std::chrono::steady_clock::now();
  const auto cost = [&](const upstream_ptr& aMember) {
    const bool remote = aMember->mEntry.mDataCentre != aServices.mDataCentre;
    return TotalLoad(*aMember).mRunning + (remote ? kRemoteCost : 0) +
           kFailureCost * aMember->mHealth.FailureShare(now);
  };
  const auto best = std::ranges::min_element(aMembers, {}, cost);
  attempt_target target;
  target.mUpstream = *best;
  policy::upstream_load load;
  load.mRunning = 1;
  target.mReservation =
    std::make_unique<load_reservation>(target.mUpstream, load);
  return target;
}

} // namespace

std::optional<attempt_target>
PlaceRequest(const forward_services& aServices,
             const forwarded_request& aForwarded,
             std::span<const upstream_ptr> aTried,
             std::optional<std::uint64_t> aSoftware)
{
  aServices.mRefreshLoads();
  const auto members = Candidates(aServices, aForwarded, aTried, aSoftware);
  if (members.empty()) {
    return std::nullopt;
  }
  auto target = aForwarded.mEngine
                  ? PlaceAtEngine(aServices, aForwarded, members)
                  : PlaceAtService(aServices, members);
  SetSilenceLimits(*aForwarded.mRoute, target);
  return target;
}

std::optional<pool_pause>
PauseOf(const forward_services& aServices,
        std::string_view aPool,
        std::optional<std::uint64_t> aSoftware)
{
  const auto now = std::chrono::steady_clock::now();
  std::optional<pool_pause> pause;
  bool limited = false;
  for (const auto& member : MembersWith(aServices, aPool, aSoftware)) {
    const auto permitIn = aServices.mRateGuard.TimeUntilPermit(member->mKey);
    const auto left = std::max(
      std::chrono::ceil<milliseconds>(member->mTurnsAwayUntil - now), permitIn);
    limited = limited || permitIn > milliseconds::zero();
    if (!pause || left < pause->mLeft) {
      pause = pool_pause{ left, {} };
    }
  }
  if (pause && pause->mLeft > milliseconds::zero()) {
    pause->mReason = limited ? "rates_used_up" : "all_turn_away";
    return pause;
  }
  if (pause && aServices.mBrittleGuard.IsRationed(aPool)) {
    // Spread over the time in which rations follow the load.
    const auto period = aServices.mBrittleGuard.Period();
    const std::chrono::duration<double, std::milli> spread =
      2 * aServices.mDraw() * period;
    return pool_pause{
      2 * period + std::chrono::duration_cast<milliseconds>(spread), "rationed"
    };
  }
  return std::nullopt;
}

milliseconds
CallerPatience(const route& aRoute)
{
  constexpr milliseconds kMinimumPatience{ 2000 };
  constexpr int kPatienceInTargets = 4;
  constexpr int kPatienceInGaps = 8;
  if (!aRoute.mStreams) {
    return aRoute.mTimeout;
  }
  return std::max({ kMinimumPatience,
                    kPatienceInTargets * aRoute.mTargetLatency,
                    kPatienceInGaps * aRoute.mTargetGap });
}

} // namespace sapphirespar::gateway
