// Decides which share of the requests of a data centre leaves it, so that its
// own engines are used first and none of its callers waits much longer than
// those of others.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <optional>

namespace sapphirespar::policy {

// The engines of a pool in this data centre, or in all others.
struct zone_load
{
  double mEngines = 0;
  // Mean time until an engine has done the prefill that it has, in
  // milliseconds.
  double mWaitMs = 0;
  // Share of the slots that are taken.
  double mSlotsTaken = 0;
};

// The share grows with the difference between what requests cost here and
// elsewhere, so that where much leaves, both cost nearly the same. It follows
// slowly: all gateways of a data centre see nearly the same loads, on news that
// may be a second old, and change it alike.
class zone_exit
{
public:
  // Updates the share. aNow never decreases.
  void Update(const zone_load& aOwn,
              const zone_load& aOthers,
              steady_time aNow);

  // Share of the requests that may go to any data centre, between 0 and 1.
  double Share() const { return mShare; }

  // Returns whether a request leaves the choice of its engine to all data
  // centres. aSharedPrefillMs is the time that an engine without the request's
  // shared prefix takes to process it: if that is long, the engine that has it
  // cached is worth the distance. aDraw is a random number between 0 and 1.
  bool Leaves(double aSharedPrefillMs, double aDraw) const;

private:
  // Until the loads are known, requests go anywhere.
  double mShare = 1;
  std::optional<steady_time> mUpdated;
};

} // namespace sapphirespar::policy
