// Creates schedulers by name or kind.
#include "sapphirespar/policy/scheduler.hpp"

#include "sapphirespar/policy/baseline_scheduler.hpp"
#include "sapphirespar/policy/tiered_scheduler.hpp"

namespace sapphirespar::policy {

scheduler_ptr
MakeScheduler(std::string_view aName)
{
  if (aName == "tiered") {
    return MakeScheduler(scheduler_kind::Tiered);
  }
  if (aName == "fifo") {
    return MakeScheduler(scheduler_kind::Fifo);
  }
  if (aName == "least_outstanding") {
    return MakeScheduler(scheduler_kind::LeastOutstanding);
  }
  return nullptr;
}

scheduler_ptr
MakeScheduler(scheduler_kind aKind)
{
  switch (aKind) {
    case scheduler_kind::Fifo:
      return MakeBaselineScheduler(baseline_choice::RoundRobin);
    case scheduler_kind::LeastOutstanding:
      return MakeBaselineScheduler(baseline_choice::LeastOutstanding);
    case scheduler_kind::Tiered:
      break;
  }
  return MakeTieredScheduler();
}

} // namespace sapphirespar::policy
