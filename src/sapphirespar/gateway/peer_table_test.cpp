// Tests of the peer table: liveness, readers, loads and registered gateways.
#include "sapphirespar/gateway/peer_table.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

const steady_time kNow{ 100s };

gossip_state
From(std::string aVm, std::uint64_t aSequence = 1)
{
  gossip_state state;
  state.mSender = { { std::move(aVm) }, 5 };
  state.mSequence = aSequence;
  state.mAddress = "10.0.0." + state.mSender.mVm.mText;
  state.mCallerPort = 80;
  state.mAdminPort = 81;
  state.mReady = true;
  return state;
}

TEST(PeerTable, ListsOnlyGatewaysThatAcceptRequests)
{
  peer_table table({ { "1" }, {}, 0 });
  table.Receive(From("1"), kNow);
  table.Receive(From("2"), kNow);
  auto leaving = From("3");
  leaving.mLeaving = true;
  table.Receive(leaving, kNow);
  auto starting = From("4");
  starting.mReady = false;
  table.Receive(starting, kNow);
  const auto points = table.EntryPoints(kNow);
  ASSERT_EQ(points.size(), 1U);
  EXPECT_EQ(points[0].mAddress, "10.0.0.2");
  EXPECT_EQ(points[0].mPort, 80);
}

TEST(PeerTable, EachKeyHasOneOwnerThatAcceptsRequests)
{
  const std::vector<std::string> names{ "1", "2", "3", "4" };
  std::vector<unsigned> owned(names.size());
  for (std::uint64_t key = 0; key < 400; ++key) {
    unsigned owners = 0;
    for (std::size_t self = 0; self < names.size() - 1; ++self) {
      peer_table table({ { names[self] }, {}, 0 });
      for (const auto& name : names) {
        auto state = From(name);
        state.mLeaving = name == names.back();
        table.Receive(state, kNow);
      }
      const bool owns = table.IsOwnerOf(key, kNow);
      owners += owns ? 1 : 0;
      owned[self] += owns ? 1 : 0;
    }
    EXPECT_EQ(owners, 1U);
  }
  EXPECT_TRUE(
    std::ranges::all_of(owned.begin(), owned.end() - 1, [](unsigned aCount) {
      return aCount > 100;
    }));
}

TEST(PeerTable, AnotherGatewayTakesOverTheKeysOfALostOne)
{
  peer_table table({ { "1" }, {}, 0 });
  table.Receive(From("2"), kNow);
  for (std::uint64_t key = 0; key < 50; ++key) {
    EXPECT_TRUE(table.IsOwnerOf(key, kNow + 10s));
  }
}

TEST(PeerTable, HelpersReachTheUpstreamsAndAreNearIfPossible)
{
  peer_table table({ { "1" }, { "here" }, 0 });
  const auto add = [&](std::string aVm, std::string aWhere, bool aCutOff) {
    auto state = From(std::move(aVm));
    state.mDataCentre = { std::move(aWhere) };
    state.mCutOff = aCutOff;
    table.Receive(state, kNow);
  };
  add("2", "here", true);
  EXPECT_TRUE(table.Helpers(kNow).empty());
  add("3", "there", false);
  ASSERT_EQ(table.Helpers(kNow).size(), 1U);
  EXPECT_EQ(table.Helpers(kNow)[0].mAddress, "10.0.0.3");
  add("4", "here", false);
  ASSERT_EQ(table.Helpers(kNow).size(), 1U);
  EXPECT_EQ(table.Helpers(kNow)[0].mAddress, "10.0.0.4");
  EXPECT_TRUE(table.Helpers(kNow + 10s).empty());
}

