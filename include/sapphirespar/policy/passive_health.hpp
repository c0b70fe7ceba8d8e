// What one router has seen of an upstream itself: whether it is reached, how
// many of its answers fail, how late its first events come. Health checks can
// be wrong either way, so only answers to requests count.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::policy {

class passive_health
{
public:
  // A connection could not be made; it is left alone for a while, longer each
  // time.
  void AddConnectFailure(steady_time aNow);

  // It has answered, if only to refuse.
  void AddResponse();

  // A request that reached it has ended.
  void AddResult(bool aFailed, steady_time aNow);

  // A first event came so many milliseconds later than predicted.
  void AddDelay(double aLateMs, steady_time aNow);

  // Whether connections to it have just failed.
  bool IsInBackoff(steady_time aNow) const { return aNow < mBlockedUntil; }

  // Share of recent requests that failed, between 0 and 1; few requests say
  // little.
  double FailureShare(steady_time aNow) const;

  // What choosing it costs beyond its load, in milliseconds to the first event.
  double PenaltyMs(steady_time aNow) const;

private:
  double Kept(steady_time aNow) const;
  void Fade(steady_time aNow);

  // Failed connections in a row.
  unsigned mUnreached = 0;
  steady_time mBlockedUntil{};
  // Fading counts.
  double mResults = 0;
  double mFailures = 0;
  double mLateMs = 0;
  steady_time mFadedAt{};
};

} // namespace sapphirespar::policy
