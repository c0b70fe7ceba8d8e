// Chooses the running request to pause so that a more urgent one can start. A
// paused request keeps its tokens and resumes later; nothing is cancelled.
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
  // Value of an answer in time, relative to other classes.
  double mWeight = 1;
  // Time until the answer is due minus the expected remaining run time;
  // negative if the answer will probably be late anyway.
  steady_duration mSlack{};
};

// Returns the candidate that costs least to pause: prefers one that can absorb
// a pause of aPause and still be in time, then the lowest tier, then the
// smallest weight, then the most slack. Returns nothing without candidates.
std::optional<request_id> ChoosePause(
  std::span<const pause_candidate> aCandidates,
  steady_duration aPause);

} // namespace sapphirespar::policy
