// Claims between routers: the guard, the owners and the holders together.
#include "once_world_test.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kClaim = at_most_once_mode::Claim;

outcome
OutcomeTold(const dispatch_decision& aVerdict)
{
  EXPECT_FALSE(aVerdict.mMayDispatch);
  return aVerdict.mRefusal.mOutcome;
}

TEST(Claims, AKeyRunsOnceWhicheverRouterIsAsked)
{
  once_world world(3);
  EXPECT_TRUE(world.Ask(0, kClaim, "lot-7").mMayDispatch);
  EXPECT_EQ(OutcomeTold(world.Ask(1, kClaim, "lot-7")), outcome::Unknown);
  world.Finish(0, "lot-7", outcome::Done);
  for (unsigned router = 0; router < 3; ++router) {
    EXPECT_EQ(OutcomeTold(world.Ask(router, kClaim, "lot-7")), outcome::Done);
  }
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

TEST(Claims, AKeyThatWasNotRunMayRunAtAnotherRouter)
{
  once_world world(3);
  const auto first = world.Send(0, { kClaim, "lot-7", true, false });
  world.mTimers.Advance(5s);
  EXPECT_TRUE(first->value().mMayDispatch);
  EXPECT_TRUE(world.Ask(1, kClaim, "lot-7").mMayDispatch);
  EXPECT_EQ(OutcomeTold(world.Ask(0, kClaim, "lot-7")), outcome::Unknown);
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

TEST(Claims, AClassWithClaimsTakesTokensToo)
{
  once_world world(2);
  EXPECT_TRUE(world.Ask(0, kClaim, world.Token(0)).mMayDispatch);
}

TEST(Claims, TwoRoutersAskedAtOnceLetOneRun)
{
  once_world world(3);
  const auto first = world.Send(0, { kClaim, "lot-7" });
  const auto second = world.Send(1, { kClaim, "lot-7" });
  world.mTimers.Advance(10s);
  EXPECT_NE(first->value().mMayDispatch, second->value().mMayDispatch);
}

TEST(Fault_StoreOutage, Claim_Ask_NotRunIsToldOfAFirstAttemptOnly)
{
  once_world world(1);
  world.Router(0).mPlatform.Faults().mOutage = true;
  const auto first = world.Send(0, { kClaim, "lot-7", true });
  const auto other = world.Send(0, { kClaim, "lot-8", false });
  world.mTimers.Advance(10s);
  EXPECT_EQ(OutcomeTold(first->value()), outcome::NotRun);
  EXPECT_EQ(first->value().mRefusal.mReason, refusal_reason::PlatformDown);
  EXPECT_GT(first->value().mRefusal.mRetryAfter, 0ms);
  EXPECT_EQ(OutcomeTold(other->value()), outcome::Unknown);
  world.Router(0).mPlatform.Faults().mOutage = false;
  EXPECT_TRUE(world.Ask(0, kClaim, "lot-7").mMayDispatch);
}

TEST(Fault_CrashAfter, Claim_Run_TheHoldersDeathLeavesItUnknown)
{
  once_world world(3);
  world.Ask(0, kClaim, "lot-7");
  world.Crash(0);
  world.Bury(0);
  EXPECT_EQ(OutcomeTold(world.Ask(1, kClaim, "lot-7")), outcome::Unknown);
  world.Restart(0);
  EXPECT_EQ(OutcomeTold(world.Ask(0, kClaim, "lot-7")), outcome::Unknown);
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

TEST(Fault_CrashBefore, Claim_Run_AnUnusedGrantIsNeverUsedByAnother)
{
  once_world world(3);
  for (unsigned router = 0; router < 3; ++router) {
    world.Router(router).mPlatform.Faults().mDelay = 20ms;
  }
  const auto doomed = world.Send(0, { kClaim, "lot-7" });
  while (world.mStore->Changes("claims", 0).empty()) {
    world.mTimers.Advance(1ms);
  }
  ASSERT_FALSE(doomed->has_value());
  world.Crash(0);
  world.Bury(0);
  EXPECT_EQ(OutcomeTold(world.Ask(1, kClaim, "lot-7")), outcome::Unknown);
  EXPECT_EQ(world.Runs("lot-7"), 0U);
}

TEST(Fault_PausePastLease, Claim_Run_AGrantThatArrivesLateIsNotUsed)
{
  once_world world(3);
  const auto paused = world.Send(0, { kClaim, "lot-7" });
  world.Router(0).mTimers.Pause();
  world.Bury(0);
  world.mTimers.Advance(1min);
  world.Ask(1, kClaim, "lot-7");
  world.Router(0).mTimers.Resume();
  world.mTimers.Advance(1min);
  EXPECT_LE(world.Runs("lot-7"), 1U);
  EXPECT_EQ(world.FalseNotRuns(), 0U);
}

TEST(Fault_MessageLost, Claim_Ask_TheQuestionIsAskedAgain)
{
  once_world world(3);
  unsigned sent = 0;
  world.mNetwork.SetDeliveryRule([&](const auto&) {
    ++sent;
    return sent % 3 == 0 ? std::optional<steady_duration>(1ms) : std::nullopt;
  });
  for (const auto* const key : { "lot-7", "lot-8", "lot-9" }) {
    EXPECT_TRUE(world.Ask(0, kClaim, key).mMayDispatch);
  }
}

TEST(Fault_Slow, Claim_Fate_AGrantOnItsWayIsGivenUpForGood)
{
  once_world world(3);
  world.mNetwork.SetDeliveryRule([](const peer_message& aMessage) {
    const auto* const answer = std::get_if<claim_answer>(&aMessage);
    const auto late = answer != nullptr &&
                      answer->mVerdict == claim_verdict::Granted &&
                      answer->mHolder.mVm == vm_id{ "vm1" };
    return std::optional<steady_duration>(late ? 2s : 1ms);
  });
  unsigned passedOn = 0;
  for (int i = 0; i < 10; ++i) {
    const auto key = "lot-" + std::to_string(i);
    world.Send(1, { kClaim, key });
    world.mTimers.Advance(100ms);
    passedOn += world.Ask(2, kClaim, key).mMayDispatch ? 1 : 0;
    EXPECT_EQ(world.Runs(key), 1U);
  }
  EXPECT_GT(passedOn, 0U);
}

// Counts the claims that routers ask of others, and loses answers to them.
struct owner_watch
{
  explicit owner_watch(once_world& aWorld)
  {
    aWorld.mNetwork.SetDeliveryRule([this](const peer_message& aMessage) {
      mAsked += std::holds_alternative<claim_request>(aMessage) ? 1 : 0;
      const auto lost =
        mLoseAnswers > 0 && std::holds_alternative<claim_answer>(aMessage);
      mLoseAnswers -= lost ? 1 : 0;
      return lost ? std::nullopt : std::optional<steady_duration>(1ms);
    });
  }

  unsigned mAsked = 0;
  unsigned mLoseAnswers = 0;
};

TEST(Fault_AnswerLost, Claim_Ask_TheSameClaimIsAskedForAgain)
{
  once_world world(3);
  owner_watch watch(world);
  for (int i = 0; i < 6; ++i) {
    watch.mLoseAnswers = 2;
    const auto key = "lot-" + std::to_string(i);
    EXPECT_TRUE(world.Ask(0, kClaim, key).mMayDispatch);
    EXPECT_FALSE(world.Ask(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(world.Runs(key), 1U);
  }
  EXPECT_GT(watch.mAsked, 0U);
}

TEST(Fault_CrashBefore, Claim_Ask_TheNextOwnerDecides)
{
  once_world world(3);
  owner_watch watch(world);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    const auto told = world.Send(0, { kClaim, key });
    world.Crash(1);
    world.Bury(1);
    world.mTimers.Advance(10s);
    EXPECT_TRUE(told->value().mMayDispatch);
    world.Restart(1);
    EXPECT_FALSE(world.Ask(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(world.Runs(key), 1U);
  }
}

TEST(Fault_CrashAfter, Claim_Ask_TheNextOwnerKnowsWhatTheLastOneGranted)
{
  once_world world(3);
  owner_watch watch(world);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    // The grant is committed, but its answer never arrives.
    watch.mLoseAnswers = 3;
    const auto told = world.Send(0, { kClaim, key });
    world.mTimers.Advance(300ms);
    watch.mLoseAnswers = 0;
    world.Crash(1);
    world.Bury(1);
    world.mTimers.Advance(10s);
    EXPECT_TRUE(told->value().mMayDispatch);
    world.Restart(1);
    EXPECT_FALSE(world.Ask(2, kClaim, key).mMayDispatch);
    EXPECT_EQ(world.Runs(key), 1U);
  }
}

TEST(Fault_PausePastLease, Claim_Ask_APausedOwnerIsReplacedAndWakesHarmlessly)
{
  once_world world(3);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    world.Router(1).mTimers.Pause();
    const auto told = world.Send(0, { kClaim, key });
    world.Bury(1);
    world.mTimers.Advance(10s);
    EXPECT_TRUE(told->value().mMayDispatch);
    world.Router(1).mTimers.Resume();
    EXPECT_FALSE(world.Ask(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(world.Runs(key), 1U);
  }
}

TEST(Fault_Slow, Claim_Ask_ASlowNetworkDecidesOrRefusesAndRunsNothingTwice)
{
  once_world world(3);
  world.mNetwork.SetDeliveryRule(
    [](const auto&) { return std::optional<steady_duration>(2s); });
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    world.Ask(0, kClaim, key);
    world.Ask(1, kClaim, key);
    world.Ask(0, kClaim, key);
    EXPECT_LE(world.Runs(key), 1U);
    EXPECT_EQ(world.FalseNotRuns(), 0U);
  }
}

TEST(Fault_SilentOutbound, Claim_Fate_AHolderThatHearsNothingLeavesItUnknown)
{
  once_world world(3);
  EXPECT_TRUE(world.Ask(0, kClaim, "lot-7").mMayDispatch);
  world.mNetwork.Block({ "vm1" }, { "vm0" });
  world.mNetwork.Block({ "vm2" }, { "vm0" });
  EXPECT_EQ(OutcomeTold(world.Ask(1, kClaim, "lot-7")), outcome::Unknown);
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

TEST(Fault_SilentInbound, Claim_Fate_AHolderThatCannotAnswerLeavesItUnknown)
{
  once_world world(3);
  EXPECT_TRUE(world.Ask(0, kClaim, "lot-7").mMayDispatch);
  world.mNetwork.Block({ "vm0" }, { "vm1" });
  EXPECT_EQ(OutcomeTold(world.Ask(1, kClaim, "lot-7")), outcome::Unknown);
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

TEST(Fault_Partition, Claim_Ask_ARouterCutOffFromTheOwnerRunsNothingTwice)
{
  once_world world(2);
  world.mNetwork.Block({ "vm0" }, { "vm1" });
  world.mNetwork.Block({ "vm1" }, { "vm0" });
  for (int i = 0; i < 20; ++i) {
    const auto key = "lot-" + std::to_string(i);
    world.Ask(0, kClaim, key);
    world.Ask(1, kClaim, key);
    EXPECT_LE(world.Runs(key), 1U);
  }
}

TEST(Fault_StaleList, Claim_Ask_TwoRoutersThatBothOwnTheKeyLetOneRun)
{
  once_world world(2);
  // Each believes that it is alone.
  world.Router(0).mBoard.mMembers.erase({ "vm1" });
  world.Router(1).mBoard.mMembers.erase({ "vm0" });
  const auto first = world.Send(0, { kClaim, "lot-7" });
  const auto second = world.Send(1, { kClaim, "lot-7" });
  world.mTimers.Advance(10s);
  EXPECT_EQ(world.Runs("lot-7"), 1U);
}

} // namespace
} // namespace sapphirespar::ledger
