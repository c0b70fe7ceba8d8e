// Predicts the time until the first event at each engine and chooses the best.
#include "sapphirespar/policy/engine_choice.hpp"

#include "sapphirespar/policy/engine_model.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace sapphirespar::policy {
namespace {

// Recomputing a shared prefix takes time from all requests at the engine, so a
// request waits up to this many times the prefill of the prefix for an engine
// that has it cached, but not longer than a multiple of its own target. The
// idle values apply while many slots are free. The busy ones apply while hardly
// any slot is free, because recomputed tokens then keep other requests out.
constexpr double kIdleRecomputeFactor = 20.5;
constexpr double kBusyRecomputeFactor = 250;
constexpr double kIdleWaitInTargets = 4;
constexpr double kBusyWaitInTargets = 25;

// The cost rises from the first to the second value between these shares of
// slots taken.
constexpr double kIdleSlotShare = 0.5;
constexpr double kBusySlotShare = 0.9;

// The engines of a group count as idle while the mean time until their prefill
// is done is at most this share of the request's target. Recomputing a prefix
// then delays nobody.
constexpr double kIdleMeanWaitInTargets = 0.25;

// Fraction of the recompute cost at the secondary engine of a prefix, which
// often has the prefix cached.
constexpr double kSecondaryCostShare = 0.25;

// An interactive request goes to a bulk engine only if the engine's cost is
// lower by more than this time, about the stall that a long prompt there would
// cause.
constexpr double kInteractiveOverflowMs = 250;

// A bulk request goes to an interactive engine only if the engine's cost is
// lower by more than the first time plus the second one for each stream that
// the prompt would stall there.
constexpr double kBulkOverflowMs = 1500;
constexpr double kOverflowMsPerStream = 100;

// A bulk prompt at an interactive engine stalls no stream if all prefill there
// takes at most this share of what a gap leaves for prefill. It then costs only
// this multiple of the target, so that bulk engines still come first.
constexpr double kSafeGapShare = 0.6;
constexpr double kSafeOverflowInTargets = 0.25;

// Costs of a missing slot or of missing memory: about the time until running
// requests end, or the cost of preempting one, whose prompt must then be
// processed again.
constexpr double kNoSlotMs = 3000;
constexpr double kPreemptionMs = 300;
constexpr double kNoMemoryMs = 2000;

// Smaller differences between predictions are noise.
constexpr double kTieMs = 8;

// Mixes the bits of a value for use as a hash.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 31U;
  aValue *= 0x9e3779b97f4a7c15ULL;
  aValue ^= aValue >> 29U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  return aValue ^ (aValue >> 32U);
}

// Returns which engines belong to the interactive group: in each data centre
// the first ones in an order that is the same at all routers.
std::vector<bool>
InteractiveGroup(std::span<const engine_candidate> aCandidates, double aShare)
{
  const auto count = aCandidates.size();
  std::vector<bool> group(count, false);
  if (count < 2 || aShare <= 0) {
    return group;
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::sort(order, {}, [&](std::size_t aIndex) {
    const auto& engine = aCandidates[aIndex];
    return std::pair(engine.mZone, Mix(engine.mKey));
  });
  const auto zoneOf = [&](std::size_t aIndex) {
    return aCandidates[aIndex].mZone;
  };
  for (auto begin = order.begin(); begin != order.end();) {
    const auto end = std::find_if(begin, order.end(), [&](std::size_t aIndex) {
      return zoneOf(aIndex) != zoneOf(*begin);
    });
    const auto engines = static_cast<std::size_t>(end - begin);
    const auto wanted = static_cast<std::size_t>(
      std::lround(aShare * static_cast<double>(engines)));
    // A data centre with one engine has no group of its own.
    const auto size =
      engines < 2 ? 0 : std::clamp<std::size_t>(wanted, 1, engines - 1);
    std::for_each(begin,
                  begin + static_cast<std::ptrdiff_t>(size),
                  [&](std::size_t aIndex) { group[aIndex] = true; });
    begin = end;
  }
  return group;
}

// The two engines of a group that serve a shared prefix, as indexes: the
// primary engine, and the secondary one for requests that the primary is too
// busy for. Out of range if there are none.
struct prefix_engines
{
  std::size_t mPrimary;
  std::size_t mSecondary;
};

// Chooses the engines of a prefix by rendezvous hashing, so that few prefixes
// move when engines are added or removed.
prefix_engines
PrefixEngines(std::uint64_t aSharedKey,
              std::span<const engine_candidate> aCandidates,
              const std::vector<bool>& aGroup,
              bool aInteractive)
{
  const auto none = aCandidates.size();
  prefix_engines prefixEngines{ none, none };
  if (aSharedKey == 0) {
    return prefixEngines;
  }
  const auto weight = [&](std::size_t aIndex) {
    return Mix(aSharedKey ^ Mix(aCandidates[aIndex].mKey));
  };
  for (std::size_t index = 0; index < none; ++index) {
    if (aGroup[index] != aInteractive) {
      continue;
    }
    if (prefixEngines.mPrimary == none ||
        weight(index) > weight(prefixEngines.mPrimary)) {
      prefixEngines.mSecondary = std::exchange(prefixEngines.mPrimary, index);
    } else if (prefixEngines.mSecondary == none ||
               weight(index) > weight(prefixEngines.mSecondary)) {
      prefixEngines.mSecondary = index;
    }
  }
  return prefixEngines;
}

// Returns the share of a group's slots that are taken; zero if it has none.
double
SlotsTaken(std::span<const engine_candidate> aCandidates,
           const std::vector<bool>& aGroup,
           bool aInteractive)
{
  double taken = 0;
  double slots = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (aGroup[index] == aInteractive) {
      const auto& engine = aCandidates[index];
      taken += std::min<double>(engine.mLoad.mRunning, engine.mSlots);
      slots += engine.mSlots;
    }
  }
  return slots > 0 ? taken / slots : 0;
}

