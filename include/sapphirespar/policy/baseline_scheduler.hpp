// The schedulers that ours is measured against: one queue for each pool in
// order of arrival, no tiers, no early refusal.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

namespace sapphirespar::policy {

enum class baseline_choice
{
  // The next upstream in turn that has a free slot.
  InTurn,
  // The upstream with the fewest requests outstanding.
  LeastOutstanding,
};

scheduler_ptr MakeBaselineScheduler(baseline_choice aChoice);

} // namespace sapphirespar::policy
