// Where a request goes among the upstreams that have a free slot.
#pragma once

#include "sapphirespar/policy/answer_estimate.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <span>

namespace sapphirespar::policy {

// All that the choice may depend on.
struct placement
{
  // The upstreams of the request's pool, free or not.
  std::span<slot_state* const> mMembers;
  const queued_request& mRequest;
  expectation mExpected;
  steady_time mNow{};
};

// Outstanding work relative to slots and speed: 1 is full at full speed.
double LoadOf(const slot_state& aState);

// Returns the least loaded upstream, or one that has the prompt's beginning
// cached if its load is within bounds. Requests that may not run twice are
// spread over upstreams whose load is within bounds. An upstream that is too
// slow for the request's deadlines is passed over while there are faster ones,
// free or not. Returns null if none will do now.
const slot_state* ChooseUpstream(const placement& aPlacement);

} // namespace sapphirespar::policy
