// Tests of the version and the age of the active routing.
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

TEST(RoutingState, NeverAppliesAnOlderVersion)
{
  routing_state state;
  EXPECT_FALSE(state.Age(boot_time{ 1s }));
  EXPECT_TRUE(state.Apply(Table(7), boot_time{ 1s }));
  EXPECT_FALSE(state.Apply(Table(5), boot_time{ 2s }));
  EXPECT_EQ(state.Version(), 7U);
  // A read of an older version does not confirm the active one.
  EXPECT_EQ(state.Age(boot_time{ 3s }), 2s);
}

TEST(RoutingState, CountsItsAgeFromWhenTheReadWasSent)
{
  routing_state state;
  state.Apply(Table(7), boot_time{ 10s });
  EXPECT_TRUE(state.IsConfirmedWithin(boot_time{ 14s }, 5s));
  EXPECT_FALSE(state.IsConfirmedWithin(boot_time{ 15s }, 5s));
  state.Confirm(boot_time{ 12s });
  EXPECT_TRUE(state.IsConfirmedWithin(boot_time{ 15s }, 5s));
  // A late answer to an early read changes nothing.
  state.Confirm(boot_time{ 11s });
  EXPECT_TRUE(state.IsConfirmedWithin(boot_time{ 16s }, 5s));
}

TEST(RoutingState, ATableThatNoReadHasConfirmedIsNotFreshSoonAfterBoot)
{
  routing_state state;
  state.Apply(Table(7), boot_time{});
  EXPECT_FALSE(state.IsConfirmedWithin(boot_time{ 1s }, 5s));
  EXPECT_GE(state.Age(boot_time{ 1s }), 24h);
  state.Confirm(boot_time{ 1s });
  EXPECT_TRUE(state.IsConfirmedWithin(boot_time{ 2s }, 5s));
}

// A key that was revoked more than the bound before a request arrives is never
// accepted, however long reads are delayed.
TEST(RoutingState, NeverAcceptsAKeyRevokedLongerAgoThanTheBound)
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
      // The store answers with its state at some time between the sending of
      // the read and the answer.
      const auto readAt =
        sent + std::chrono::milliseconds(*rc::gen::inRange<int>(
                 0, static_cast<int>((now - sent).count()) + 1));
      state.Apply(Table(readAt >= removed ? 2 : 1), boot_time{ sent });
      const bool accepted = state.Version() == 1 &&
                            state.IsConfirmedWithin(boot_time{ now }, kBound);
      RC_ASSERT(!accepted || now < removed + kBound);
    }
  }));
}

} // namespace
} // namespace sapphirespar::gateway
