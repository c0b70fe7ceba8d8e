// The routing in force at a gateway and how fresh it is. A read of the store
// proves only what held when the read was sent, so that is where its age counts
// from, on a clock that goes on while the machine is suspended.
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
  // A read that was sent at aReadSent has found aTable. Returns whether it is
  // newer than the one in force, which it then replaces.
  bool Apply(routing_ptr aTable, boot_time aReadSent);

  // A read that was sent at aReadSent has found the version in force.
  void Confirm(boot_time aReadSent);

  // Null before the first.
  const routing_ptr& Table() const { return mTable; }

  // Zero before the first.
  routing_version Version() const;

  // Time since the routing in force was last known to be the newest.
  std::optional<boot_clock::duration> Age(boot_time aNow) const;

  // Whether a key of a request that arrived at aArrival can't have been taken
  // away longer than aBound before.
  bool ProvesKeys(boot_time aArrival, boot_clock::duration aBound) const;

private:
  routing_ptr mTable;
  // When the newest read that found mTable was sent; only rises.
  boot_time mConfirmed{};
};

} // namespace sapphirespar::gateway
