// Passive health of one upstream at one router: failed connections, failed
// answers and late first events. Active health checks can be wrong either way,
// so only the results of requests count.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

class passive_health
{
public:
  // Records a failed connection. Starts a backoff, which doubles with each
  // failure in a row up to a maximum.
  void AddConnectFailure(steady_time aNow);

  // Records any response, even a refusal, and ends the backoff.
  void AddResponse();

  // Records the end of a request that reached the upstream.
  void AddResult(bool aFailed, steady_time aNow);

  // Records a first event that came aLateMs milliseconds later than predicted.
  void AddDelay(double aLateMs, steady_time aNow);

  // Returns whether the upstream should not be tried yet after a failed
  // connection.
  bool IsInBackoff(steady_time aNow) const { return aNow < mBackoffUntil; }

  // Returns the share of recent requests that failed, between 0 and 1. With few
  // requests the share stays low.
  double FailureShare(steady_time aNow) const;

  // Returns the cost of choosing the upstream in addition to its load, as
  // milliseconds until the first event.
  double PenaltyMs(steady_time aNow) const;

private:
  // Returns the factor by which the counts have decayed since mDecayedAt.
  double DecayFactor(steady_time aNow) const;
  void Decay(steady_time aNow);

  // Failed connections in a row.
  unsigned mConnectFailures = 0;
  steady_time mBackoffUntil{};
  // Exponentially decaying counts.
  double mResults = 0;
  double mFailures = 0;
  // Decaying average of the lateness of first events.
  double mLateMs = 0;
  steady_time mDecayedAt{};
};

} // namespace sapphirespar::policy
