// Limits the retries that all routers together send to a pool, without
// coordination: each router may spend what its own requests earn plus an equal
// part of a fixed allowance.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <deque>
#include <map>
#include <string>

namespace sapphirespar::policy {

struct fleet_retry_limits
{
  // Retries earned by each request within the window.
  double mRatio = 0.2;
  // Additional retries of the whole fleet within the window.
  double mSlack = 0;
  std::chrono::seconds mWindow{ 10 };
};

class fleet_retry_budget
{
public:
  explicit fleet_retry_budget(fleet_retry_limits aLimits);

  // Replaces the limits; the counts stay.
  void SetLimits(fleet_retry_limits aLimits) { mLimits = aLimits; }

  // Counts a request that has arrived for the pool.
  void CountRequest(const std::string& aPool, steady_time aNow);

  // Spends one retry; returns false if there is none left. aRouters is the
  // maximum number of routers that may be live; zero, if unknown, leaves only
  // the earned retries.
  bool TryTake(const std::string& aPool, unsigned aRouters, steady_time aNow);

private:
  struct pool_history
  {
    std::deque<steady_time> mRequests;
    std::deque<steady_time> mRetries;
  };

  // Removes all times that have left the window.
  pool_history& Prune(const std::string& aPool, steady_time aNow);

  fleet_retry_limits mLimits;
  std::map<std::string, pool_history> mPools;
};

} // namespace sapphirespar::policy
