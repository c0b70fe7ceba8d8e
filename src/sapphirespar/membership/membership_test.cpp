// Tests the member table, the owners of upstreams and the entry list.
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
MakeMember(std::string aVm, std::string aDataCentre, member_state aState)
{
  member entry;
  entry.mProcess = { { aVm }, 1 };
  entry.mDataCentre = { std::move(aDataCentre) };
  entry.mAddress = "10.0.0.1";
  entry.mPort = 80;
  entry.mState = aState;
  return entry;
}

vm_listing
MakeListing(std::string aVm, bool aLeaving = false)
{
  return { std::move(aVm), "cesis", "10.0.0.2", 80, 81, aLeaving };
}

heartbeat
MakeHeartbeat(std::string aVm,
              incarnation_number aIncarnation,
              std::uint64_t aSequence,
              bool aLeaving = false)
{
  heartbeat message;
  message.mSender = { { std::move(aVm) }, aIncarnation };
  message.mSequence = aSequence;
  message.mLeaving = aLeaving;
  message.mContact = { { "cesis" }, "10.0.0.3", 80, 81 };
  return message;
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
    mTable.Tick([](const member&) { return liveness_timeouts{}; }, mNow);
  }

  steady_time mNow = steady_time(1h);
  blackboard mBoard;
  member_table mTable{ mBoard,
                       MakeMember("self", "cesis", member_state::Live) };
};

TEST_F(member_table_test, ListedMemberIsJoiningUntilHeardThenLive)
{
  const std::vector list{ MakeListing("a"), MakeListing("self") };
  mTable.ApplyList(list, mNow);
  EXPECT_EQ(StateOf("a"), member_state::Joining);
  EXPECT_EQ(StateOf("self"), member_state::Live);
  EXPECT_TRUE(mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 1), mNow));
  EXPECT_EQ(StateOf("a"), member_state::Live);
  EXPECT_EQ(mBoard.mMembers.at({ "a" }).mAddress, "10.0.0.3");
}

TEST_F(member_table_test, UnlistedMemberIsAddedByItsHeartbeat)
{
  EXPECT_TRUE(mTable.ApplyHeartbeat(MakeHeartbeat("new", 1, 1), mNow));
  EXPECT_EQ(StateOf("new"), member_state::Live);
  mTable.ApplyList({}, mNow);
  EXPECT_EQ(StateOf("new"), member_state::Live);
}

TEST_F(
  member_table_test,
  Fault_SilentInbound_Member_Hear_SilenceMakesSuspectThenDeadAndAHeartbeatRevives)
{
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 1), mNow);
  Tick(3499ms);
  EXPECT_EQ(StateOf("a"), member_state::Live);
  Tick(1ms);
  EXPECT_EQ(StateOf("a"), member_state::Suspect);
  Tick(6500ms);
  EXPECT_EQ(StateOf("a"), member_state::Dead);
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 2), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_StaleList_Member_List_ListedButNeverHeardIsDeadInTheEnd)
{
  const std::vector list{ MakeListing("gone") };
  mTable.ApplyList(list, mNow);
  Tick(10s);
  EXPECT_EQ(StateOf("gone"), member_state::Dead);
  mTable.ApplyList({}, mNow);
  EXPECT_FALSE(mBoard.mMembers.contains({ "gone" }));
}

TEST_F(member_table_test,
       Fault_CrashAfter_Member_Hear_OlderIncarnationAndOlderSequenceAreIgnored)
{
  EXPECT_TRUE(mTable.ApplyHeartbeat(MakeHeartbeat("a", 2, 5), mNow));
  EXPECT_FALSE(mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 9, true), mNow));
  EXPECT_FALSE(mTable.ApplyHeartbeat(MakeHeartbeat("a", 2, 5, true), mNow));
  EXPECT_EQ(StateOf("a"), member_state::Live);
  EXPECT_TRUE(mTable.ApplyHeartbeat(MakeHeartbeat("a", 3, 1), mNow));
  EXPECT_EQ(mBoard.mMembers.at({ "a" }).mProcess.mIncarnation, 3U);
}

TEST_F(member_table_test, LeavingComesFromHeartbeatOrList)
{
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 1), mNow);
  mTable.ApplyHeartbeat(MakeHeartbeat("b", 1, 1), mNow);
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 2, true), mNow);
  const std::vector list{ MakeListing("a"), MakeListing("b", true) };
  mTable.ApplyList(list, mNow);
  EXPECT_EQ(StateOf("a"), member_state::Leaving);
  EXPECT_EQ(StateOf("b"), member_state::Leaving);
  mTable.ApplyHeartbeat(MakeHeartbeat("b", 1, 2), mNow);
  EXPECT_EQ(StateOf("b"), member_state::Leaving);
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 2, 1), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_SilentOutbound_Member_Hear_AnUnreachableMemberIsSuspectThoughHeard)
{
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 1), mNow);
  mTable.ApplyUnreachable({ "a" }, mNow);
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 2), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Suspect);
  mNow += kMinUnreachableTime;
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 3), mNow);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST_F(member_table_test,
       Fault_PausePastLease_Member_Hear_AnOwnPauseIsNotBlamedOnOthers)
{
  mTable.ApplyHeartbeat(MakeHeartbeat("a", 1, 1), mNow);
  mNow += 1min;
  mTable.RestartTimeouts(mNow);
  Tick(3s);
  EXPECT_EQ(StateOf("a"), member_state::Live);
}