// Returns the cost of recomputing the whole shared prefix.
double
RecomputeMs(const prompt_work& aWork,
            const engine_figures& aFigures,
            double aSlotsTaken)
{
  const double part = std::clamp((aSlotsTaken - kIdleSlotShare) /
                                   (kBusySlotShare - kIdleSlotShare),
                                 0.0,
                                 1.0);
  const double factor =
    std::lerp(kIdleRecomputeFactor, kBusyRecomputeFactor, part);
  return std::min(factor * PrefillMs(aFigures, aWork.mSharedTokens),
                  std::lerp(kIdleWaitInTargets, kBusyWaitInTargets, part) *
                    aWork.mTargetMs);
}

// Returns the part of the recompute cost aCost that applies at this engine.
double
RecomputePart(double aCost,
              const prompt_work& aWork,
              const engine_candidate& aEngine,
              std::size_t aIndex,
              const prefix_engines& aPrefixEngines)
{
  if (aWork.mSharedTokens <= 0 || aIndex == aPrefixEngines.mPrimary) {
    return 0;
  }
  const double missing = 1 - aEngine.mCachedTokens / aWork.mSharedTokens;
  const double part =
    aIndex == aPrefixEngines.mSecondary ? kSecondaryCostShare : 1;
  return part * std::max(missing, 0.0) * aCost;
}

// Returns the tokens of the prompt that the engine is expected to process. The
// primary engine is expected to have the prefix from requests of other routers.
double
ExpectedPrefill(const prompt_work& aWork,
                const engine_candidate& aEngine,
                bool aIsPrimary)
{
  return aWork.mPromptTokens -
         (aIsPrimary ? aWork.mSharedTokens : aEngine.mCachedTokens);
}

// Returns the cost of leaving the group of the request's kind.
double
OverflowMs(const prompt_work& aWork,
           const engine_candidate& aEngine,
           double aPrefillMs,
           bool aInGroup)
{
  if (aInGroup) {
    return 0;
  }
  if (aWork.mInteractive) {
    return kInteractiveOverflowMs;
  }
  const double stall =
    kBulkOverflowMs + kOverflowMsPerStream * aEngine.mLoad.mInteractive;
  return aPrefillMs <= kSafeGapShare * aWork.mGapBudgetMs
           ? kSafeOverflowInTargets * aWork.mTargetMs
           : stall;
}

// Returns the prompt tokens that the engine processes before the request's own.
double
TokensAhead(const prompt_work& aWork,
            const engine_candidate& aEngine,
            const engine_figures& aFigures)
{
  const auto& load = aEngine.mLoad;
  const double ahead =
    aWork.mUrgent
      ? load.mUrgentTokens + std::min(load.mOtherTokens, aFigures.mChunkTokens)
      : load.mUrgentTokens + load.mOtherTokens;
  return std::max(ahead, 0.0);
}

// Returns the time until the prefill ahead of the request is done.
double
WaitMs(const prompt_work& aWork,
       const engine_candidate& aEngine,
       const engine_figures& aFigures)
{
  return aEngine.mSlowness *
         PrefillMs(aFigures, TokensAhead(aWork, aEngine, aFigures));
}

