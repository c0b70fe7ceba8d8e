// Tests that a minority of stepped clocks does not move the fleet's time.
#include "sapphirespar/policy/fleet_clock.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr wall_time kTrue{ 1'700'000'000'000 };

boot_time
At(std::chrono::milliseconds aTime)
{
  return boot_time(aTime);
}

TEST(fleet_clock, AloneItShowsItsOwnClock)
{
  EXPECT_EQ(fleet_clock().At(kTrue, At(5s)), kTrue);
}

TEST(fleet_clock, AStepOfTheOwnClockIsNotFollowed)
{
  fleet_clock clock;
  clock.Note({ "a" }, kTrue + 3ms, At(5s));
  clock.Note({ "b" }, kTrue - 2ms, At(5s));
  EXPECT_EQ(clock.At(kTrue + 1s - 30s, At(6s)), kTrue + 1s - 2ms);
  EXPECT_EQ(clock.At(kTrue + 1s + 30s, At(6s)), kTrue + 1s + 3ms);
}

TEST(fleet_clock, AMinorityOfSteppedClocksIsNotFollowed)
{
  fleet_clock clock;
  for (int index = 0; index < 9; ++index) {
    const auto step = index < 3 ? 8s : 0s;
    clock.Note({ std::to_string(index) }, kTrue + step, At(5s));
  }
  EXPECT_EQ(clock.At(kTrue + 8s, At(5s)), kTrue);
}

TEST(fleet_clock, GatewaysThatAreGoneAreForgotten)
{
  fleet_clock clock;
  clock.Note({ "a" }, kTrue + 9s, At(5s));
  clock.Note({ "b" }, kTrue + 9s, At(5s));
  EXPECT_EQ(clock.At(kTrue + 60s, At(65s)), kTrue + 60s);
}

} // namespace
} // namespace sapphirespar::policy
