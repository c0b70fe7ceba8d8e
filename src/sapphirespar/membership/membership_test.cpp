// Tests of the member table, homes and entry list.
#include "sapphirespar/membership/entry_list.hpp"
#include "sapphirespar/membership/member_table.hpp"
#include "sapphirespar/membership/owners.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace sapphirespar::membership {
namespace {

using namespace std::chrono_literals;

member
Member(std::string aVm, std::string aDataCentre, member_state aState)
{
  member one;
  one.mProcess = { { aVm }, 1 };
  one.mDataCentre = { std::move(aDataCentre) };
  one.mAddress = "10.0.0.1";
  one.mPort = 80;
  one.mState = aState;
  return one;
}

vm_listing
Listing(std::string aVm, bool aLeaving = false)
{
  return { std::move(aVm), "cesis", "10.0.0.2", 80, 81, aLeaving };
}

heartbeat
Beat(std::string aVm,
     incarnation_number aIncarnation,
     std::uint64_t aSequence,
     bool aLeaving = false)
{
  heartbeat beat;
  beat.mSender = { { std::move(aVm) }, aIncarnation };
  beat.mSequence = aSequence;
  beat.mLeaving = aLeaving;
  beat.mContact = { { "cesis" }, "10.0.0.3", 80, 81 };
  return beat;
}

class member_table_test : public testing::Test
{
protected:
  member_state StateOf(const std::string& aVm)
  {
    return mBoard.mMembers.at({ aVm }).mState;
  }

  void Tick(steady_duration aStep)
  {
    mNow += aStep;
    mTable.Tick([](const member&) { return silence_limits{}; }, mNow);
  }

