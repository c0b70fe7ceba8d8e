// Tests of the passive health of upstreams.
#include "sapphirespar/policy/passive_health.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const steady_time kNow{ 100s };

TEST(PassiveHealth, BacksOffAfterFailedConnectionsAndThenRetries)
{
  passive_health health;
  EXPECT_FALSE(health.IsInBackoff(kNow));
  health.AddConnectFailure(kNow);
  EXPECT_TRUE(health.IsInBackoff(kNow + 200ms));
  EXPECT_FALSE(health.IsInBackoff(kNow + 250ms));
  health.AddConnectFailure(kNow + 250ms);
  EXPECT_TRUE(health.IsInBackoff(kNow + 700ms));
  for (int count = 0; count < 20; ++count) {
    health.AddConnectFailure(kNow);
  }
  EXPECT_FALSE(health.IsInBackoff(kNow + 2s));
  health.AddResponse();
  EXPECT_FALSE(health.IsInBackoff(kNow));
}

TEST(PassiveHealth, DistinguishesAFailingUpstreamFromAHealthyOne)
{
  passive_health healthy;
  passive_health failing;
  for (int count = 0; count < 10; ++count) {
    healthy.AddResult(false, kNow);
    failing.AddResult(count % 2 == 0, kNow);
  }
  EXPECT_LT(healthy.PenaltyMs(kNow), 1);
  EXPECT_GT(failing.PenaltyMs(kNow), 300);
  // The penalty decays, so that the upstream is tried again.
  EXPECT_LT(failing.PenaltyMs(kNow + 20s), 50);
}

TEST(PassiveHealth, OneFailureHasLittleEffect)
{
  passive_health health;
  health.AddResult(true, kNow);
  EXPECT_LT(health.FailureShare(kNow), 0.5);
}

TEST(PassiveHealth, PenalizesLastingDelays)
{
  passive_health health;
  for (int count = 0; count < 20; ++count) {
    health.AddDelay(400, kNow);
  }
  EXPECT_NEAR(health.PenaltyMs(kNow), 400, 10);
  EXPECT_LT(health.PenaltyMs(kNow + 15s), 20);
}

} // namespace
} // namespace sapphirespar::policy
