// Which running request makes way for one of the first tier. A paused request
// keeps its tokens and goes on later; nothing is cancelled.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <optional>
#include <span>

namespace sapphirespar::policy {

// A running request that could be paused.
struct pause_candidate
{
  request_id mRequest;
  unsigned mTier = 0;
  // Worth of its answer in time.
  double mWeight = 1;
  // Time to spare until its answer is due, with the rest of the answer taken
  // off; negative if it will probably be late anyway.
  steady_duration mSlack{};
};

// Returns the candidate whose pause costs least: first one that can absorb a
// pause of aPause and still be in time, then the lowest tier, the least weight
// and the most slack. Nothing if there are no candidates.
std::optional<request_id> ChoosePause(
  std::span<const pause_candidate> aCandidates,
  steady_duration aPause);

} // namespace sapphirespar::policy
