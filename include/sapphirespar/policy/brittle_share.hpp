// How many requests a gateway may send to an upstream that must not have to
// turn many away, so that the whole fleet fills only the room that is known.
#pragma once

#include <chrono>

namespace sapphirespar::policy {

struct brittle_room
{
  // Requests that the upstream runs at a time.
  double mSlots = 0;
  // Requests of all gateways that are known to run there.
  double mRunning = 0;
  // Rejections a second that the upstream tolerates.
  double mTolerated = 0;
  // Mean time for which a request takes a slot; zero if unknown.
  std::chrono::milliseconds mWork{ 0 };
  // Time after which the loads of other gateways are known; above zero.
  std::chrono::milliseconds mPeriod{ 1 };
  // Gateways that may send; at least one.
  unsigned mGateways = 1;
};

// Returns the mean number of requests that each gateway may send in a period.
// If all gateways draw their numbers independently, the fleet fills part of the
// room in a period, and a full upstream gets a small part of the rejections
// that it tolerates. It needs no messages beside the loads.
double MeanSendsPerPeriod(const brittle_room& aRoom);

// Returns a whole number whose mean over uniform aDraw, from 0 to 1, is aMean.
unsigned DrawSends(double aMean, double aDraw);

} // namespace sapphirespar::policy
