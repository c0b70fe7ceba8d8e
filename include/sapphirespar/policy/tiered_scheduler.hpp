// Our scheduler: strict order of tiers, then least time left, with bounded
// queues and refusal of what can no longer be in time.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

namespace sapphirespar::policy {

scheduler_ptr MakeTieredScheduler();

} // namespace sapphirespar::policy
