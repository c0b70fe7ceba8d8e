// Tests of what answers mean.
#include "sapphirespar/gateway/answer_judgement.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

answer_facts
Signed(std::string aId = "r1")
{
  return { std::move(aId), true, false };
}

TEST(JudgeAnswer, PassesOnSignedAnswersToTheRequest)
{
  EXPECT_EQ(JudgeAnswer(200, Signed(), "r1"), answer_verdict::Relay);
  EXPECT_EQ(JudgeAnswer(404, Signed(), "r1"), answer_verdict::Relay);
  EXPECT_EQ(JudgeAnswer(500, Signed(), "r1"), answer_verdict::Failed);
}

TEST(JudgeAnswer, KnowsAnswersToOtherRequests)
{
  EXPECT_EQ(JudgeAnswer(200, Signed("r0"), "r1"), answer_verdict::Foreign);
  EXPECT_EQ(JudgeAnswer(503, { "r0", false, true }, "r1"),
            answer_verdict::Foreign);
}

TEST(JudgeAnswer, TakesNoSuccessWithoutItsSignature)
{
  EXPECT_EQ(JudgeAnswer(200, { "r1", false, false }, "r1"),
            answer_verdict::Unusable);
}

TEST(JudgeAnswer, PromisesNothingThatTheUpstreamDidNotSay)
{
  EXPECT_EQ(JudgeAnswer(503, { "", false, true }, "r1"),
            answer_verdict::NotRun);
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    EXPECT_EQ(JudgeAnswer(status, Signed(), "r1"), answer_verdict::Unusable)
      << status;
  }
}

} // namespace
} // namespace sapphirespar::gateway
