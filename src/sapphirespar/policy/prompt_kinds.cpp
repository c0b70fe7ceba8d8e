// Compares the stall that prompts cause with the gaps that streams may have.
#include "sapphirespar/policy/prompt_kinds.hpp"

#include "sapphirespar/policy/engine_model.hpp"

#include <algorithm>

namespace sapphirespar::policy {
namespace {

// Weight of the newest prompt in the average length of its kind.
constexpr double kNewestWeight = 0.05;

// A prompt is light if its prefill takes at most this share of the smallest
// target gap, so that several of them fit between two events.
constexpr double kLightShare = 0.25;

} // namespace

void
prompt_kinds::Add(const prompt_kind& aKind, double aTokens)
{
  const auto [place, added] = mTokens.try_emplace(aKind, aTokens);
  if (!added) {
    place->second += kNewestWeight * (aTokens - place->second);
  }
}

kind_separation
prompt_kinds::Separate(const prompt_kind& aKind,
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
    stalledGap -
    aPool.mTokensPerEvent * PrefillMs(aPool.mFigures, aPool.mFigures.mChunkTokens);
  const auto known = mTokens.find(aKind);
  const double tokens = known == mTokens.end() ? 0 : known->second;
  const bool light =
    PrefillMs(aPool.mFigures, tokens) <= kLightShare * smallestGap;
  return { true, light, std::max(smallestGap - generating, 0.0) };
}

} // namespace sapphirespar::policy
