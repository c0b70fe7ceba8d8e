// Tests of retry decisions and the retry budget.
#include "sapphirespar/policy/retry.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

failed_attempt
FailedAttempt()
{
  failed_attempt attempt;
  attempt.mAnswerBy = steady_time{ 10s };
  return attempt;
}

retry_action
ActionFor(const failed_attempt& aAttempt, steady_time aNow = {})
{
  retry_budget budget;
  return DecideRetry(aAttempt, budget, aNow).mAction;
}

TEST(DecideRetry, NeverRetriesARequestThatMayHaveRunUnlessIdempotent)
{
  auto attempt = FailedAttempt();
  EXPECT_EQ(ActionFor(attempt), retry_action::GiveUp);
  attempt.mIdempotent = true;
  EXPECT_EQ(ActionFor(attempt), retry_action::Retry);
}

TEST(DecideRetry, RetriesARequestThatProvablyDidNotRun)
{
  auto unwritten = FailedAttempt();
  unwritten.mBytesWritten = false;
  EXPECT_EQ(ActionFor(unwritten), retry_action::Retry);
  auto refused = FailedAttempt();
  refused.mRejectedByUpstream = true;
  EXPECT_EQ(ActionFor(refused), retry_action::Retry);
}

TEST(DecideRetry, NeverRestartsAnAnswerThatTheCallerHasPartOf)
{
  auto attempt = FailedAttempt();
  attempt.mIdempotent = true;
  attempt.mSentToCaller = true;
  EXPECT_EQ(ActionFor(attempt), retry_action::GiveUp);
  attempt.mResumeOffered = true;
  EXPECT_EQ(ActionFor(attempt), retry_action::Resume);
}

TEST(DecideRetry, NeverRetriesAfterTheDeadline)
{
  auto attempt = FailedAttempt();
  attempt.mBytesWritten = false;
  EXPECT_EQ(ActionFor(attempt, steady_time{ 10s }), retry_action::GiveUp);
}

TEST(DecideRetry, KeepsItsRulesForEveryAttempt)
{
  EXPECT_TRUE(rc::check([] {
    failed_attempt attempt;
    attempt.mIdempotent = *rc::gen::arbitrary<bool>();
    attempt.mBytesWritten = *rc::gen::arbitrary<bool>();
    attempt.mRejectedByUpstream = *rc::gen::arbitrary<bool>();
    attempt.mSentToCaller = *rc::gen::arbitrary<bool>();
    attempt.mResumeOffered = *rc::gen::arbitrary<bool>();
    attempt.mAttempts = *rc::gen::inRange(1u, 6u);
    attempt.mAnswerBy = steady_time{ 10s };
    const steady_time now{ std::chrono::seconds(*rc::gen::inRange(0, 20)) };
    retry_budget budget;
    const auto decision = DecideRetry(attempt, budget, now);
    const bool mayHaveRun =
      attempt.mBytesWritten && !attempt.mRejectedByUpstream;
    if (decision.mAction == retry_action::Retry) {
      RC_ASSERT(!mayHaveRun || attempt.mIdempotent);
      RC_ASSERT(!attempt.mSentToCaller);
    }
    if (decision.mAction == retry_action::GiveUp) {
      RC_ASSERT((decision.mOutcome == outcome::NotRun) == !mayHaveRun);
    } else {
      RC_ASSERT(now < attempt.mAnswerBy);
    }
  }));
}

TEST(RetryBudget, BoundsRetriesToItsShareOfSuccesses)
{
  retry_budget budget(0.1);
  while (budget.TryTake()) {
  }
  for (int i = 0; i < 100; ++i) {
    budget.AddSuccess();
  }
  int retries = 0;
  while (budget.TryTake()) {
    ++retries;
  }
  EXPECT_NEAR(retries, 10, 1);
}

} // namespace
} // namespace sapphirespar::policy
