// The active routing of a gateway and its age. A read of the store proves only
// the state at the time it was sent, so the age counts from there. It is
// measured on a clock that also advances while the machine is suspended.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/policy/route_table.hpp"

#include <memory>
#include <optional>

namespace sapphirespar::gateway {

using routing_ptr = std::shared_ptr<const policy::route_table>;

class routing_state
{
public:
  // Records that a read sent at aReadSent returned aTable. Activates it and
  // returns true if its version is newer than the active one.
  bool Apply(routing_ptr aTable, boot_time aReadSent);

  // Records that a read sent at aReadSent returned the active version.
  void Confirm(boot_time aReadSent);

  // Null before the first routing.
  const routing_ptr& Table() const { return mTable; }

  // Zero before the first routing.
  routing_version Version() const;

  // Time since the active routing was last known to be the newest; unset before
  // the first routing.
  std::optional<boot_clock::duration> Age(boot_time aNow) const;

  // Whether the active routing was confirmed less than aBound before aArrival.
  // A key that it lists can then have been revoked at most aBound before the
  // arrival.
  bool IsConfirmedWithin(boot_time aArrival, boot_clock::duration aBound) const;

private:
  bool IsConfirmed() const { return mTable && mConfirmed != boot_time{}; }

  routing_ptr mTable;
  // When the latest read that returned mTable was sent; never decreases. The
  // boot itself stands for no such read.
  boot_time mConfirmed{};
};

} // namespace sapphirespar::gateway
