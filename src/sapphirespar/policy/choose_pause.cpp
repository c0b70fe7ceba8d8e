// Ranks pause candidates by cost.
#include "sapphirespar/policy/choose_pause.hpp"

#include <algorithm>
#include <tuple>

namespace sapphirespar::policy {

std::optional<request_id>
ChoosePause(std::span<const pause_candidate> aCandidates,
            steady_duration aPause)
{
  const auto cost = [&](const pause_candidate& aItem) {
    const bool absorbs = aItem.mSlack > aPause;
    return std::tuple(absorbs ? 0 : 1,
                      -static_cast<int>(aItem.mTier),
                      aItem.mWeight,
                      -aItem.mSlack);
  };
  const auto found = std::ranges::min_element(aCandidates, {}, cost);
  if (found == aCandidates.end()) {
    return std::nullopt;
  }
  return found->mRequest;
}

} // namespace sapphirespar::policy
