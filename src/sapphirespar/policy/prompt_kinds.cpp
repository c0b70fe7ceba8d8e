// Compares the stall that prompts cause with the gaps that streams may have.
#include "sapphirespar/policy/prompt_kinds.hpp"

#include "sapphirespar/policy/engine_model.hpp"

#include <algorithm>

namespace sapphirespar::policy {
namespace {

// Smallest weight of the newest prompt in the average length of its kind.
constexpr double kSmallestWeight = 0.05;

// Lengths vary widely, so before this many prompts of a kind each prompt is
// judged by its own length. A short one does no harm, whatever its kind.
constexpr unsigned kKnownAfter = 10;

// A prompt is light if its prefill takes at most this share of the smallest
// target gap, so that several of them fit between two events.
constexpr double kLightShare = 0.25;

} // namespace

void
prompt_kinds::Add(const prompt_kind& aKind, double aTokens)
{
  auto& lengths = mLengths[aKind];
  ++lengths.mCount;
  const double weight = std::max(1.0 / lengths.mCount, kSmallestWeight);
  lengths.mMean += weight * (aTokens - lengths.mMean);
}

kind_separation
prompt_kinds::Separate(const prompt_kind& aKind,
                       double aTokens,
                       bool aUrgent,
                       const stream_pool& aPool) const
{
  const auto smallestGap = static_cast<double>(aPool.mSmallestGap.count());
  const double stalledGap =
    StalledGapMs(aPool.mFigures, aPool.mTokensPerEvent, aPool.mSlots);
  if (smallestGap <= 0 || stalledGap <= smallestGap) {
    return { false, aUrgent, 0 };
  }
  const double generating =
    stalledGap - aPool.mTokensPerEvent *
                   PrefillMs(aPool.mFigures, aPool.mFigures.mChunkTokens);
  const auto known = mLengths.find(aKind);
  const double tokens =
    known == mLengths.end() || known->second.mCount < kKnownAfter
      ? aTokens
      : known->second.mMean;
  const bool light =
    PrefillMs(aPool.mFigures, tokens) <= kLightShare * smallestGap;
  return { true, light, std::max(smallestGap - generating, 0.0) };
}

} // namespace sapphirespar::policy