TEST(PeerTable, GatewaysPreferTheSameKeepers)
{
  const std::vector<std::string> names{ "1", "2", "3", "4", "5" };
  const auto keepers = [&](const std::string& aSelf, std::uint64_t aKey) {
    peer_table table({ { aSelf }, {}, 0 });
    for (const auto& name : names) {
      auto state = From(name);
      state.mLeaving = name == "5";
      table.Receive(state, kNow);
    }
    return table.Keepers(aKey, 2, kNow);
  };
  std::map<std::string, unsigned> kept;
  for (std::uint64_t key = 0; key < 200; ++key) {
    const auto first = keepers("1", key);
    ASSERT_EQ(first.size(), 2U);
    ++kept[first[0]];
    // The other one may be this gateway itself.
    const auto second = keepers("2", key);
    EXPECT_TRUE(std::ranges::any_of(first, [&](const auto& aKeeper) {
      return aKeeper == "10.0.0.2" ||
             std::ranges::find(second, aKeeper) != second.end();
    }));
  }
  // Those that are shutting down keep nothing while others can.
  EXPECT_EQ(kept.size(), 3U);
  EXPECT_FALSE(kept.contains("10.0.0.5"));
  peer_table lost({ { "1" }, {}, 0 });
  lost.Receive(From("2"), kNow);
  EXPECT_TRUE(lost.Keepers(7, 2, kNow + 10s).empty());
}

TEST(PeerTable, RemovesASilentGatewayAndAddsItAgain)
{
  peer_table table({ { "1" }, {}, 0 });
  table.Receive(From("2", 1), kNow);
  EXPECT_TRUE(table.Tick(kNow + 1s).empty());
  EXPECT_EQ(table.EntryPoints(kNow + 1s).size(), 1U);
  EXPECT_TRUE(table.EntryPoints(kNow + 2s).empty());
  EXPECT_EQ(table.Tick(kNow + 2s).size(), 1U);
  // Gossip is still sent there, so that either side can end a network
  // partition.
  EXPECT_EQ(table.Contacts(true).size(), 1U);
  table.Receive(From("2", 2), kNow + 3s);
  EXPECT_EQ(table.EntryPoints(kNow + 3s).size(), 1U);
}

TEST(PeerTable, IgnoresStaleGossip)
{
  peer_table table({ { "1" }, {}, 0 });
  EXPECT_EQ(table.Receive(From("2", 7), kNow), gossip_effect::NewProcess);
  EXPECT_EQ(table.Receive(From("2", 6), kNow), gossip_effect::Ignored);
  EXPECT_EQ(table.Receive(From("2", 8), kNow), gossip_effect::Updated);
  auto restarted = From("2", 1);
  restarted.mSender.mIncarnation = 6;
  EXPECT_EQ(table.Receive(restarted, kNow), gossip_effect::NewProcess);
  EXPECT_EQ(table.Receive(From("2", 9), kNow), gossip_effect::Ignored);
}

TEST(PeerTable, AcceptsAProcessRestartedAfterItsClockWasSetBack)
{
  peer_table table({ { "1" }, {}, 0 });
  table.Receive(From("2", 7), kNow);
  auto restarted = From("2", 1);
  restarted.mSender.mIncarnation = 4;
  EXPECT_EQ(table.Receive(restarted, kNow + 500ms), gossip_effect::Ignored);
  restarted.mSequence = 2;
  EXPECT_EQ(table.Receive(restarted, kNow + 1500ms), gossip_effect::NewProcess);
  EXPECT_EQ(table.EntryPoints(kNow + 1500ms).size(), 1U);
}

TEST(PeerTable, SumsTheLoadsOfLiveGateways)
{
  peer_table table({ { "1" }, {}, 0 });
  auto second = From("2");
  second.mLoads = { { 7, 10, 20, 30, 1, 1 }, { 8, 0, 5, 6, 1, 0 } };
  auto third = From("3");
  third.mLoads = { { 7, 1, 2, 3, 1, 0 } };
  table.Receive(second, kNow);
  table.Receive(third, kNow);
  EXPECT_EQ(table.Loads(kNow).at(7).mRunning, 2);
  EXPECT_EQ(table.Loads(kNow).at(7).mOtherTokens, 22);
  EXPECT_EQ(table.Loads(kNow).at(8).mInteractive, 0);
  EXPECT_TRUE(table.Loads(kNow + 5s).empty());
}

