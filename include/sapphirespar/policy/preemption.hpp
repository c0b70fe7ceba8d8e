// Pauses requests of lower tiers to free slots for higher tiers, and resumes
// them when slots are free again.
#pragma once

#include "sapphirespar/policy/scheduler_state.hpp"
#include "sapphirespar/policy/tiered_scheduler.hpp"

namespace sapphirespar::policy {

// Pauses requests of lower tiers for those of aLane that would otherwise miss
// their latest start, and gives the slots to these. Any lower request is paused
// for the first tier; for other tiers, only one that can still be in time after
// the pause.
void Preempt(scheduler_state& aState,
             const scheduler_hooks& aHooks,
             pool_queue& aPool,
             class_lane& aLane,
             steady_time aNow,
             decisions& aDecisions);

// Resumes paused requests at those of the pool's upstreams that have free
// slots.
void Resume(scheduler_state& aState,
            pool_queue& aPool,
            steady_time aNow,
            decisions& aDecisions);

// Resumes all paused requests at upstreams that are not in the current list:
// requests there are not scheduled here and must not stay paused.
void ResumeUnlisted(scheduler_state& aState,
                    steady_time aNow,
                    decisions& aDecisions);

} // namespace sapphirespar::policy
