// Tests tokens at the issuing router and at another one, also under faults.
#include "test_cluster_test.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kToken = at_most_once_mode::Token;

TEST(AtMostOnceGuard, IdempotentClassesNeedNoKey)
{
  test_cluster cluster(1);
  EXPECT_TRUE(cluster.SendAndWait(0, at_most_once_mode::None, "").mMayDispatch);
  EXPECT_TRUE(cluster.SendAndWait(0, at_most_once_mode::None, "").mMayDispatch);
}

TEST(AtMostOnceGuard, ATokenRunsOnce)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  const auto second = cluster.SendAndWait(0, kToken, token);
  EXPECT_FALSE(second.mMayDispatch);
  EXPECT_EQ(second.mRefusal.mReason, refusal_reason::DuplicateKey);
  EXPECT_EQ(second.mRefusal.mOutcome, outcome::Unknown);
  cluster.Finish(0, token, outcome::Done);
  EXPECT_EQ(cluster.SendAndWait(0, kToken, token).mRefusal.mOutcome,
            outcome::Done);
  EXPECT_EQ(cluster.Runs(token), 1U);
}

TEST(AtMostOnceGuard, ARetryMayRunAfterNotRun)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  cluster.Finish(0, token, outcome::NotRun);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
}

// A retry that was allowed after "not run" is a dispatch like the first one:
// while it runs, and after its end, the token must not be dispatched again.
TEST(AtMostOnceGuard, ARetryAfterNotRunIsDispatchedOnce)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  cluster.Finish(0, token, outcome::NotRun);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  const auto beside = cluster.SendAndWait(0, kToken, token);
  EXPECT_FALSE(beside.mMayDispatch);
  EXPECT_EQ(beside.mRefusal.mOutcome, outcome::Unknown);
  cluster.Finish(0, token, outcome::Done);
  const auto after = cluster.SendAndWait(0, kToken, token);
  EXPECT_FALSE(after.mMayDispatch);
  EXPECT_EQ(after.mRefusal.mOutcome, outcome::Done);
}

TEST(AtMostOnceGuard, ATokenMayBeRetriedAfterEachNotRun)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  for (int attempt = 0; attempt < 4; ++attempt) {
    ASSERT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
    cluster.Finish(0, token, outcome::NotRun);
  }
}

// The retry's content decides about later requests with the same token.
TEST(AtMostOnceGuard, ARetryAfterNotRunReplacesTheContentHash)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  auto& guard = *cluster.Router(0).mGuard;
  std::optional<dispatch_decision> decision;
  const auto keep = [&](auto aDecision) { decision = aDecision; };
  dispatch_request request{ kToken, { kAccount, token }, 1, false };
  guard.Begin(request, keep);
  guard.Finished(request.mKey, outcome::NotRun);
  request.mContentHash = 2;
  guard.Begin(request, keep);
  EXPECT_TRUE(decision->mMayDispatch);
  guard.Finished(request.mKey, outcome::Done);
  guard.Begin(request, keep);
  EXPECT_EQ(decision->mRefusal.mOutcome, outcome::Done);
}

TEST(AtMostOnceGuard, MissingInvalidAndOverlongKeysAreRefused)
{
  test_cluster cluster(1);
  const auto reason = [&](const std::string& aKey) {
    const auto decision = cluster.SendAndWait(0, kToken, aKey);
    EXPECT_FALSE(decision.mMayDispatch);
    EXPECT_EQ(decision.mRefusal.mOutcome, outcome::NotRun);
    return decision.mRefusal.mReason;
  };
  EXPECT_EQ(reason(""), refusal_reason::MissingKey);
  EXPECT_EQ(reason("booking-1"), refusal_reason::BadRequest);
  EXPECT_EQ(reason("st1.1.0.ab.cd.vm0"), refusal_reason::BadRequest);
  EXPECT_EQ(reason(std::string(1000, 'x')), refusal_reason::BadRequest);
}

TEST(AtMostOnceGuard, ATokenServesOneRequestOnly)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  auto& guard = *cluster.Router(0).mGuard;
  std::optional<dispatch_decision> decision;
  dispatch_request request{ kToken, { kAccount, token }, 1, false };
  guard.Begin(request, [&](auto aDecision) { decision = aDecision; });
  EXPECT_TRUE(decision->mMayDispatch);
  guard.Finished(request.mKey, outcome::Done);
  request.mContentHash = 2;
  guard.Begin(request, [&](auto aDecision) { decision = aDecision; });
  EXPECT_FALSE(decision->mMayDispatch);
  EXPECT_EQ(decision->mRefusal.mOutcome, outcome::Unknown);
}