// Returns the mean time until the prefill at the engines of a group is done.
double
MeanWaitMs(const prompt_work& aWork,
           std::span<const engine_candidate> aCandidates,
           const std::vector<bool>& aGroup,
           bool aInteractive,
           const engine_figures& aFigures)
{
  double sum = 0;
  double engines = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (aGroup[index] == aInteractive) {
      sum += WaitMs(aWork, aCandidates[index], aFigures);
      ++engines;
    }
  }
  return engines > 0 ? sum / engines : 0;
}

// Returns the cost of running requests, missing slots and missing memory.
// aPrefillTokens are the tokens of the prompt that the engine must process.
double
ContentionMs(const prompt_work& aWork,
             const engine_candidate& aEngine,
             const engine_figures& aFigures,
             double aPrefillTokens)
{
  const auto& load = aEngine.mLoad;
  const double processed =
    TokensAhead(aWork, aEngine, aFigures) + aPrefillTokens;
  double cost = aEngine.mSlowness *
                SlowdownMs(aFigures,
                           processed,
                           static_cast<unsigned>(std::max(load.mRunning, 0)));
  const int slots = static_cast<int>(aEngine.mSlots);
  // Interactive work is more urgent and takes the slots of other work.
  const int ahead = aWork.mInteractive ? load.mInteractive : load.mRunning;
  if (slots > 0 && ahead >= slots) {
    cost += kNoSlotMs * (1 + ahead - slots) / slots;
  } else if (slots > 0 && load.mRunning >= slots) {
    cost += kPreemptionMs;
  }
  const double needed =
    load.mMemoryTokens + aWork.mPromptTokens + aWork.mMaximumOutputTokens;
  if (aEngine.mMemoryTokens > 0 && needed > aEngine.mMemoryTokens) {
    cost += kNoMemoryMs * needed / aEngine.mMemoryTokens;
  }
  return cost;
}

} // namespace

std::optional<engine_choice>
ChooseEngine(const prompt_work& aWork,
             std::span<const engine_candidate> aCandidates,
             const engine_figures& aFigures,
             double aInteractiveShare,
             double aDraw)
{
  const bool split = aCandidates.size() >= 2 && aInteractiveShare > 0;
  const auto group = InteractiveGroup(aCandidates, aInteractiveShare);
  // Without a split no engine is in the interactive group, and all requests
  // belong to the other one.
  const bool kind = split && aWork.mInteractive;
  const auto prefixEngines =
    PrefixEngines(aWork.mSharedKey, aCandidates, group, kind);
  const double taken = SlotsTaken(aCandidates, group, kind);
  const double recompute = RecomputeMs(aWork, aFigures, taken);
  std::optional<engine_choice> best;
  std::optional<engine_choice> soonest;
  double lowest = 0;
  double earliest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& engine = aCandidates[index];
    const bool inGroup = group[index] == kind;
    const double tokens =
      ExpectedPrefill(aWork, engine, index == prefixEngines.mPrimary);
    const double queueing = WaitMs(aWork, engine, aFigures) +
                            ContentionMs(aWork, engine, aFigures, tokens) +
                            engine.mPenaltyMs;
    const double firstEvent = aFigures.mFirstEventMs +
                              engine.mSlowness * PrefillMs(aFigures, tokens) +
                              queueing;
    // Small random cost that breaks near ties.
    const auto jitter =
      std::ldexp(static_cast<double>(
                   Mix(engine.mKey ^ std::bit_cast<std::uint64_t>(aDraw))),
                 -64) *
      kTieMs;
    const double pending =
      std::max(engine.mLoad.mUrgentTokens + engine.mLoad.mOtherTokens, 0.0);
    const double prefill =
      engine.mSlowness * PrefillMs(aFigures, tokens + pending);
    const double begin =
      firstEvent + OverflowMs(aWork, engine, prefill, inGroup) + jitter;
    const double cost =
      begin + RecomputePart(recompute, aWork, engine, index, prefixEngines);
    const engine_choice choice{ index, firstEvent, queueing, tokens, taken };
    if (!best || cost < lowest) {
      best = choice;
      lowest = cost;
    }
    if (!soonest || begin < earliest) {
      soonest = choice;
      earliest = begin;
    }
  }
  // A request must not be refused, or late, at the engine of its prefix while
  // engines are idle that would serve it in time.
  const bool isLate = best && best->mFirstEventMs > aWork.mTargetMs &&
                      soonest->mFirstEventMs <= aWork.mTargetMs;
  const bool isIdle = taken < kIdleSlotShare &&
                      MeanWaitMs(aWork, aCandidates, group, kind, aFigures) <=
                        kIdleMeanWaitInTargets * aWork.mTargetMs;
  return isLate && isIdle ? soonest : best;
}

} // namespace sapphirespar::policy
