// Makes room for the first tier by pausing lower work, and lets paused work go
// on as soon as there is room again.
#pragma once

#include "sapphirespar/policy/scheduler_state.hpp"
#include "sapphirespar/policy/tiered_scheduler.hpp"

namespace sapphirespar::policy {

// Pauses lower requests for the first-tier ones that still wait and would miss
// their latest start otherwise, and gives them the slots.
void Preempt(scheduler_state& aState,
             const scheduler_hooks& aHooks,
             pool_queue& aPool,
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