TEST(AtMostOnceGuard, ARetryGetsTheStoredAnswer)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  cluster.SendAndWait(0, kToken, token);
  const auto answer = std::make_shared<const stored_answer>(
    stored_answer{ 200, "application/json", "{\"lot\":7}" });
  cluster.Router(0).mGuard->Finished(
    { kAccount, token }, outcome::Done, answer);
  const auto again = cluster.SendAndWait(0, kToken, token);
  EXPECT_EQ(again.mRefusal.mOutcome, outcome::Done);
  EXPECT_EQ(again.mAnswer, answer);
}

TEST(AtMostOnceGuard, AnExpiredTokenIsRemovedAndRefused)
{
  test_cluster cluster(1);
  const auto token = cluster.IssueToken(0);
  cluster.SendAndWait(0, kToken, token);
  cluster.Finish(0, token, outcome::Done);
  cluster.mTimers.Advance(2h);
  EXPECT_EQ(cluster.Router(0).mGuard->Counts().mKeys, 0U);
  const auto late = cluster.SendAndWait(0, kToken, token);
  EXPECT_FALSE(late.mMayDispatch);
  EXPECT_EQ(late.mRefusal.mOutcome, outcome::Unknown);
}

TEST(AtMostOnceGuard, AnotherRouterReportsTheOutcome)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  cluster.Finish(0, token, outcome::Done);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Done);
  EXPECT_EQ(cluster.Runs(token), 1U);
}

TEST(AtMostOnceGuard, NotRunIsReportedOnlyForAClosedToken)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::NotRun);
  // The first copy of the request arrives late.
  const auto late = cluster.SendAndWait(0, kToken, token);
  EXPECT_FALSE(late.mMayDispatch);
  EXPECT_EQ(late.mRefusal.mOutcome, outcome::NotRun);
  EXPECT_EQ(cluster.Runs(token), 0U);
}

TEST(Fault_CrashAfter, Claim_Token_ARetryElsewhereIsUnknownAndNeverRun)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  cluster.SendAndWait(0, kToken, token);
  cluster.Crash(0);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  cluster.Restart(0);
  EXPECT_EQ(cluster.SendAndWait(0, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs(token), 1U);
}

TEST(Fault_CrashBefore, Claim_Token_AnEarlierLifesTokenIsNeverRun)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  cluster.Restart(0);
  EXPECT_EQ(cluster.SendAndWait(0, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  EXPECT_EQ(cluster.Runs(token), 0U);
}

TEST(Fault_StoreOutage, Claim_Token_TokensRunWithoutTheStore)
{
  test_cluster cluster(1);
  cluster.Router(0).mPlatform.Faults().mOutage = true;
  EXPECT_TRUE(
    cluster.SendAndWait(0, kToken, cluster.IssueToken(0)).mMayDispatch);
}

TEST(Fault_PausePastLease, Claim_Fate_AWokenIssuerKeepsItsPromise)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  cluster.Router(0).mTimers.Pause();
  cluster.MarkDead(0);
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
  cluster.Router(0).mTimers.Resume();
  EXPECT_TRUE(cluster.SendAndWait(0, kToken, token).mMayDispatch);
  EXPECT_EQ(cluster.Runs(token), 1U);
}

TEST(Fault_Partition, Claim_Fate_SilenceIsUnknown)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  cluster.mNetwork.Block({ "vm1" }, { "vm0" });
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::Unknown);
}

TEST(Fault_MessageLost, Claim_Fate_TheQuestionIsAskedAgain)
{
  test_cluster cluster(2);
  const auto token = cluster.IssueToken(0);
  unsigned sent = 0;
  cluster.mNetwork.SetDeliveryRule([&](const auto&) {
    ++sent;
    return sent <= 2 ? std::nullopt : std::optional<steady_duration>(1ms);
  });
  EXPECT_EQ(cluster.SendAndWait(1, kToken, token).mRefusal.mOutcome,
            outcome::NotRun);
}

} // namespace
} // namespace sapphirespar::ledger
