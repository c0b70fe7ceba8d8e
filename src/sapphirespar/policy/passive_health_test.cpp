// Tests of what a router remembers of an upstream.
#include "sapphirespar/policy/passive_health.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const steady_time kNow{ 100s };

TEST(UpstreamRecord, LeavesAloneWhatIsNotReachedAndTriesItAgain)
{
  passive_health record;
  EXPECT_FALSE(record.IsInBackoff(kNow));
  record.AddConnectFailure(kNow);
  EXPECT_TRUE(record.IsInBackoff(kNow + 200ms));
  EXPECT_FALSE(record.IsInBackoff(kNow + 250ms));
  record.AddConnectFailure(kNow + 250ms);
  EXPECT_TRUE(record.IsInBackoff(kNow + 700ms));
  for (int count = 0; count < 20; ++count) {
    record.AddConnectFailure(kNow);
  }
  EXPECT_FALSE(record.IsInBackoff(kNow + 2s));
  record.AddResponse();
  EXPECT_FALSE(record.IsInBackoff(kNow));
}

TEST(UpstreamRecord, TellsAFailingUpstreamFromASoundOne)
{
  passive_health sound;
  passive_health failing;
  for (int count = 0; count < 10; ++count) {
    sound.AddResult(false, kNow);
    failing.AddResult(count % 2 == 0, kNow);
  }
  EXPECT_LT(sound.PenaltyMs(kNow), 1);
  EXPECT_GT(failing.PenaltyMs(kNow), 300);
  // It is tried again once its failures are old.
  EXPECT_LT(failing.PenaltyMs(kNow + 20s), 50);
}

TEST(UpstreamRecord, OneFailureSaysLittle)
{
  passive_health record;
  record.AddResult(true, kNow);
  EXPECT_LT(record.FailureShare(kNow), 0.5);
}

TEST(UpstreamRecord, FollowsDelaysThatLast)
{
  passive_health record;
  for (int count = 0; count < 20; ++count) {
    record.AddDelay(400, kNow);
  }
  EXPECT_NEAR(record.PenaltyMs(kNow), 400, 10);
  EXPECT_LT(record.PenaltyMs(kNow + 15s), 20);
}

} // namespace
} // namespace sapphirespar::policy
