// Predicts the first event at each engine and takes the best.
#include "sapphirespar/policy/engine_choice.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace sapphirespar::policy {
namespace {

// Prompt tokens that an engine reads in a millisecond; from the engines' data
// sheet.
constexpr double kTokensPerMs = 81.9;

// Milliseconds to the first event of an empty prompt on an idle engine; from
// the engines' data sheet.
constexpr double kFirstEventMs = 41;

// Engines read prompts in pieces of so many tokens, between which a more
// urgent prompt may go ahead; from the engines' data sheet.
constexpr double kPieceTokens = 4096;

// Each running request slows the others by about this much per event.
constexpr double kRunningMs = 0.5;

// Reading a shared part again takes time from all that runs at the engine, so a
// request rather waits this long for each of its tokens at the engine that has
// it: the first while many slots are free, the second while hardly any is and
// each token read again keeps another request out. These and the shares below
// are measured in docs/bench/2026-12-04-placement.md.
constexpr double kIdleRereadMsPerToken = 0.25;
constexpr double kBusyRereadMsPerToken = 2;

// Shares of the slots taken at which the cost begins and ceases to rise.
constexpr double kIdleSlots = 0.5;
constexpr double kBusySlots = 0.9;

// The second home of a shared part has often read it.
constexpr double kSecondHomeShare = 0.25;

// Behind this much more waiting, interactive work goes to a bulk engine: about
// the pause that a long prompt there would cause.
constexpr double kInteractiveStraysMs = 250;

// Behind this much more waiting, a long prompt goes to an interactive engine,
// and for each stream that it makes pause there.
constexpr double kBulkStraysMs = 1500;
constexpr double kPerSpoiledStreamMs = 100;

// A request without a free slot, or without memory, waits for others to end,
// which last about so long, or takes the slot of one that is then read again.
constexpr double kNoSlotMs = 3000;
constexpr double kPreemptionMs = 300;
constexpr double kNoMemoryMs = 2000;

// Differences below this are noise.
constexpr double kTieMs = 8;

std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 31U;
  aValue *= 0x9e3779b97f4a7c15ULL;
  aValue ^= aValue >> 29U;
  aValue *= 0xbf58476d1ce4e5b9ULL;
  return aValue ^ (aValue >> 32U);
}

// Which engines are of the interactive group: the first of an order that all
// routers agree on.
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

// The two engines of a group on which a shared part is kept: its home, and the
// one that takes over what the home is too busy for. Out of range if there are
// none.
struct shared_homes
{
  std::size_t mFirst;
  std::size_t mSecond;
};

shared_homes
HomesOf(std::uint64_t aSharedKey,
        std::span<const engine_candidate> aCandidates,
        const std::vector<bool>& aGroup,
        bool aInteractive)
{
  const auto none = aCandidates.size();
  shared_homes homes{ none, none };
  if (aSharedKey == 0) {
    return homes;
  }
  const auto weight = [&](std::size_t aIndex) {
    return Mix(aSharedKey ^ Mix(aCandidates[aIndex].mKey));
  };
  for (std::size_t index = 0; index < none; ++index) {
    if (none >= 2 && aGroup[index] != aInteractive) {
      continue;
    }
    if (homes.mFirst == none || weight(index) > weight(homes.mFirst)) {
      homes.mSecond = std::exchange(homes.mFirst, index);
    } else if (homes.mSecond == none || weight(index) > weight(homes.mSecond)) {
      homes.mSecond = index;
    }
  }
  return homes;
}

// The share of a group's slots that is taken; zero if it has none.
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

double
RereadMsPerToken(double aSlotsTaken)
{
  const double part = std::clamp(
    (aSlotsTaken - kIdleSlots) / (kBusySlots - kIdleSlots), 0.0, 1.0);
  return std::lerp(kIdleRereadMsPerToken, kBusyRereadMsPerToken, part);
}

// What it costs to have a shared part read anew here.
double
RereadMs(double aCost,
         const engine_candidate& aEngine,
         std::size_t aIndex,
         const shared_homes& aHomes)
{
  if (aEngine.mHasSharedPrefix || aIndex == aHomes.mFirst) {
    return 0;
  }
  return aIndex == aHomes.mSecond ? kSecondHomeShare * aCost : aCost;
}

double
StrayMs(const prompt_work& aWork, const engine_candidate& aEngine, bool aOwn)
{
  if (aOwn) {
    return 0;
  }
  if (aWork.mInteractive) {
    return kInteractiveStraysMs;
  }
  return kBulkStraysMs + kPerSpoiledStreamMs * aEngine.mLoad.mInteractive;
}

double
WaitMs(const prompt_work& aWork, const engine_candidate& aEngine)
{
  const auto& load = aEngine.mLoad;
  const double ahead =
    aWork.mUrgent
      ? load.mUrgentTokens + std::min(load.mOtherTokens, kPieceTokens)
      : load.mUrgentTokens + load.mOtherTokens;
  return PrefillMs(std::max(ahead, 0.0));
}

double
CrowdingMs(const prompt_work& aWork, const engine_candidate& aEngine)
{
  const auto& load = aEngine.mLoad;
  double cost = kRunningMs * load.mRunning;
  const int slots = static_cast<int>(aEngine.mSlots);
  // Interactive work is the more urgent: it takes the slot of other work.
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
  const auto homes =
    HomesOf(aWork.mSharedKey, aCandidates, group, aWork.mInteractive);
  const double taken = SlotsTaken(aCandidates, group, aWork.mInteractive);
  const double reread = aWork.mSharedTokens * RereadMsPerToken(taken);
  std::optional<engine_choice> best;
  double lowest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const auto& engine = aCandidates[index];
    const bool own =
      aCandidates.size() < 2 || group[index] == aWork.mInteractive;
    const bool holds = engine.mHasSharedPrefix || index == homes.mFirst;
    const double tokens =
      aWork.mPromptTokens - (holds ? aWork.mSharedTokens : 0);
    const double queueing =
      WaitMs(aWork, engine) + CrowdingMs(aWork, engine) + engine.mPenaltyMs;
    const double firstEvent = kFirstEventMs + PrefillMs(tokens) + queueing;
    // A different small handicap for each engine and draw.
    const auto handicap =
      std::ldexp(static_cast<double>(
                   Mix(engine.mKey ^ std::bit_cast<std::uint64_t>(aDraw))),
                 -64) *
      kTieMs;
    const double cost = firstEvent + StrayMs(aWork, engine, own) +
                        RereadMs(reread, engine, index, homes) + handicap;
    if (!best || cost < lowest) {
      best = engine_choice{ index, firstEvent, queueing, tokens, taken };
      lowest = cost;
    }
  }
  return best;
}

} // namespace sapphirespar::policy
