// Counts requests and retries in sliding windows.
#include "sapphirespar/policy/fleet_retry_budget.hpp"

namespace sapphirespar::policy {
namespace {

// Leaves a margin because a request can fall into a different window at the
// upstream than here.
constexpr double kSafetyFactor = 0.8;

void
PruneBefore(std::deque<steady_time>& aTimes, steady_time aOldest)
{
  while (!aTimes.empty() && aTimes.front() <= aOldest) {
    aTimes.pop_front();
  }
}

} // namespace

fleet_retry_budget::fleet_retry_budget(fleet_retry_limits aLimits)
  : mLimits(aLimits)
{
}

fleet_retry_budget::pool_history&
fleet_retry_budget::Prune(const std::string& aPool, steady_time aNow)
{
  auto& history = mPools[aPool];
  PruneBefore(history.mRequests, aNow - mLimits.mWindow);
  PruneBefore(history.mRetries, aNow - mLimits.mWindow);
  return history;
}

void
fleet_retry_budget::CountRequest(const std::string& aPool, steady_time aNow)
{
  Prune(aPool, aNow).mRequests.push_back(aNow);
}

bool
fleet_retry_budget::TryTake(const std::string& aPool,
                            unsigned aRouters,
                            steady_time aNow)
{
  auto& history = Prune(aPool, aNow);
  const double earned =
    mLimits.mRatio * static_cast<double>(history.mRequests.size());
  const double granted = aRouters == 0 ? 0 : mLimits.mSlack / aRouters;
  const auto spent = static_cast<double>(history.mRetries.size());
  if (spent + 1 > kSafetyFactor * (earned + granted)) {
    return false;
  }
  history.mRetries.push_back(aNow);
  return true;
}

} // namespace sapphirespar::policy
