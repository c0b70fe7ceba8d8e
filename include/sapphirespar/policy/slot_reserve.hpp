// How many slots the requests of a class need, and how many are kept free for
// them where running work can't be paused.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

class slot_need
{
public:
  // Takes in that a request has come which needs a slot for aSlotTime.
  void Note(steady_time aNow, steady_duration aSlotTime);

  // Mean number of slots needed lately.
  double MeanAt(steady_time aNow) const;

private:
  // Fades within minutes.
  double mMean = 0;
  steady_time mNotedAt{};
};

// Slots of aSlots to keep for work that needs aMean of them on average, so
// that aDeviations standard deviations above that are covered; at most three
// quarters.
unsigned ReserveFor(double aMean, double aDeviations, unsigned aSlots);

} // namespace sapphirespar::policy
