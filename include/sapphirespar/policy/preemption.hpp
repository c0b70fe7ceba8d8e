// Makes room for higher tiers by pausing lower work, and lets paused work go on
// as soon as there is room again.
#pragma once

#include "sapphirespar/policy/scheduler_state.hpp"
#include "sapphirespar/policy/tiered_scheduler.hpp"

namespace sapphirespar::policy {

// Pauses requests of lower tiers for those of aLane that would miss their
// latest start otherwise, and gives them the slots. For the first tier anything
// lower is paused; for other tiers only what can bear it and be in time.
void Preempt(scheduler_state& aState,
             const scheduler_hooks& aHooks,
             pool_queue& aPool,
             class_lane& aLane,
             steady_time aNow,
             decisions& aMade);

// Resumes what is paused at the pool's upstreams where slots are free.
void Resume(scheduler_state& aState,
            pool_queue& aPool,
            steady_time aNow,
            decisions& aMade);

// Resumes all at upstreams that are not named any more: what is no longer
// scheduled here must not stay paused.
void ResumeUnnamed(scheduler_state& aState, steady_time aNow, decisions& aMade);

} // namespace sapphirespar::policy
