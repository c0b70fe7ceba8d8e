// The tiered scheduler serves the first tier first, then classes below their
// minimum share, then by tier and latest start. Queues are bounded, and
// requests that can't be in time are refused on arrival.
#pragma once

#include "sapphirespar/policy/choose_pause.hpp"
#include "sapphirespar/policy/choose_upstream.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <functional>
#include <optional>
#include <span>

namespace sapphirespar::policy {

// Replaceable parts of the policy. An empty hook selects the built-in part.
struct scheduler_hooks
{
  // Predicts the times of a request. Built in: learned from completions.
  std::function<expected_times(const queued_request&)> mEstimate;

  // Returns the latest start with which the request can be in time.
  std::function<
    steady_time(const queued_request&, const expected_times&, steady_time aNow)>
    mStartBy;

  // Chooses the upstream to use now; null for none.
  std::function<const slot_state*(const placement_context&)> mChooseUpstream;

  // Chooses the running request to pause for one of a higher tier; nothing for
  // none.
  std::function<std::optional<request_id>(std::span<const pause_candidate>,
                                          steady_duration aPause)>
    mChoosePause;
};

scheduler_ptr MakeTieredScheduler(scheduler_hooks aHooks = {});

} // namespace sapphirespar::policy
