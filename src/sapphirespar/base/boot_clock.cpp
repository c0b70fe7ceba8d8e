// Reads the boot-time clock.
#include "sapphirespar/base/boot_clock.hpp"

#include <ctime>

namespace sapphirespar {

boot_time
BootNow()
{
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return boot_time(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace sapphirespar
