// Tests claims between routers, with guards, shard owners and claim holders
// together.
#include "test_cluster_test.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kClaim = at_most_once_mode::Claim;

outcome
RefusedOutcome(const dispatch_decision& aDecision)
{
  EXPECT_FALSE(aDecision.mMayDispatch);
  return aDecision.mRefusal.mOutcome;
}

TEST(Claims, AKeyRunsOnceWhicheverRouterIsAsked)
{
  test_cluster cluster(3);
  EXPECT_TRUE(cluster.SendAndWait(0, kClaim, "lot-7").mMayDispatch);
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(1, kClaim, "lot-7")),
            outcome::Unknown);
  cluster.Finish(0, "lot-7", outcome::Done);
  for (unsigned router = 0; router < 3; ++router) {
    EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(router, kClaim, "lot-7")),
              outcome::Done);
  }
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

TEST(Claims, AKeyThatWasNotRunMayRunAtAnotherRouter)
{
  test_cluster cluster(3);
  const auto first = cluster.Send(0, { kClaim, "lot-7", true, false });
  cluster.mTimers.Advance(5s);
  EXPECT_TRUE(first->value().mMayDispatch);
  EXPECT_TRUE(cluster.SendAndWait(1, kClaim, "lot-7").mMayDispatch);
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(0, kClaim, "lot-7")),
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

TEST(Claims, AClaimClassAcceptsTokens)
{
  test_cluster cluster(2);
  EXPECT_TRUE(
    cluster.SendAndWait(0, kClaim, cluster.IssueToken(0)).mMayDispatch);
}

TEST(Claims, ConcurrentClaimsAtTwoRoutersRunOnce)
{
  test_cluster cluster(3);
  const auto first = cluster.Send(0, { kClaim, "lot-7" });
  const auto second = cluster.Send(1, { kClaim, "lot-7" });
  cluster.mTimers.Advance(10s);
  EXPECT_NE(first->value().mMayDispatch, second->value().mMayDispatch);
}

TEST(Fault_StoreOutage, Claim_Ask_NotRunIsToldOfAFirstAttemptOnly)
{
  test_cluster cluster(1);
  cluster.Router(0).mPlatform.Faults().mOutage = true;
  const auto first = cluster.Send(0, { kClaim, "lot-7", true });
  const auto other = cluster.Send(0, { kClaim, "lot-8", false });
  cluster.mTimers.Advance(10s);
  EXPECT_EQ(RefusedOutcome(first->value()), outcome::NotRun);
  EXPECT_EQ(first->value().mRefusal.mReason, refusal_reason::PlatformDown);
  EXPECT_GT(first->value().mRefusal.mRetryAfter, 0ms);
  EXPECT_EQ(RefusedOutcome(other->value()), outcome::Unknown);
  cluster.Router(0).mPlatform.Faults().mOutage = false;
  EXPECT_TRUE(cluster.SendAndWait(0, kClaim, "lot-7").mMayDispatch);
}

TEST(Fault_CrashAfter, Claim_Run_TheHoldersDeathLeavesItUnknown)
{
  test_cluster cluster(3);
  cluster.SendAndWait(0, kClaim, "lot-7");
  cluster.Crash(0);
  cluster.MarkDead(0);
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(1, kClaim, "lot-7")),
            outcome::Unknown);
  cluster.Restart(0);
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(0, kClaim, "lot-7")),
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

TEST(Fault_CrashBefore, Claim_Run_AnUnusedGrantIsNeverUsedByAnother)
{
  test_cluster cluster(3);
  for (unsigned router = 0; router < 3; ++router) {
    cluster.Router(router).mPlatform.Faults().mDelay = 20ms;
  }
  const auto crashing = cluster.Send(0, { kClaim, "lot-7" });
  while (cluster.mStore->Changes("claims", 0).empty()) {
    cluster.mTimers.Advance(1ms);
  }
  ASSERT_FALSE(crashing->has_value());
  cluster.Crash(0);
  cluster.MarkDead(0);
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(1, kClaim, "lot-7")),
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs("lot-7"), 0U);
}

