// Tests of the routing's version and age.
#include "sapphirespar/gateway/routing_state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

routing_ptr
Table(routing_version aVersion)
{
  routing_config config;
  config.mVersion = aVersion;
  return std::make_shared<policy::route_table>(std::move(config));
}

TEST(RoutingState, NeverGoesBack)
{
  routing_state state;
  EXPECT_FALSE(state.Age(boot_time{ 1s }));
  EXPECT_TRUE(state.Apply(Table(7), boot_time{ 1s }));
  EXPECT_FALSE(state.Apply(Table(5), boot_time{ 2s }));
  EXPECT_EQ(state.Version(), 7U);
  // A read of an older version proves nothing of this one.
  EXPECT_EQ(state.Age(boot_time{ 3s }), 2s);
}

TEST(RoutingState, CountsItsAgeFromTheSendingOfTheRead)
{
  routing_state state;
  state.Apply(Table(7), boot_time{ 10s });
  EXPECT_TRUE(state.ProvesKeys(boot_time{ 14s }, 5s));
  EXPECT_FALSE(state.ProvesKeys(boot_time{ 15s }, 5s));
  state.Confirm(boot_time{ 12s });
  EXPECT_TRUE(state.ProvesKeys(boot_time{ 15s }, 5s));
  // A late answer to an early read changes nothing.
  state.Confirm(boot_time{ 11s });
  EXPECT_TRUE(state.ProvesKeys(boot_time{ 16s }, 5s));
}

// A key that was taken away more than the bound before a request arrives is
// never accepted, however reads are delayed.
TEST(RoutingState, NeverProvesAKeyThatIsGoneForLonger)
{
  EXPECT_TRUE(rc::check([] {
    constexpr auto kBound = 5000ms;
    const std::chrono::milliseconds removed(*rc::gen::inRange(0, 20000));
    routing_state state;
    state.Apply(Table(1), boot_time{});
    std::chrono::milliseconds now{ 0 };
    for (int step = 0; step < 30; ++step) {
      const auto sent = now;
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      // The store answers with what holds at some moment in between.
      const auto seen =
        sent + std::chrono::milliseconds(*rc::gen::inRange<int>(
                 0, static_cast<int>((now - sent).count()) + 1));
      state.Apply(Table(seen >= removed ? 2 : 1), boot_time{ sent });
      const bool serves =
        state.Version() == 1 && state.ProvesKeys(boot_time{ now }, kBound);
      RC_ASSERT(!serves || now < removed + kBound);
    }
  }));
}

} // namespace
} // namespace sapphirespar::gateway
