// Tokens at one router, at another, and under faults.
#include "once_world_test.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kToken = at_most_once_mode::Token;

TEST(OnceGuard, IdempotentClassesNeedNoKey)
{
  once_world world(1);
  EXPECT_TRUE(world.Ask(0, at_most_once_mode::None, "").mMayDispatch);
  EXPECT_TRUE(world.Ask(0, at_most_once_mode::None, "").mMayDispatch);
}

TEST(OnceGuard, ATokenRunsOnce)
{
  once_world world(1);
  const auto token = world.Token(0);
  EXPECT_TRUE(world.Ask(0, kToken, token).mMayDispatch);
  const auto second = world.Ask(0, kToken, token);
  EXPECT_FALSE(second.mMayDispatch);
  EXPECT_EQ(second.mRefusal.mReason, refusal_reason::DuplicateKey);
  EXPECT_EQ(second.mRefusal.mOutcome, outcome::Unknown);
  world.Finish(0, token, outcome::Done);
  EXPECT_EQ(world.Ask(0, kToken, token).mRefusal.mOutcome, outcome::Done);
  EXPECT_EQ(world.Runs(token), 1U);
}

TEST(OnceGuard, ANewAttemptMayRunWhatWasNotRun)
{
  once_world world(1);
  const auto token = world.Token(0);
  EXPECT_TRUE(world.Ask(0, kToken, token).mMayDispatch);
  world.Finish(0, token, outcome::NotRun);
  EXPECT_TRUE(world.Ask(0, kToken, token).mMayDispatch);
}

TEST(OnceGuard, AKeyIsMissingInventedOrTooLong)
{
  once_world world(1);
  const auto reason = [&](const std::string& aKey) {
    const auto verdict = world.Ask(0, kToken, aKey);
    EXPECT_FALSE(verdict.mMayDispatch);
    EXPECT_EQ(verdict.mRefusal.mOutcome, outcome::NotRun);
    return verdict.mRefusal.mReason;
  };
  EXPECT_EQ(reason(""), refusal_reason::MissingKey);
  EXPECT_EQ(reason("booking-1"), refusal_reason::BadRequest);
  EXPECT_EQ(reason("st1.1.0.ab.cd.vm0"), refusal_reason::BadRequest);
  EXPECT_EQ(reason(std::string(1000, 'x')), refusal_reason::BadRequest);
}

TEST(OnceGuard, ATokenServesOneRequestOnly)
{
  once_world world(1);
  const auto token = world.Token(0);
  auto& guard = *world.Router(0).mGuard;
  std::optional<dispatch_decision> told;
  dispatch_request request{ kToken, { kAccount, token }, 1, false };
  guard.Begin(request, [&](auto aVerdict) { told = aVerdict; });
  EXPECT_TRUE(told->mMayDispatch);
  guard.Finished(request.mKey, outcome::Done);
  request.mContentHash = 2;
  guard.Begin(request, [&](auto aVerdict) { told = aVerdict; });
  EXPECT_FALSE(told->mMayDispatch);
  EXPECT_EQ(told->mRefusal.mOutcome, outcome::Unknown);
}

TEST(OnceGuard, ALostAnswerIsGivenAgain)
{
  once_world world(1);
  const auto token = world.Token(0);
  world.Ask(0, kToken, token);
  const auto answer = std::make_shared<const stored_answer>(
    stored_answer{ 200, "application/json", "{\"lot\":7}" });
  world.Router(0).mGuard->Finished({ kAccount, token }, outcome::Done, answer);
  const auto again = world.Ask(0, kToken, token);
  EXPECT_EQ(again.mRefusal.mOutcome, outcome::Done);
  EXPECT_EQ(again.mAnswer, answer);
}

TEST(OnceGuard, ATokenExpiresAndIsForgottenLater)
{
  once_world world(1);
  const auto token = world.Token(0);
  world.Ask(0, kToken, token);
  world.Finish(0, token, outcome::Done);
  world.mTimers.Advance(2h);
  EXPECT_EQ(world.Router(0).mGuard->Counts().mKnown, 0U);
  const auto late = world.Ask(0, kToken, token);
  EXPECT_FALSE(late.mMayDispatch);
  EXPECT_EQ(late.mRefusal.mOutcome, outcome::Unknown);
}

TEST(OnceGuard, AnotherRouterTellsTheFate)
{
  once_world world(2);
  const auto token = world.Token(0);
  EXPECT_TRUE(world.Ask(0, kToken, token).mMayDispatch);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  world.Finish(0, token, outcome::Done);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Done);
  EXPECT_EQ(world.Runs(token), 1U);
}

TEST(OnceGuard, NotRunIsToldOnlyOfAClosedToken)
{
  once_world world(2);
  const auto token = world.Token(0);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::NotRun);
  // The first copy of the request arrives late.
  const auto late = world.Ask(0, kToken, token);
  EXPECT_FALSE(late.mMayDispatch);
  EXPECT_EQ(late.mRefusal.mOutcome, outcome::NotRun);
  EXPECT_EQ(world.Runs(token), 0U);
}

TEST(Fault_CrashAfter, Claim_Token_ARetryElsewhereIsUnknownAndNeverRun)
{
  once_world world(2);
  const auto token = world.Token(0);
  world.Ask(0, kToken, token);
  world.Crash(0);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  world.Restart(0);
  EXPECT_EQ(world.Ask(0, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  EXPECT_EQ(world.Runs(token), 1U);
}

TEST(Fault_CrashBefore, Claim_Token_AnEarlierLifesTokenIsNeverRun)
{
  once_world world(2);
  const auto token = world.Token(0);
  world.Restart(0);
  EXPECT_EQ(world.Ask(0, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  EXPECT_EQ(world.Runs(token), 0U);
}

TEST(Fault_StoreOutage, Claim_Token_TokensRunWithoutTheStore)
{
  once_world world(1);
  world.Router(0).mPlatform.Faults().mOutage = true;
  EXPECT_TRUE(world.Ask(0, kToken, world.Token(0)).mMayDispatch);
}

TEST(Fault_PausePastLease, Claim_Fate_AWokenIssuerKeepsItsPromise)
{
  once_world world(2);
  const auto token = world.Token(0);
  world.Router(0).mTimers.Pause();
  world.Bury(0);
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Unknown);
  world.Router(0).mTimers.Resume();
  EXPECT_TRUE(world.Ask(0, kToken, token).mMayDispatch);
  EXPECT_EQ(world.Runs(token), 1U);
}

TEST(Fault_Partition, Claim_Fate_SilenceIsUnknown)
{
  once_world world(2);
  const auto token = world.Token(0);
  world.mNetwork.Block({ "vm1" }, { "vm0" });
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::Unknown);
}

TEST(Fault_MessageLost, Claim_Fate_TheQuestionIsAskedAgain)
{
  once_world world(2);
  const auto token = world.Token(0);
  unsigned sent = 0;
  world.mNetwork.SetDeliveryRule([&](const auto&) {
    ++sent;
    return sent <= 2 ? std::nullopt : std::optional<steady_duration>(1ms);
  });
  EXPECT_EQ(world.Ask(1, kToken, token).mRefusal.mOutcome, outcome::NotRun);
}

} // namespace
} // namespace sapphirespar::ledger
