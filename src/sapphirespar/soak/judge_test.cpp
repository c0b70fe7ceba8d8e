// Tests that the soak's judge sees what it is there to see.
#include "sapphirespar/soak/judge.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::soak {
namespace {

const std::string kAccount = "account-k0";

class judged : public testing::Test
{
protected:
  void Send(request_kind aKind) { mJudge.Sent("r", aKind, "k0"); }
  std::size_t Broken() const { return mJudge.Broken().size(); }

  judge mJudge;
};

TEST_F(judged, LetsSoundAnswersPass)
{
  Send(request_kind::Stream);
  mJudge.Runs("r", kAccount);
  mJudge.Answered("r", 200, judge::BodyOf("r", request_kind::Stream));
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(judged, SeesASecondRun)
{
  Send(request_kind::Once);
  mJudge.Runs("r", kAccount);
  mJudge.Runs("r", kAccount);
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(judged, LetsSafeRequestsRunAgain)
{
  Send(request_kind::Resumable);
  mJudge.Runs("r", kAccount);
  mJudge.Runs("r", kAccount);
  EXPECT_EQ(Broken(), 0U);
}

TEST_F(judged, SeesAFalsePromiseBeforeAndAfterTheRun)
{
  Send(request_kind::Once);
  mJudge.Runs("r", kAccount);
  mJudge.Answered("r", 503, "");
  EXPECT_EQ(Broken(), 1U);
  mJudge.Sent("late", request_kind::Once, "k0");
  mJudge.Answered("late", 503, "");
  mJudge.Runs("late", kAccount);
  EXPECT_EQ(Broken(), 2U);
}

TEST_F(judged, SeesAPartThatLooksWhole)
{
  Send(request_kind::Resumable);
  mJudge.Runs("r", kAccount);
  mJudge.Answered("r", 200, EventOf("r", 1) + EventOf("r", 3));
  EXPECT_EQ(Broken(), 1U);
}

TEST_F(judged, SeesRequestsOfNobodyAndOfOthers)
{
  mJudge.Runs("none", kAccount);
  Send(request_kind::Safe);
  mJudge.Runs("r", "account-k1");
  EXPECT_EQ(Broken(), 2U);
}

} // namespace
} // namespace sapphirespar::soak
