// A clock that also counts the time for which the machine was suspended, unlike
// the steady clock. It is what the age of anything that expires is told by.
#pragma once

#include <chrono>

namespace sapphirespar {

struct boot_clock
{
  using duration = std::chrono::nanoseconds;
};

using boot_time = std::chrono::time_point<boot_clock>;

boot_time BootNow();

} // namespace sapphirespar
