// Tests of the classification of answers.
#include "sapphirespar/gateway/answer_classifier.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

constexpr auto kFresh = connection_past::None;
constexpr auto kKept = connection_past::Answers;

answer_info
Signed(std::string aId = "r1")
{
  return { std::move(aId), true, false };
}

TEST(ClassifyAnswer, RelaysSignedAnswersToTheRequest)
{
  EXPECT_EQ(ClassifyAnswer(200, Signed(), "r1", kFresh), answer_kind::Relay);
  EXPECT_EQ(ClassifyAnswer(404, Signed(), "r1", kFresh), answer_kind::Relay);
  EXPECT_EQ(ClassifyAnswer(500, Signed(), "r1", kFresh), answer_kind::Failed);
}

TEST(ClassifyAnswer, RecognizesAnswersToOtherRequests)
{
  EXPECT_EQ(ClassifyAnswer(200, Signed("r0"), "r1", kFresh),
            answer_kind::Foreign);
  EXPECT_EQ(ClassifyAnswer(503, { "r0", false, true }, "r1", kFresh),
            answer_kind::Foreign);
}

TEST(ClassifyAnswer, RejectsSuccessWithoutSignature)
{
  EXPECT_EQ(ClassifyAnswer(200, { "r1", false, false }, "r1", kFresh),
            answer_kind::Unusable);
}

TEST(ClassifyAnswer, TreatsARequestAsNotRunOnlyIfTheUpstreamSaysSo)
{
  EXPECT_EQ(ClassifyAnswer(503, { "", false, true }, "r1", kFresh),
            answer_kind::NotRun);
  for (const unsigned status : { 408U, 421U, 429U, 503U }) {
    EXPECT_EQ(ClassifyAnswer(status, Signed(), "r1", kFresh),
              answer_kind::Unusable)
      << status;
  }
}

TEST(ClassifyAnswer, BelievesNoAnswerWithoutAnIdOnAKeptConnection)
{
  for (const unsigned status : { 200U, 400U, 404U, 421U, 429U, 500U, 503U }) {
    for (const bool notRun : { false, true }) {
      EXPECT_EQ(ClassifyAnswer(status, { "", true, notRun }, "r1", kKept),
                answer_kind::Foreign)
        << status;
      // The request has none either.
      EXPECT_NE(ClassifyAnswer(status, { "", true, notRun }, "", kKept),
                answer_kind::Foreign)
        << status;
    }
  }
}

TEST(ClassifyAnswer, ARejectionNeedsAStatusThatRejectsTheRequest)
{
  for (const unsigned status : { 200U, 204U, 301U, 400U, 404U, 500U, 504U }) {
    EXPECT_EQ(ClassifyAnswer(status, { "r1", true, true }, "r1", kFresh),
              answer_kind::Unusable)
      << status;
  }
  EXPECT_EQ(ClassifyAnswer(400, { "", false, true }, "", kFresh),
            answer_kind::NotRun);
  EXPECT_EQ(ClassifyAnswer(400, { "", false, true }, "r1", kFresh),
            answer_kind::Unusable);
}

TEST(ClassifyAnswer, AnAnswerThatNamesSeveralRequestsIsUnusable)
{
  auto info = Signed();
  info.mHasSeveralIds = true;
  for (const auto past : { kFresh, kKept }) {
    EXPECT_EQ(ClassifyAnswer(200, info, "r1", past), answer_kind::Unusable);
  }
}

} // namespace
} // namespace sapphirespar::gateway