TEST(PeerTable, NeverUndercountsGateways)
{
  peer_table table({ { "1" }, {}, 0 });
  EXPECT_EQ(table.MaximumGateways(kNow), 0U);
  table.SetRegistered({ { { "1" }, "a" }, { { "2" }, "b" } }, kNow);
  EXPECT_EQ(table.MaximumGateways(kNow), 2U);
  table.Receive(From("3"), kNow);
  EXPECT_EQ(table.MaximumGateways(kNow), 3U);
  // A gateway that has been silent for a short time may still send requests.
  EXPECT_EQ(table.MaximumGateways(kNow + 20s), 3U);
  EXPECT_EQ(table.MaximumGateways(kNow + 31s), 2U);
}

TEST(PeerTable, AddsContactsFromPeersUntilTheRegistryIsRead)
{
  peer_table table({ { "1" }, {}, 0 });
  EXPECT_FALSE(table.HasGatewayList());
  const std::vector<peer_contact> contacts{ { { "1" }, "a" },
                                            { { "2" }, "b" } };
  table.AddContacts(contacts, kNow);
  EXPECT_TRUE(table.HasGatewayList());
  ASSERT_EQ(table.Contacts().size(), 1U);
  EXPECT_EQ(table.Contacts()[0].mAddress, "b");
  EXPECT_EQ(table.MaximumGateways(kNow), 2U);
  table.SetRegistered({ { { "3" }, "c" } }, kNow);
  table.AddContacts(contacts, kNow);
  ASSERT_EQ(table.Contacts().size(), 1U);
  EXPECT_EQ(table.Contacts()[0].mAddress, "c");
}

TEST(PeerTable, AgreesOnTheReaders)
{
  peer_table first({ { "1" }, {}, 120 });
  peer_table second({ { "2" }, {}, 120 });
  EXPECT_EQ(first.Readers(kNow).at(0).mText, "1");
  for (const auto* name : { "1", "2", "3", "4", "5" }) {
    auto state = From(name);
    state.mProcessor = name[0] == '4' ? 500 : 120;
    first.Receive(state, kNow);
    second.Receive(state, kNow);
  }
  EXPECT_EQ(first.Readers(kNow).at(0).mText, "4");
  EXPECT_EQ(second.Readers(kNow).at(0).mText, "4");
  // A reader that times out is replaced.
  for (const auto* name : { "1", "2", "3", "5" }) {
    auto state = From(name, 2);
    state.mProcessor = 120;
    first.Receive(state, kNow + 3s);
    second.Receive(state, kNow + 3s);
  }
  const auto readers = first.Readers(kNow + 3s);
  EXPECT_EQ(std::ranges::count(readers, vm_id{ "4" }), 0);
  EXPECT_EQ(readers, second.Readers(kNow + 3s));
  // There are more readers in case the first one fails.
  EXPECT_EQ(readers.size(), 3U);
  EXPECT_EQ(first.IsFirstReader(kNow + 3s), readers[0].mText == "1");
}

TEST(PeerTable, ReportsRegisteredGatewaysThatHaveTimedOut)
{
  peer_table table({ { "1" }, {}, 0 });
  table.SetRegistered({ { { "2" }, "b" }, { { "3" }, "c" } }, kNow);
  table.Receive(From("3"), kNow + 15s);
  EXPECT_TRUE(table.LostRegistered(kNow + 20s).empty());
  table.SetRegistered({ { { "2" }, "b" }, { { "3" }, "c" } }, kNow + 21s);
  const auto lost = table.LostRegistered(kNow + 21s);
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].mText, "2");
}

} // namespace
} // namespace sapphirespar::gateway
