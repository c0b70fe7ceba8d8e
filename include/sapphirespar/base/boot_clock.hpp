// A clock that, unlike the steady clock, also advances while the machine is
// suspended. Used for the age of anything that expires.
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
