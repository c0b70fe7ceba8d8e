// Processor time of the current thread. Internal to the program.
#pragma once

#include <ctime>

namespace sapphirespar::experiment {

// Returns the processor time of the thread in microseconds.
inline double
ProcessorMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kMicrosecondsPerSecond = 1e6;
  constexpr double kMicrosecondsPerNanosecond = 1e-3;
  return time.tv_sec * kMicrosecondsPerSecond +
         time.tv_nsec * kMicrosecondsPerNanosecond;
}

} // namespace sapphirespar::experiment
