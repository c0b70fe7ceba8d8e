// Tests of the classification of answers.
#include "sapphirespar/gateway/answer_classifier.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

answer_info
Signed(std::string aId = "r1")
{
  return { std::move(aId), true, false };
}

TEST(ClassifyAnswer, RelaysSignedAnswersToTheRequest)
{
  EXPECT_EQ(ClassifyAnswer(200, Signed(), "r1"), answer_kind::Relay);
  EXPECT_EQ(ClassifyAnswer(404, Signed(), "r1"), answer_kind::Relay);
  EXPECT_EQ(ClassifyAnswer(500, Signed(), "r1"), answer_kind::Failed);
}

TEST(ClassifyAnswer, RecognizesAnswersToOtherRequests)
{
  EXPECT_EQ(ClassifyAnswer(200, Signed("r0"), "r1"), answer_kind::Foreign);
  EXPECT_EQ(ClassifyAnswer(503, { "r0", false, true }, "r1"),
            answer_kind::Foreign);
}

TEST(ClassifyAnswer, RejectsSuccessWithoutSignature)
{
  EXPECT_EQ(ClassifyAnswer(200, { "r1", false, false }, "r1"),
            answer_kind::Unusable);
}

TEST(ClassifyAnswer, TreatsARequestAsNotRunOnlyIfTheUpstreamSaysSo)
{
  EXPECT_EQ(ClassifyAnswer(503, { "", false, true }, "r1"),
            answer_kind::NotRun);
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    EXPECT_EQ(ClassifyAnswer(status, Signed(), "r1"), answer_kind::Unusable)
      << status;
  }
}

} // namespace
} // namespace sapphirespar::gateway
