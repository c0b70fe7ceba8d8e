// Bounds what all routers together send to a pool beyond the first attempt of
// each request, without asking each other: every router spends the share that
// its own requests earn and an even part of what is granted besides.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <deque>
#include <map>
#include <string>

namespace sapphirespar::policy {

struct fleet_retry_limits
{
  // Extra attempts for each request within the window.
  double mRatio = 0.2;
  // Extra attempts of the whole fleet within the window besides.
  double mSlack = 0;
  std::chrono::seconds mWindow{ 10 };
};

class fleet_retry_budget
{
public:
  explicit fleet_retry_budget(fleet_retry_limits aLimits);

  // Replaces the limits; what has been counted stays.
  void SetLimits(fleet_retry_limits aLimits) { mLimits = aLimits; }

  // A request for the pool has arrived.
  void CountRequest(const std::string& aPool, steady_time aNow);

  // Spends one extra attempt if there is one left. aRouters is the highest
  // number of routers that may be live; zero if it is not known.
  bool TryTake(const std::string& aPool, unsigned aRouters, steady_time aNow);

private:
  struct pool_history
  {
    std::deque<steady_time> mRequests;
    std::deque<steady_time> mRetries;
  };

  pool_history& Forget(const std::string& aPool, steady_time aNow);

  fleet_retry_limits mLimits;
  std::map<std::string, pool_history> mPools;
};

} // namespace sapphirespar::policy
