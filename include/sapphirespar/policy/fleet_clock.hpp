// True time as most gateways show it. The wall clock of one machine may be
// stepped; the median of the fleet's clocks moves only if half of them are.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/ids.hpp"

#include <chrono>
#include <map>

namespace sapphirespar::policy {

// Time since the start of 1970.
using wall_time = std::chrono::milliseconds;

class fleet_clock
{
public:
  // Records that a gateway's wall clock showed aWall at aNow.
  void Note(const vm_id& aVm, wall_time aWall, boot_time aNow);

  // Returns the time at aNow, when this gateway's own wall clock shows aOwn.
  wall_time At(wall_time aOwn, boot_time aNow) const;

private:
  struct reading
  {
    // The wall clock minus the boot clock of this process.
    std::chrono::milliseconds mOffset{ 0 };
    boot_time mTakenAt{};
  };

  std::map<vm_id, reading> mReadings;
};

} // namespace sapphirespar::policy