TEST(Fault_PausePastLease, Claim_Run_AGrantThatArrivesLateIsNotUsed)
{
  test_cluster cluster(3);
  const auto paused = cluster.Send(0, { kClaim, "lot-7" });
  cluster.Router(0).mTimers.Pause();
  cluster.MarkDead(0);
  cluster.mTimers.Advance(1min);
  cluster.SendAndWait(1, kClaim, "lot-7");
  cluster.Router(0).mTimers.Resume();
  cluster.mTimers.Advance(1min);
  EXPECT_LE(cluster.Runs("lot-7"), 1U);
  EXPECT_EQ(cluster.FalseNotRuns(), 0U);
}

TEST(Fault_MessageLost, Claim_Ask_TheQuestionIsAskedAgain)
{
  test_cluster cluster(3);
  unsigned sent = 0;
  cluster.mNetwork.SetDeliveryRule([&](const auto&) {
    ++sent;
    return sent % 3 == 0 ? std::optional<steady_duration>(1ms) : std::nullopt;
  });
  for (const auto* const key : { "lot-7", "lot-8", "lot-9" }) {
    EXPECT_TRUE(cluster.SendAndWait(0, kClaim, key).mMayDispatch);
  }
}

TEST(Fault_Slow, Claim_Fate_AGrantOnItsWayIsGivenUpForGood)
{
  test_cluster cluster(3);
  cluster.mNetwork.SetDeliveryRule([](const peer_message& aMessage) {
    const auto* const answer = std::get_if<claim_answer>(&aMessage);
    const auto late = answer != nullptr &&
                      answer->mVerdict == claim_verdict::Granted &&
                      answer->mHolder.mVm == vm_id{ "vm1" };
    return std::optional<steady_duration>(late ? 2s : 1ms);
  });
  unsigned reclaimed = 0;
  for (int i = 0; i < 10; ++i) {
    const auto key = "lot-" + std::to_string(i);
    cluster.Send(1, { kClaim, key });
    cluster.mTimers.Advance(100ms);
    reclaimed += cluster.SendAndWait(2, kClaim, key).mMayDispatch ? 1 : 0;
    EXPECT_EQ(cluster.Runs(key), 1U);
  }
  EXPECT_GT(reclaimed, 0U);
}

// Counts claim requests between routers, and drops the next mLoseAnswers
// answers to them.
struct claim_traffic
{
  explicit claim_traffic(test_cluster& aCluster)
  {
    aCluster.mNetwork.SetDeliveryRule([this](const peer_message& aMessage) {
      mClaimRequests += std::holds_alternative<claim_request>(aMessage) ? 1 : 0;
      const auto lost =
        mLoseAnswers > 0 && std::holds_alternative<claim_answer>(aMessage);
      mLoseAnswers -= lost ? 1 : 0;
      return lost ? std::nullopt : std::optional<steady_duration>(1ms);
    });
  }

  unsigned mClaimRequests = 0;
  unsigned mLoseAnswers = 0;
};

