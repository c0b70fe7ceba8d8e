// Our scheduler: the first tier before everything, a minimum share for every
// other class, then order of tiers and least time left; bounded queues, and
// refusal on arrival of what can't be in time.
#pragma once

#include "sapphirespar/policy/choose_pause.hpp"
#include "sapphirespar/policy/choose_upstream.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <functional>
#include <optional>
#include <span>

namespace sapphirespar::policy {

// Parts of the policy that can be replaced; an empty hook stands for the
// built-in part.
struct scheduler_hooks
{
  // What a request will take. Built in: learned from completions.
  std::function<expectation(const queued_request&)> mEstimate;

  // The latest start that is still of use.
  std::function<
    steady_time(const queued_request&, const expectation&, steady_time aNow)>
    mStartBy;

  // The upstream to use now; null for none.
  std::function<const slot_state*(const placement&)> mChooseUpstream;

  // The running request to pause for one of the first tier; nothing for none.
  std::function<std::optional<request_id>(std::span<const pause_candidate>,
                                          steady_duration aPause)>
    mChoosePause;
};

scheduler_ptr MakeTieredScheduler(scheduler_hooks aHooks = {});

} // namespace sapphirespar::policy
