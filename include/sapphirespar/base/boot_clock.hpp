// A clock that also counts the time for which the machine was suspended, unlike
// the steady clock. It is what the age of anything that expires is told by.
#pragma once

#include <chrono>

namespace sapphirespar {

struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using boot_time = boot_clock::time_point;

} // namespace sapphirespar
