// CPU time of the scheduler's events at a given queue length.
#pragma once

#include <cstddef>

namespace sapphirespar::experiment {

// Mean CPU time of each kind of event.
struct event_cost
{
  std::size_t mQueued = 0;
  double mSubmitMicroseconds = 0;
  double mFinishMicroseconds = 0;
  double mTickMicroseconds = 0;
};

// Fills a scheduler with aQueued waiting requests, then repeatedly finishes one
// request and submits another, and measures the events.
event_cost MeasureEventCost(std::size_t aQueued);

} // namespace sapphirespar::experiment