  steady_time mNow = steady_time(1h);
  blackboard mBoard;
  member_table mTable{ mBoard, Member("self", "cesis", member_state::Live) };
};

TEST_F(member_table_test, ListedMemberJoinsAndLivesOnceHeard)
{
  const std::vector list{ Listing("a"), Listing("self") };
  mTable.ApplyList(list, mNow);
  EXPECT_EQ(StateOf("a"), member_state::Joining);
  EXPECT_EQ(StateOf("self"), member_state::Live);
  EXPECT_TRUE(mTable.ApplyHeartbeat(Beat("a", 1, 1), mNow));
  EXPECT_EQ(StateOf("a"), member_state::Live);
  EXPECT_EQ(mBoard.mMembers.at({ "a" }).mAddress, "10.0.0.3");
}

TEST_F(member_table_test, UnlistedMemberIsKnownByItsHeartbeat)
{
  EXPECT_TRUE(mTable.ApplyHeartbeat(Beat("new", 1, 1), mNow));
  EXPECT_EQ(StateOf("new"), member_state::Live);
  mTable.ApplyList({}, mNow);
  EXPECT_EQ(StateOf("new"), member_state::Live);
}

TEST_F(
  member_table_test,
  Fault_SilentInbound_Member_Hear_SilenceMakesSuspectThenDeadAndAHeartbeatRevives)
{
  mTable.ApplyHeartbeat(Beat("a", 1, 1), mNow);
  Tick(3499ms);
  EXPECT_EQ(StateOf("a"), member_state::Live);
  Tick(1ms);
  EXPECT_EQ(StateOf("a"), member_state::Suspect);
  Tick(6500ms);
  EXPECT_EQ(StateOf("a"), member_state::Dead);
  mTable.ApplyHeartbeat(Beat("a", 1, 2), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_StaleList_Member_List_ListedButNeverHeardIsDeadInTheEnd)
{
  const std::vector list{ Listing("gone") };
  mTable.ApplyList(list, mNow);
  Tick(10s);
  EXPECT_EQ(StateOf("gone"), member_state::Dead);
  mTable.ApplyList({}, mNow);
  EXPECT_FALSE(mBoard.mMembers.contains({ "gone" }));
}

TEST_F(member_table_test,
       Fault_CrashAfter_Member_Hear_OlderIncarnationAndOlderSequenceAreIgnored)
{
  EXPECT_TRUE(mTable.ApplyHeartbeat(Beat("a", 2, 5), mNow));
  EXPECT_FALSE(mTable.ApplyHeartbeat(Beat("a", 1, 9, true), mNow));
  EXPECT_FALSE(mTable.ApplyHeartbeat(Beat("a", 2, 5, true), mNow));
  EXPECT_EQ(StateOf("a"), member_state::Live);
  EXPECT_TRUE(mTable.ApplyHeartbeat(Beat("a", 3, 1), mNow));
  EXPECT_EQ(mBoard.mMembers.at({ "a" }).mProcess.mIncarnation, 3U);
}

TEST_F(member_table_test, LeavingComesFromHeartbeatOrList)
{
  mTable.ApplyHeartbeat(Beat("a", 1, 1), mNow);
  mTable.ApplyHeartbeat(Beat("b", 1, 1), mNow);
  mTable.ApplyHeartbeat(Beat("a", 1, 2, true), mNow);
  const std::vector list{ Listing("a"), Listing("b", true) };
  mTable.ApplyList(list, mNow);
  EXPECT_EQ(StateOf("a"), member_state::Leaving);
  EXPECT_EQ(StateOf("b"), member_state::Leaving);
  mTable.ApplyHeartbeat(Beat("b", 1, 2), mNow);
  EXPECT_EQ(StateOf("b"), member_state::Leaving);
  mTable.ApplyHeartbeat(Beat("a", 2, 1), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_SilentOutbound_Member_Hear_AnUnreachableMemberIsSuspectThoughHeard)
{
  mTable.ApplyHeartbeat(Beat("a", 1, 1), mNow);
  mTable.ApplyUnreachable({ "a" }, mNow);
  mTable.ApplyHeartbeat(Beat("a", 1, 2), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Suspect);
  mNow += kUnreachableHold;
  mTable.ApplyHeartbeat(Beat("a", 1, 3), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_PausePastLease_Member_Hear_AnOwnPauseIsNotBlamedOnOthers)
{
  mTable.ApplyHeartbeat(Beat("a", 1, 1), mNow);
  mNow += 1min;
  mTable.RestartSilence(mNow);
  Tick(3s);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST(MemberTable, NeverResurrectsAnOlderIncarnation)
{
  EXPECT_TRUE(rc::check([] {
    blackboard board;
    member_table table(board, Member("self", "cesis", member_state::Live));
    steady_time now(1h);
    incarnation_number highest = 0;
    std::uint64_t sequence = 0;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto incarnation = *rc::gen::inRange<incarnation_number>(1, 5);
      now += std::chrono::seconds(*rc::gen::inRange(0, 8));
      const process_id process{ { "a" }, incarnation };
      const std::vector listed{ Listing("a") };
      const bool known = board.mMembers.contains({ "a" });
      switch (step) {
        case 0:
        case 1:
          highest = std::max(highest, incarnation);
          table.ApplyHeartbeat(Beat("a", incarnation, ++sequence), now);
          break;
        case 2:
          highest = known ? std::max(highest, incarnation) : highest;
          table.ApplyHearsay(process, now);
          break;
        case 3:
          table.ApplyList(listed, now);
          break;
        case 4:
          table.ApplyList({}, now);
          break;
        default:
          table.Tick([](const member&) { return silence_limits{}; }, now);
      }
      if (board.mMembers.contains({ "a" })) {
        RC_ASSERT(board.mMembers.at({ "a" }).mProcess.mIncarnation == highest);
      }
    }
  }));
}

std::vector<member>
SomeMembers(std::size_t aCount)
{
  std::vector<member> members;
  for (std::size_t number = 0; number < aCount; ++number) {
    members.push_back(Member("vm-" + std::to_string(number),
                             number % 2 == 0 ? "cesis" : "smiltene",
                             member_state::Live));
  }
  return members;
}

TEST(Homes, OnlyTheDeadMembersUpstreamsMove)
{
  EXPECT_TRUE(rc::check([] {
    auto members = SomeMembers(*rc::gen::inRange<std::size_t>(3, 20));
    const auto victim = *rc::gen::inRange<std::size_t>(0, members.size());
    const auto victimVm = members[victim].mProcess.mVm;
    const data_centre_id dataCentre{ "cesis" };
    const auto before = members;
    members[victim].mState = *rc::gen::element(member_state::Dead,
                                               member_state::Suspect,
                                               member_state::Leaving,
                                               member_state::Joining);
    for (int number = 0; number < 50; ++number) {
      const upstream_id upstream{ "engine-" + std::to_string(number) };
      const auto was = OwnerOf(upstream, dataCentre, before);
      const auto now = OwnerOf(upstream, dataCentre, members);
      RC_ASSERT(now != victimVm);
      RC_ASSERT(was == victimVm || was == now);
    }
  }));
}

TEST(Homes, StayInTheUpstreamsDataCentreWhileItHasALiveRouter)
{
  auto members = SomeMembers(4);
  const auto home = OwnerOf({ "e" }, { "smiltene" }, members);
  EXPECT_TRUE(home->mText == "vm-1" || home->mText == "vm-3");
  members[1].mState = members[3].mState = member_state::Dead;
  EXPECT_TRUE(OwnerOf({ "e" }, { "smiltene" }, members).has_value());
  EXPECT_FALSE(OwnerOf({ "e" }, { "smiltene" }, {}).has_value());
}

TEST(Homes, PoolsAreFoundByModelAndService)
{
  bundle declared;
  upstream_spec engine;
  engine.mId = { "e" };
  engine.mDataCentre = { "cesis" };
  engine.mModels = { { "model-a" } };
  upstream_spec service;
  service.mId = { "s" };
  service.mKind = upstream_kind::Service;
  service.mDataCentre = { "smiltene" };
  service.mService = "ledger";
  declared.mUpstreams = { engine, service };
  const auto members = SomeMembers(2);
  const auto homes = AssignOwners(declared, members);
  ASSERT_EQ(homes.size(), 2U);
  EXPECT_EQ(HomesOfPool("model-a", homes), std::vector<vm_id>{ { "vm-0" } });
  EXPECT_EQ(HomesOfPool("/ledger", homes), std::vector<vm_id>{ { "vm-1" } });
  EXPECT_TRUE(HomesOfPool("ledger", homes).empty());
}

TEST(EntryList, PrefersTheCallersDataCentreAndEndsElsewhere)
{
  const auto members = SomeMembers(12);
  const auto list = EntryAddresses(members, { "buyer" }, { "cesis" });
  ASSERT_EQ(list.mAddresses.size(), kEntryAddresses);
  EXPECT_GT(list.mTimeToLive, 0s);
  for (std::size_t place = 0; place + 1 < kEntryAddresses; ++place) {
    EXPECT_EQ(list.mAddresses[place].mDataCentre.mText, "cesis");
  }
  EXPECT_EQ(list.mAddresses.back().mDataCentre.mText, "smiltene");
}

TEST(EntryList, NeverNamesARouterThatIsNotLive)
{
  EXPECT_TRUE(rc::check([] {
    auto members = SomeMembers(*rc::gen::inRange<std::size_t>(1, 20));
    for (auto& one : members) {
      one.mState = *rc::gen::element(member_state::Joining,
                                     member_state::Live,
                                     member_state::Leaving,
                                     member_state::Suspect,
                                     member_state::Dead);
    }
    const account_id account{ std::to_string(*rc::gen::arbitrary<int>()) };
    const auto list = EntryAddresses(members, account, { "cesis" });
    const auto live =
      std::ranges::count(members, member_state::Live, &member::mState);
    RC_ASSERT(list.mAddresses.size() ==
              std::min<std::size_t>(live, kEntryAddresses));
    for (const auto& address : list.mAddresses) {
      const auto named = std::ranges::find_if(members, [&](const member& aOne) {
        return aOne.mProcess.mVm == address.mVm;
      });
      RC_ASSERT(named->mState == member_state::Live);
    }
  }));
}

} // namespace
} // namespace sapphirespar::membership
