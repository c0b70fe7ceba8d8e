// Tests of what a router remembers of an upstream.
#include "sapphirespar/policy/upstream_record.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const steady_time kNow{ 100s };

TEST(UpstreamRecord, LeavesAloneWhatIsNotReachedAndTriesItAgain)
{
  upstream_record record;
  EXPECT_FALSE(record.IsBlocked(kNow));
  record.AddUnreached(kNow);
  EXPECT_TRUE(record.IsBlocked(kNow + 200ms));
  EXPECT_FALSE(record.IsBlocked(kNow + 250ms));
  record.AddUnreached(kNow + 250ms);
  EXPECT_TRUE(record.IsBlocked(kNow + 700ms));
  for (int count = 0; count < 20; ++count) {
    record.AddUnreached(kNow);
  }
  EXPECT_FALSE(record.IsBlocked(kNow + 2s));
  record.AddReached();
  EXPECT_FALSE(record.IsBlocked(kNow));
}

TEST(UpstreamRecord, TellsAFailingUpstreamFromASoundOne)
{
  upstream_record sound;
  upstream_record failing;
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
  upstream_record record;
  record.AddResult(true, kNow);
  EXPECT_LT(record.FailureShare(kNow), 0.5);
}

TEST(UpstreamRecord, FollowsDelaysThatLast)
{
  upstream_record record;
  for (int count = 0; count < 20; ++count) {
    record.AddDelay(400, kNow);
  }
  EXPECT_NEAR(record.PenaltyMs(kNow), 400, 10);
  EXPECT_LT(record.PenaltyMs(kNow + 15s), 20);
}

} // namespace
} // namespace sapphirespar::policy
