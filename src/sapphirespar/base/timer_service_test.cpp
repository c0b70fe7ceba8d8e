// Tests of the virtual timer service.
#include "sapphirespar/base/timer_service.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

TEST(ManualTimerService, CallsInOrderOfDueTime)
{
  manual_timer_service timers;
  std::vector<int> calls;
  const auto late = timers.After(2s, [&] { calls.push_back(2); });
  const auto early = timers.After(1s, [&] { calls.push_back(1); });
  timers.Advance(3s);
  EXPECT_EQ(calls, (std::vector{ 1, 2 }));
}

TEST(ManualTimerService, RepeatsUntilCancelled)
{
  manual_timer_service timers;
  int calls = 0;
  std::optional every = timers.Every(1s, [&] { ++calls; });
  timers.Advance(3s);
  EXPECT_EQ(calls, 3);
  every.reset();
  timers.Advance(3s);
  EXPECT_EQ(calls, 3);
}

TEST(ManualTimerService, ACallbackMayCancelItsOwnSubscription)
{
  manual_timer_service timers;
  int calls = 0;
  std::optional<timer_subscription> every;
  every = timers.Every(1s, [&] {
    ++calls;
    every.reset();
  });
  timers.Advance(5s);
  EXPECT_EQ(calls, 1);
}

} // namespace
} // namespace sapphirespar