TEST(MemberTable, NeverAcceptsAnOlderIncarnation)
{
  EXPECT_TRUE(rc::check([] {
    blackboard board;
    member_table table(board, MakeMember("self", "cesis", member_state::Live));
    steady_time now(1h);
    incarnation_number highest = 0;
    std::uint64_t sequence = 0;
    const auto steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      const auto incarnation = *rc::gen::inRange<incarnation_number>(1, 5);
      now += std::chrono::seconds(*rc::gen::inRange(0, 8));
      const process_id process{ { "a" }, incarnation };
      const std::vector listed{ MakeListing("a") };
      const bool known = board.mMembers.contains({ "a" });
      switch (step) {
        case 0:
        case 1:
          highest = std::max(highest, incarnation);
          table.ApplyHeartbeat(MakeHeartbeat("a", incarnation, ++sequence),
                               now);
          break;
        case 2:
          highest = known ? std::max(highest, incarnation) : highest;
          table.ApplyHeardReport(process, now);
          break;
        case 3:
          table.ApplyList(listed, now);
          break;
        case 4:
          table.ApplyList({}, now);
          break;
        default:
          table.Tick([](const member&) { return liveness_timeouts{}; }, now);
      }
      if (board.mMembers.contains({ "a" })) {
        RC_ASSERT(board.mMembers.at({ "a" }).mProcess.mIncarnation == highest);
      }
    }
  }));
}

std::vector<member>
MakeLiveMembers(std::size_t aCount)
{
  std::vector<member> members;
  for (std::size_t number = 0; number < aCount; ++number) {
    members.push_back(MakeMember("vm-" + std::to_string(number),
                                 number % 2 == 0 ? "cesis" : "smiltene",
                                 member_state::Live));
  }
  return members;
}

TEST(Owners, OnlyUpstreamsOfAMemberThatIsNotLiveMove)
{
  EXPECT_TRUE(rc::check([] {
    auto members = MakeLiveMembers(*rc::gen::inRange<std::size_t>(3, 20));
    const auto stopped = *rc::gen::inRange<std::size_t>(0, members.size());
    const auto stoppedVm = members[stopped].mProcess.mVm;
    const data_centre_id dataCentre{ "cesis" };
    const auto before = members;
    members[stopped].mState = *rc::gen::element(member_state::Dead,
                                                member_state::Suspect,
                                                member_state::Leaving,
                                                member_state::Joining);
    for (int number = 0; number < 50; ++number) {
      const upstream_id upstream{ "engine-" + std::to_string(number) };
      const auto ownerBefore = OwnerOf(upstream, dataCentre, before);
      const auto ownerNow = OwnerOf(upstream, dataCentre, members);
      RC_ASSERT(ownerNow != stoppedVm);
      RC_ASSERT(ownerBefore == stoppedVm || ownerBefore == ownerNow);
    }
  }));
}

TEST(Owners, StayInTheUpstreamsDataCentreWhileItHasALiveRouter)
{
  auto members = MakeLiveMembers(4);
  const auto owner = OwnerOf({ "e" }, { "smiltene" }, members);
  EXPECT_TRUE(owner->mText == "vm-1" || owner->mText == "vm-3");
  members[1].mState = members[3].mState = member_state::Dead;
  EXPECT_TRUE(OwnerOf({ "e" }, { "smiltene" }, members).has_value());
  EXPECT_FALSE(OwnerOf({ "e" }, { "smiltene" }, {}).has_value());
}

TEST(Owners, PoolsAreFoundByModelAndService)
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
  const auto members = MakeLiveMembers(2);
  const auto owners = AssignOwners(declared, members);
  ASSERT_EQ(owners.size(), 2U);
  EXPECT_EQ(OwnersOfPool("model-a", owners), std::vector<vm_id>{ { "vm-0" } });
  EXPECT_EQ(OwnersOfPool("/ledger", owners), std::vector<vm_id>{ { "vm-1" } });
  EXPECT_TRUE(OwnersOfPool("ledger", owners).empty());
}

TEST(EntryList, PrefersTheCallersDataCentreAndEndsInAnother)
{
  const auto members = MakeLiveMembers(12);
  const auto list = EntryAddresses(members, { "buyer" }, { "cesis" });
  ASSERT_EQ(list.mAddresses.size(), kMaxEntryAddresses);
  EXPECT_GT(list.mTimeToLive, 0s);
  for (std::size_t place = 0; place + 1 < kMaxEntryAddresses; ++place) {
    EXPECT_EQ(list.mAddresses[place].mDataCentre.mText, "cesis");
  }
  EXPECT_EQ(list.mAddresses.back().mDataCentre.mText, "smiltene");
}

TEST(EntryList, NeverNamesARouterThatIsNotLive)
{
  EXPECT_TRUE(rc::check([] {
    auto members = MakeLiveMembers(*rc::gen::inRange<std::size_t>(1, 20));
    for (auto& entry : members) {
      entry.mState = *rc::gen::element(member_state::Joining,
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
              std::min<std::size_t>(live, kMaxEntryAddresses));
    for (const auto& address : list.mAddresses) {
      const auto named =
        std::ranges::find_if(members, [&](const member& aMember) {
          return aMember.mProcess.mVm == address.mVm;
        });
      RC_ASSERT(named->mState == member_state::Live);
    }
  }));
}

} // namespace
} // namespace sapphirespar::membership
