// How many slots are kept free for the first tier where running work can't be
// paused.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

class slot_reserve
{
public:
  // Takes in that a first-tier request has come which needs a slot for
  // aSlotTime.
  void Note(steady_time aNow, steady_duration aSlotTime);

  // Slots of aSlots to keep for the first tier, those that it uses included.
  unsigned Target(steady_time aNow, unsigned aSlots) const;

private:
  double OfferedAt(steady_time aNow) const;

  // Mean number of slots that the first tier needs, fading within minutes.
  double mOffered = 0;
  steady_time mNotedAt{};
};

} // namespace sapphirespar::policy
