// Chooses the upstream for a request among those with a free slot.
#pragma once

#include "sapphirespar/policy/answer_estimate.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <span>

namespace sapphirespar::policy {

// Inputs of the choice.
struct placement_context
{
  // All upstreams of the request's pool, with or without free slots.
  std::span<slot_state* const> mMembers;
  const queued_request& mRequest;
  expected_times mExpected;
  steady_time mNow{};
};

// Returns the running requests, including external load, plus one, divided by
// the slots and the speed. At full speed, 1 means that one more request fills
// all slots.
double LoadOf(const slot_state& aState);

// Returns the least loaded upstream, or one that has the prompt's prefix cached
// if its load is within bounds. Requests that must not run twice are spread
// over upstreams whose load is within bounds. An upstream that is too slow for
// the request's deadlines is skipped while the pool has faster ones, even if
// these have no free slot. Returns null if no upstream is suitable now.
const slot_state* ChooseUpstream(const placement_context& aPlacement);

} // namespace sapphirespar::policy
