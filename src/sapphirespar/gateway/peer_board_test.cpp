// Tests of what a gateway makes of the others' gossip.
#include "sapphirespar/gateway/peer_board.hpp"

#include <gtest/gtest.h>

#include <algorithm>

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

TEST(PeerBoard, NamesOnlyGatewaysThatTakeRequests)
{
  peer_board board({ { "1" }, {}, 0 });
  board.Receive(From("1"), kNow);
  board.Receive(From("2"), kNow);
  auto leaving = From("3");
  leaving.mLeaving = true;
  board.Receive(leaving, kNow);
  auto starting = From("4");
  starting.mReady = false;
  board.Receive(starting, kNow);
  const auto points = board.EntryPoints(kNow);
  ASSERT_EQ(points.size(), 1U);
  EXPECT_EQ(points[0].mAddress, "10.0.0.2");
  EXPECT_EQ(points[0].mPort, 80);
}

TEST(PeerBoard, DropsWhoIsSilentAndTakesItBack)
{
  peer_board board({ { "1" }, {}, 0 });
  board.Receive(From("2", 1), kNow);
  EXPECT_TRUE(board.Tick(kNow + 1s).empty());
  EXPECT_EQ(board.EntryPoints(kNow + 1s).size(), 1U);
  EXPECT_TRUE(board.EntryPoints(kNow + 2s).empty());
  EXPECT_EQ(board.Tick(kNow + 2s).size(), 1U);
  // Gossip still goes there, so that a cut heals from either side.
  EXPECT_EQ(board.Contacts(true).size(), 1U);
  board.Receive(From("2", 2), kNow + 3s);
  EXPECT_EQ(board.EntryPoints(kNow + 3s).size(), 1U);
}

TEST(PeerBoard, IgnoresGossipThatWasOvertaken)
{
  peer_board board({ { "1" }, {}, 0 });
  EXPECT_EQ(board.Receive(From("2", 7), kNow), gossip_effect::NewProcess);
  EXPECT_EQ(board.Receive(From("2", 6), kNow), gossip_effect::Ignored);
  EXPECT_EQ(board.Receive(From("2", 8), kNow), gossip_effect::Updated);
  auto restarted = From("2", 1);
  restarted.mSender.mIncarnation = 6;
  EXPECT_EQ(board.Receive(restarted, kNow), gossip_effect::NewProcess);
  EXPECT_EQ(board.Receive(From("2", 9), kNow), gossip_effect::Ignored);
}

TEST(PeerBoard, TakesBackAProcessThatStartedAfterItsClockWasSetBack)
{
  peer_board board({ { "1" }, {}, 0 });
  board.Receive(From("2", 7), kNow);
  auto restarted = From("2", 1);
  restarted.mSender.mIncarnation = 4;
  EXPECT_EQ(board.Receive(restarted, kNow + 500ms), gossip_effect::Ignored);
  restarted.mSequence = 2;
  EXPECT_EQ(board.Receive(restarted, kNow + 1500ms), gossip_effect::NewProcess);
  EXPECT_EQ(board.EntryPoints(kNow + 1500ms).size(), 1U);
}

TEST(PeerBoard, AddsUpTheWorkOfLiveGateways)
{
  peer_board board({ { "1" }, {}, 0 });
  auto second = From("2");
  second.mLoads = { { 7, 10, 20, 30, 1, 1 }, { 8, 0, 5, 6, 1, 0 } };
  auto third = From("3");
  third.mLoads = { { 7, 1, 2, 3, 1, 0 } };
  board.Receive(second, kNow);
  board.Receive(third, kNow);
  EXPECT_EQ(board.Loads(kNow).at(7).mRunning, 2);
  EXPECT_EQ(board.Loads(kNow).at(7).mOtherTokens, 22);
  EXPECT_EQ(board.Loads(kNow).at(8).mInteractive, 0);
  EXPECT_TRUE(board.Loads(kNow + 5s).empty());
}

TEST(PeerBoard, CountsGatewaysSafely)
{
  peer_board board({ { "1" }, {}, 0 });
  EXPECT_EQ(board.MostGateways(kNow), 0U);
  board.SetRegistered({ { { "1" }, "a" }, { { "2" }, "b" } }, kNow);
  EXPECT_EQ(board.MostGateways(kNow), 2U);
  board.Receive(From("3"), kNow);
  EXPECT_EQ(board.MostGateways(kNow), 3U);
  // One that has just fallen silent may still send.
  EXPECT_EQ(board.MostGateways(kNow + 20s), 3U);
  EXPECT_EQ(board.MostGateways(kNow + 31s), 2U);
}

TEST(PeerBoard, IsIntroducedToOthersUntilItHasReadTheRegister)
{
  peer_board board({ { "1" }, {}, 0 });
  EXPECT_FALSE(board.IsIntroduced());
  const std::vector<peer_contact> told{ { { "1" }, "a" }, { { "2" }, "b" } };
  board.Introduce(told, kNow);
  EXPECT_TRUE(board.IsIntroduced());
  ASSERT_EQ(board.Contacts().size(), 1U);
  EXPECT_EQ(board.Contacts()[0].mAddress, "b");
  EXPECT_EQ(board.MostGateways(kNow), 2U);
  board.SetRegistered({ { { "3" }, "c" } }, kNow);
  board.Introduce(told, kNow);
  ASSERT_EQ(board.Contacts().size(), 1U);
  EXPECT_EQ(board.Contacts()[0].mAddress, "c");
}

TEST(PeerBoard, AgreesOnWhoReadsTheStoreForAll)
{
  peer_board first({ { "1" }, {}, 120 });
  peer_board second({ { "2" }, {}, 120 });
  EXPECT_EQ(first.Readers(kNow).at(0).mText, "1");
  for (const auto* name : { "1", "2", "3", "4", "5" }) {
    auto state = From(name);
    state.mProcessor = name[0] == '4' ? 500 : 120;
    first.Receive(state, kNow);
    second.Receive(state, kNow);
  }
  EXPECT_EQ(first.Readers(kNow).at(0).mText, "4");
  EXPECT_EQ(second.Readers(kNow).at(0).mText, "4");
  // One that falls silent is replaced.
  for (const auto* name : { "1", "2", "3", "5" }) {
    auto state = From(name, 2);
    state.mProcessor = 120;
    first.Receive(state, kNow + 3s);
    second.Receive(state, kNow + 3s);
  }
  const auto readers = first.Readers(kNow + 3s);
  EXPECT_EQ(std::ranges::count(readers, vm_id{ "4" }), 0);
  EXPECT_EQ(readers, second.Readers(kNow + 3s));
  // Others are at hand where the first one fails.
  EXPECT_EQ(readers.size(), 3U);
  EXPECT_EQ(first.IsFirstReader(kNow + 3s), readers[0].mText == "1");
}

TEST(PeerBoard, TellsWhichRegisteredGatewaysAreGone)
{
  peer_board board({ { "1" }, {}, 0 });
  board.SetRegistered({ { { "2" }, "b" }, { { "3" }, "c" } }, kNow);
  board.Receive(From("3"), kNow + 15s);
  EXPECT_TRUE(board.LostRegistered(kNow + 20s).empty());
  board.SetRegistered({ { { "2" }, "b" }, { { "3" }, "c" } }, kNow + 21s);
  const auto lost = board.LostRegistered(kNow + 21s);
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].mText, "2");
}

} // namespace
} // namespace sapphirespar::gateway
