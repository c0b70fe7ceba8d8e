// Baseline schedulers to compare the tiered scheduler with: one FIFO queue for
// each pool, without tiers or early refusal.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

namespace sapphirespar::policy {

enum class baseline_choice
{
  // The next upstream in cyclic order that has a free slot.
  RoundRobin,
  // The upstream with the fewest outstanding requests.
  LeastOutstanding,
};

scheduler_ptr MakeBaselineScheduler(baseline_choice aChoice);

} // namespace sapphirespar::policy
