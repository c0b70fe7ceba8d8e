// Processor time of the scheduler's events at a given length of its queue.
#pragma once

#include <cstddef>

namespace sapphirespar::experiment {

struct event_cost
{
  std::size_t mQueued = 0;
  double mSubmitMicroseconds = 0;
  double mFinishMicroseconds = 0;
  double mTickMicroseconds = 0;
};

// Fills a scheduler with aQueued waiting requests, then replaces one request
// after another and takes the mean of each event's processor time.
event_cost MeasureEventCost(std::size_t aQueued);

} // namespace sapphirespar::experiment