TEST(Fault_AnswerLost, Claim_Ask_TheSameClaimIsAskedForAgain)
{
  test_cluster cluster(3);
  claim_traffic traffic(cluster);
  for (int i = 0; i < 6; ++i) {
    traffic.mLoseAnswers = 2;
    const auto key = "lot-" + std::to_string(i);
    EXPECT_TRUE(cluster.SendAndWait(0, kClaim, key).mMayDispatch);
    EXPECT_FALSE(cluster.SendAndWait(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(cluster.Runs(key), 1U);
  }
  EXPECT_GT(traffic.mClaimRequests, 0U);
}

TEST(Fault_CrashBefore, Claim_Ask_TheNextOwnerDecides)
{
  test_cluster cluster(3);
  claim_traffic traffic(cluster);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    const auto pending = cluster.Send(0, { kClaim, key });
    cluster.Crash(1);
    cluster.MarkDead(1);
    cluster.mTimers.Advance(10s);
    EXPECT_TRUE(pending->value().mMayDispatch);
    cluster.Restart(1);
    EXPECT_FALSE(cluster.SendAndWait(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(cluster.Runs(key), 1U);
  }
}

TEST(Fault_CrashAfter, Claim_Ask_TheNextOwnerKnowsWhatTheLastOneGranted)
{
  test_cluster cluster(3);
  claim_traffic traffic(cluster);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    // The grant is committed, but its answers are lost.
    traffic.mLoseAnswers = 3;
    const auto pending = cluster.Send(0, { kClaim, key });
    cluster.mTimers.Advance(300ms);
    traffic.mLoseAnswers = 0;
    cluster.Crash(1);
    cluster.MarkDead(1);
    cluster.mTimers.Advance(10s);
    EXPECT_TRUE(pending->value().mMayDispatch);
    cluster.Restart(1);
    EXPECT_FALSE(cluster.SendAndWait(2, kClaim, key).mMayDispatch);
    EXPECT_EQ(cluster.Runs(key), 1U);
  }
}

TEST(Fault_PausePastLease, Claim_Ask_APausedOwnerIsReplacedAndWakesHarmlessly)
{
  test_cluster cluster(3);
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    cluster.Router(1).mTimers.Pause();
    const auto pending = cluster.Send(0, { kClaim, key });
    cluster.MarkDead(1);
    cluster.mTimers.Advance(10s);
    EXPECT_TRUE(pending->value().mMayDispatch);
    cluster.Router(1).mTimers.Resume();
    EXPECT_FALSE(cluster.SendAndWait(1, kClaim, key).mMayDispatch);
    EXPECT_EQ(cluster.Runs(key), 1U);
  }
}

TEST(Fault_Slow, Claim_Ask_ASlowNetworkDecidesOrRefusesAndRunsNothingTwice)
{
  test_cluster cluster(3);
  cluster.mNetwork.SetDeliveryRule(
    [](const auto&) { return std::optional<steady_duration>(2s); });
  for (int i = 0; i < 6; ++i) {
    const auto key = "lot-" + std::to_string(i);
    cluster.SendAndWait(0, kClaim, key);
    cluster.SendAndWait(1, kClaim, key);
    cluster.SendAndWait(0, kClaim, key);
    EXPECT_LE(cluster.Runs(key), 1U);
    EXPECT_EQ(cluster.FalseNotRuns(), 0U);
  }
}

TEST(Fault_SilentOutbound, Claim_Fate_AHolderThatHearsNothingLeavesItUnknown)
{
  test_cluster cluster(3);
  EXPECT_TRUE(cluster.SendAndWait(0, kClaim, "lot-7").mMayDispatch);
  cluster.mNetwork.Block({ "vm1" }, { "vm0" });
  cluster.mNetwork.Block({ "vm2" }, { "vm0" });
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(1, kClaim, "lot-7")),
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

TEST(Fault_SilentInbound, Claim_Fate_AHolderThatCannotAnswerLeavesItUnknown)
{
  test_cluster cluster(3);
  EXPECT_TRUE(cluster.SendAndWait(0, kClaim, "lot-7").mMayDispatch);
  cluster.mNetwork.Block({ "vm0" }, { "vm1" });
  EXPECT_EQ(RefusedOutcome(cluster.SendAndWait(1, kClaim, "lot-7")),
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

TEST(Fault_Partition, Claim_Ask_ARouterCutOffFromTheOwnerRunsNothingTwice)
{
  test_cluster cluster(2);
  cluster.mNetwork.Block({ "vm0" }, { "vm1" });
  cluster.mNetwork.Block({ "vm1" }, { "vm0" });
  for (int i = 0; i < 20; ++i) {
    const auto key = "lot-" + std::to_string(i);
    cluster.SendAndWait(0, kClaim, key);
    cluster.SendAndWait(1, kClaim, key);
    EXPECT_LE(cluster.Runs(key), 1U);
  }
}

TEST(Fault_StaleList, Claim_Ask_TwoRoutersThatBothOwnTheKeyLetOneRun)
{
  test_cluster cluster(2);
  // Each router sees only itself as a member.
  cluster.Router(0).mBoard.mMembers.erase({ "vm1" });
  cluster.Router(1).mBoard.mMembers.erase({ "vm0" });
  const auto first = cluster.Send(0, { kClaim, "lot-7" });
  const auto second = cluster.Send(1, { kClaim, "lot-7" });
  cluster.mTimers.Advance(10s);
  EXPECT_EQ(cluster.Runs("lot-7"), 1U);
}

} // namespace
} // namespace sapphirespar::ledger
