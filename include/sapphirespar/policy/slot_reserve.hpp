// Estimates how many slots the requests of a class need, and how many to keep
// free for them where running requests can't be paused.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

class slot_demand
{
public:
  // Counts a new request that needs a slot for aSlotTime.
  void AddRequest(steady_time aNow, steady_duration aSlotTime);

  // Returns the mean number of slots needed recently.
  double MeanAt(steady_time aNow) const;

private:
  // Decays exponentially within minutes.
  double mMean = 0;
  steady_time mUpdatedAt{};
};

// Returns how many of aSlots to reserve for work that needs aMean slots on
// average: aDeviations standard deviations above the mean, but at most three
// quarters of aSlots.
unsigned ReservedSlots(double aMean, double aDeviations, unsigned aSlots);

} // namespace sapphirespar::policy
