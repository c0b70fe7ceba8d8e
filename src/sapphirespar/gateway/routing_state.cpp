// Version and age of the active routing.
#include "sapphirespar/gateway/routing_state.hpp"

#include <algorithm>

namespace sapphirespar::gateway {

bool
routing_state::Apply(routing_ptr aTable, boot_time aReadSent)
{
  if (aTable->Version() < Version()) {
    return false;
  }
  if (mTable && aTable->Version() == Version()) {
    Confirm(aReadSent);
    return false;
  }
  mTable = std::move(aTable);
  Confirm(aReadSent);
  return true;
}

void
routing_state::Confirm(boot_time aReadSent)
{
  mConfirmed = std::max(mConfirmed, aReadSent);
}

routing_version
routing_state::Version() const
{
  return mTable ? mTable->Version() : 0;
}

std::optional<boot_clock::duration>
routing_state::Age(boot_time aNow) const
{
  if (!mTable) {
    return std::nullopt;
  }
  // Older than any bound, and still safe to add to.
  constexpr boot_clock::duration kNeverConfirmed = std::chrono::hours(24);
  return IsConfirmed() ? aNow - mConfirmed : kNeverConfirmed;
}

bool
routing_state::IsConfirmedWithin(boot_time aArrival,
                                 boot_clock::duration aBound) const
{
  return IsConfirmed() && aArrival - mConfirmed < aBound;
}

} // namespace sapphirespar::gateway
