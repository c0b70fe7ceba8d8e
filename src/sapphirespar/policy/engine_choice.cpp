// Predicts the time until the first event at each engine and chooses the best.
#include "sapphirespar/policy/engine_choice.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace sapphirespar::policy {
namespace {

// The next three values are from the engines' data sheet.

// Prompt tokens that an engine processes per millisecond.
constexpr double kTokensPerMs = 81.9;

// Milliseconds until the first event of an empty prompt on an idle engine.
constexpr double kFirstEventMs = 41;

// Engines split the prefill into chunks of this many tokens, between which a
// more urgent prompt can go first.
constexpr double kPrefillChunkTokens = 4096;

// Each running request delays each event of the others by about this time.
constexpr double kSlowdownMsPerRequest = 0.5;

// Recomputing a shared prefix takes time from all requests at the engine, so a
// request waits up to this long per prefix token for an engine that has the
// prefix cached. The first value applies while many slots are free. The second
// one applies while hardly any slot is free, because recomputed tokens then
// keep other requests out.
constexpr double kIdleRecomputeMsPerToken = 0.25;
constexpr double kBusyRecomputeMsPerToken = 2;

// The cost rises from the first to the second value between these shares of
// slots taken.
constexpr double kIdleSlotShare = 0.5;
constexpr double kBusySlotShare = 0.9;

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

// Returns which engines belong to the interactive group: the first ones in an
// order that is the same at all routers.
std::vector<bool>
InteractiveGroup(std::span<const engine_candidate> aCandidates, double aShare)
{
  const auto count = aCandidates.size();
  std::vector<bool> group(count, false);
  if (count < 2) {
    return group;
  }
  std::vector<std::size_t> order(count);
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::sort(order, {}, [&](std::size_t aIndex) {
    return Mix(aCandidates[aIndex].mKey);
  });
  const auto wanted =
    static_cast<std::size_t>(std::lround(aShare * static_cast<double>(count)));
  const auto size = std::clamp<std::size_t>(wanted, 1, count - 1);
  std::ranges::for_each(std::span(order).first(size),
                        [&](std::size_t aIndex) { group[aIndex] = true; });
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
    if (none >= 2 && aGroup[index] != aInteractive) {
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
    if (aCandidates.size() < 2 || aGroup[index] == aInteractive) {
      const auto& engine = aCandidates[index];
      taken += std::min<double>(engine.mLoad.mRunning, engine.mSlots);
      slots += engine.mSlots;
    }
  }
  return slots > 0 ? taken / slots : 0;
}

// Interpolates the recompute cost by the share of slots taken.
double
RecomputeMsPerToken(double aSlotsTaken)
{
  const double part = std::clamp((aSlotsTaken - kIdleSlotShare) /
                                   (kBusySlotShare - kIdleSlotShare),
                                 0.0,
                                 1.0);
  return std::lerp(kIdleRecomputeMsPerToken, kBusyRecomputeMsPerToken, part);
}

// Returns the part of the recompute cost aCost that applies at this engine.
double
RecomputeMs(double aCost,
            const engine_candidate& aEngine,
            std::size_t aIndex,
            const prefix_engines& aPrefixEngines)
{
  if (aEngine.mHasSharedPrefix || aIndex == aPrefixEngines.mPrimary) {
    return 0;
  }
  return aIndex == aPrefixEngines.mSecondary ? kSecondaryCostShare * aCost
                                             : aCost;
}

// Returns the cost of leaving the group of the request's kind.
double
OverflowMs(const prompt_work& aWork,
           const engine_candidate& aEngine,
           bool aInGroup)
{
  if (aInGroup) {
    return 0;
  }
  if (aWork.mInteractive) {
    return kInteractiveOverflowMs;
  }
  return kBulkOverflowMs + kOverflowMsPerStream * aEngine.mLoad.mInteractive;
}

// Returns the time until the prefill ahead of the request is done.
double
WaitMs(const prompt_work& aWork, const engine_candidate& aEngine)
{
  const auto& load = aEngine.mLoad;
  const double ahead =
    aWork.mUrgent
      ? load.mUrgentTokens + std::min(load.mOtherTokens, kPrefillChunkTokens)
      : load.mUrgentTokens + load.mOtherTokens;
  return PrefillMs(std::max(ahead, 0.0));
}

// Returns the cost of running requests, missing slots and missing memory.
double
ContentionMs(const prompt_work& aWork, const engine_candidate& aEngine)
{
  const auto& load = aEngine.mLoad;
  double cost = kSlowdownMsPerRequest * load.mRunning;
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

double
PrefillMs(double aTokens)
{
  return aTokens / kTokensPerMs;
}

std::optional<engine_choice>
ChooseEngine(const prompt_work& aWork,
             std::span<const engine_candidate> aCandidates,
             double aInteractiveShare,
             double aDraw)
{
  const auto group = InteractiveGroup(aCandidates, aInteractiveShare);
  const auto prefixEngines =
    PrefixEngines(aWork.mSharedKey, aCandidates, group, aWork.mInteractive);
  const double taken = SlotsTaken(aCandidates, group, aWork.mInteractive);
  const double recompute = aWork.mSharedTokens * RecomputeMsPerToken(taken);
  std::optional<engine_choice> best;
  double lowest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& engine = aCandidates[index];
    const bool inGroup =
      aCandidates.size() < 2 || group[index] == aWork.mInteractive;
    const bool hasPrefix =
      engine.mHasSharedPrefix || index == prefixEngines.mPrimary;
    const double tokens =
      aWork.mPromptTokens - (hasPrefix ? aWork.mSharedTokens : 0);
    const double queueing =
      WaitMs(aWork, engine) + ContentionMs(aWork, engine) + engine.mPenaltyMs;
    const double firstEvent = kFirstEventMs + PrefillMs(tokens) + queueing;
    // Small random cost that breaks near ties.
    const auto jitter =
      std::ldexp(static_cast<double>(
                   Mix(engine.mKey ^ std::bit_cast<std::uint64_t>(aDraw))),
                 -64) *
      kTieMs;
    const double cost = firstEvent + OverflowMs(aWork, engine, inGroup) +
                        RecomputeMs(recompute, engine, index, prefixEngines) +
                        jitter;
    if (!best || cost < lowest) {
      best = engine_choice{ index, firstEvent, queueing, tokens, taken };
      lowest = cost;
    }
  }
  return best;
}

} // namespace sapphirespar::policy
