// Tests of the retry budget of the whole fleet.
#include "sapphirespar/policy/fleet_retry_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const std::string kPool = "engines";

TEST(FleetRetryBudget, EarnsRetriesWithItsOwnRequests)
{
  fleet_retry_budget budget({ 0.2, 0, 10s });
  const steady_time now{ 100s };
  EXPECT_FALSE(budget.TryTake(kPool, 9, now));
  for (int count = 0; count < 100; ++count) {
    budget.CountRequest(kPool, now);
  }
  int taken = 0;
  while (budget.TryTake(kPool, 9, now)) {
    ++taken;
  }
  EXPECT_EQ(taken, 16);
  EXPECT_FALSE(budget.TryTake("other", 9, now));
}

TEST(FleetRetryBudget, GrantsNoSlackToAnUnknownNumberOfRouters)
{
  fleet_retry_budget budget({ 0.2, 58, 10s });
  EXPECT_FALSE(budget.TryTake(kPool, 0, steady_time{ 100s }));
  EXPECT_TRUE(budget.TryTake(kPool, 9, steady_time{ 100s }));
}

TEST(FleetRetryBudget, IgnoresRetriesBeforeTheWindow)
{
  fleet_retry_budget budget({ 0.2, 10, 10s });
  int taken = 0;
  while (budget.TryTake(kPool, 1, steady_time{ 100s })) {
    ++taken;
  }
  EXPECT_EQ(taken, 8);
  EXPECT_FALSE(budget.TryTake(kPool, 1, steady_time{ 109s }));
  EXPECT_TRUE(budget.TryTake(kPool, 1, steady_time{ 111s }));
}

// No window contains more retries of the whole fleet than the limits allow.
TEST(FleetRetryBudget, KeepsTheFleetWithinItsBound)
{
  EXPECT_TRUE(rc::check([] {
    constexpr unsigned kRouters = 6;
    const fleet_retry_limits limits{ 0.2, 58, 10s };
    std::vector<fleet_retry_budget> routers(kRouters,
                                            fleet_retry_budget(limits));
    std::vector<steady_time> requests;
    std::vector<steady_time> retries;
    steady_time now{ 100s };
    const auto steps = *rc::gen::container<std::vector<unsigned>>(
      400, rc::gen::inRange(0u, 600u));
    for (const auto step : steps) {
      now += std::chrono::milliseconds(step % 100);
      auto& router = routers[step % kRouters];
      if (step % 4 == 0) {
        router.CountRequest(kPool, now);
        requests.push_back(now);
      } else if (router.TryTake(kPool, kRouters, now)) {
        retries.push_back(now);
      }
    }
    for (const auto end : retries) {
      const auto within = [&](steady_time aTime) {
        return aTime > end - limits.mWindow && aTime <= end;
      };
      const auto requestCount = std::ranges::count_if(requests, within);
      const auto retryCount = std::ranges::count_if(retries, within);
      RC_ASSERT(static_cast<double>(retryCount) <=
                limits.mRatio * static_cast<double>(requestCount) +
                  limits.mSlack);
    }
  }));
}

} // namespace
} // namespace sapphirespar::policy
