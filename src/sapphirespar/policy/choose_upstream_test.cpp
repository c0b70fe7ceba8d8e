// Tests of the choice of upstream and of the estimates that it uses.
#include "sapphirespar/policy/choose_upstream.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

class an_upstream_choice : public testing::Test
{
protected:
  an_upstream_choice()
  {
    for (const auto* name : { "a", "b", "c" }) {
      auto& state = mStates.emplace_back();
      state.mView.mId = { name };
      state.mView.mSlots = 8;
    }
    mRequest.mFirstTokenBy = steady_time{ 2s };
    mRequest.mAnswerBy = steady_time{ 30s };
  }

  std::string Choose(expected_times aExpected = {})
  {
    slot_members members;
    for (auto& state : mStates) {
      members.push_back(&state);
    }
    const auto* chosen =
      ChooseUpstream({ members, mRequest, aExpected, steady_time{} });
    return chosen ? chosen->mView.mId.mText : "none";
  }

  std::vector<slot_state> mStates;
  queued_request mRequest;
};

TEST_F(an_upstream_choice, ChoosesTheLeastLoadedRelativeToItsSlots)
{
  mStates[0].mRunning = 3;
  mStates[1].mRunning = 2;
  mStates[2].mRunning = 5;
  mStates[2].mView.mSlots = 32;
  EXPECT_EQ(Choose(), "c");
}

TEST_F(an_upstream_choice, CountsExternalLoad)
{
  mStates[0].mView.mExternalLoad = 2;
  mStates[1].mRunning = 1;
  mStates[2].mView.mExternalLoad = 3;
  EXPECT_EQ(Choose(), "b");
}

TEST_F(an_upstream_choice, FollowsACachedPrefixWithinTheLoadGuard)
{
  mRequest.mPrefixHash = 7;
  mStates[2].mView.mCachedPrefixes = { 7 };
  for (auto& state : mStates) {
    state.mRunning = 4;
  }
  mStates[2].mRunning = 5;
  EXPECT_EQ(Choose(), "c");
  mStates[2].mRunning = 7;
  EXPECT_EQ(Choose(), "a");
}

TEST_F(an_upstream_choice, SpreadsRequestsThatMustNotRunTwiceWithinTheLoadGuard)
{
  mRequest.mRunsOnce = true;
  for (auto& state : mStates) {
    state.mRunning = 5;
    state.mRunsOnce = 1;
  }
  mStates[0].mRunning = 4;
  mStates[0].mRunsOnce = 2;
  EXPECT_EQ(Choose(), "b");
  mStates[0].mRunning = 1;
  mStates[1].mRunning = mStates[2].mRunning = 7;
  EXPECT_EQ(Choose(), "a");
}

TEST_F(an_upstream_choice, SkipsASlowUpstreamThatWouldBeLate)
{
  mStates[2].mView.mState = upstream_state::Slow;
  mStates[2].mView.mRelativeSpeed = 0.25;
  mStates[0].mRunning = mStates[1].mRunning = 8;
  EXPECT_EQ(Choose({ 100ms, 5s, 5s }), "c");
  EXPECT_EQ(Choose({ 100ms, 10s, 10s }), "none");
}

TEST_F(an_upstream_choice, UsesASlowUpstreamIfThereIsNoOther)
{
  mStates[0].mView.mState = upstream_state::Leaving;
  mStates[1].mView.mState = upstream_state::Ejected;
  mStates[2].mView.mState = upstream_state::Slow;
  mStates[2].mView.mRelativeSpeed = 0.25;
  EXPECT_EQ(Choose({ 100ms, 10s, 10s }), "c");
}

TEST_F(an_upstream_choice, NeverCountsTheLastSlotAsExternalLoad)
{
  mStates[0].mView.mExternalLoad = 100;
  EXPECT_EQ(FreeSlots(mStates[0]), 1);
}

TEST_F(an_upstream_choice, AllowsPreemptionDespiteExternalLoad)
{
  mStates[0].mRunning = 8;
  mStates[0].mView.mExternalLoad = 4;
  EXPECT_FALSE(CanPreempt(mStates[0]));
  mStates[0].mView.mCanPause = true;
  EXPECT_TRUE(CanPreempt(mStates[0]));
  mStates[0].mView.mState = upstream_state::Probing;
  EXPECT_FALSE(CanPreempt(mStates[0]));
}

TEST(LengthEstimate, ReturnsZeroAtFirstAndThenQuantiles)
{
  length_estimate estimate;
  EXPECT_EQ(estimate.Quantile(0.9), 0);
  for (unsigned tokens = 1; tokens <= 1000; ++tokens) {
    estimate.Add(tokens);
  }
  // A bin is 13 % wide, and later answers have a higher weight.
  EXPECT_NEAR(estimate.Quantile(0.9), 930, 130);
}

TEST(LengthEstimate, FollowsAChange)
{
  length_estimate estimate;
  for (int i = 0; i < 1000; ++i) {
    estimate.Add(1000);
  }
  for (int i = 0; i < 2500; ++i) {
    estimate.Add(10);
  }
  EXPECT_LT(estimate.Quantile(0.95), 20);
}

TEST(AnswerEstimate, CapsTheLengthAtTheLimitOfTheRequest)
{
  answer_estimate estimate;
  queued_request request;
  for (int i = 0; i < 100; ++i) {
    estimate.AddCompletion(request, { {}, true, 101, 100ms }, 1100ms);
  }
  EXPECT_NEAR(estimate.Predict(request).mAnswer / 1ms, 1100, 150);
  request.mMaximumTokens = 10;
  EXPECT_NEAR(estimate.Predict(request).mAnswer / 1ms, 200, 10);
  EXPECT_EQ(estimate.Predict(request).mSlotTime / 1ms, 1100);
}

} // namespace
} // namespace sapphirespar::policy
