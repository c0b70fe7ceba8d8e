// Tests of single refusals, and of the requests served in time under a load
// above capacity.
#include "sapphirespar/policy/wait_limit.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

TEST(CheckWaitLimit, RefusesBulkWorkThatWouldBeLate)
{
  expected_wait wait{ 1900ms, 0ms, 0, false, 2000ms, 8000ms };
  EXPECT_FALSE(CheckWaitLimit(wait, 0.5));
  wait.mFirstEvent = 2600ms;
  EXPECT_EQ(CheckWaitLimit(wait, 0), 600ms);
  EXPECT_EQ(CheckWaitLimit(wait, 1), 1100ms);
}

TEST(CheckWaitLimit, RefusesInteractiveWorkOnlyIfItsCallerWouldNotWait)
{
  expected_wait wait{ 1900ms, 0ms, 0, true, 300ms, 2000ms };
  EXPECT_FALSE(CheckWaitLimit(wait, 0.5));
  wait.mFirstEvent = 2001ms;
  EXPECT_TRUE(CheckWaitLimit(wait, 0.5));
}

TEST(CheckWaitLimit, NeverSuggestsAnImmediateRetry)
{
  EXPECT_GE(CheckWaitLimit({ 2001ms, 0ms, 0, false, 2000ms, 8000ms }, 0),
            500ms);
}

TEST(CheckWaitLimit, LetsBulkWorkQueueLessTheFullerTheEngines)
{
  expected_wait wait{ 1500ms, 1200ms, 0.5, false, 2000ms, 8000ms };
  EXPECT_FALSE(CheckWaitLimit(wait, 0.5));
  wait.mSlotsTaken = 0.95;
  EXPECT_TRUE(CheckWaitLimit(wait, 0.5));
  // Only time spent on other requests is limited, not a long prompt's own
  // prefill.
  wait.mQueueing = 900ms;
  EXPECT_FALSE(CheckWaitLimit(wait, 0.5));
  wait.mInteractive = true;
  wait.mQueueing = 1200ms;
  EXPECT_FALSE(CheckWaitLimit(wait, 0.5));
}

// Bulk work arrives at twice the capacity of one engine, and a request is in
// time within 2 s. With a target of 2 s the admitted requests are in time. With
// a target of 8 s, the time after which callers stop waiting, most admitted
// requests are late.
TEST(CheckWaitLimit, KeepsAdmittedRequestsInTimeAtTwiceTheCapacity)
{
  constexpr double kWorkMs = 80;
  constexpr double kDurationMs = 20000;
  const auto inTime = [&](std::chrono::milliseconds aTarget) {
    std::mt19937_64 random(20261203);
    std::exponential_distribution<double> gap(2 / kWorkMs);
    double freeAt = 0;
    int served = 0;
    for (double now = 0; now < kDurationMs; now += gap(random)) {
      const double begin = std::max(freeAt, now);
      const std::chrono::milliseconds wait(
        static_cast<int>(begin + kWorkMs - now));
      if (!CheckWaitLimit({ wait, wait, 0, false, aTarget, 8000ms }, 0.5)) {
        freeAt = begin + kWorkMs;
        served += wait <= 2000ms ? 1 : 0;
      }
    }
    return served;
  };
  const int capacity = static_cast<int>(kDurationMs / kWorkMs);
  EXPECT_GT(inTime(2000ms), capacity * 9 / 10);
  EXPECT_LT(inTime(8000ms), capacity / 3);
}

} // namespace
} // namespace sapphirespar::policy
