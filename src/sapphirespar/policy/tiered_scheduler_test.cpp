// Tests of the features that only the tiered scheduler has: shares, admission
// control, preemption and reserved slots.
#include "sapphirespar/policy/tiered_scheduler.hpp"

#include "sapphirespar/policy/pool_queue.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

class a_tiered_scheduler : public testing::Test
{
protected:
  a_tiered_scheduler()
  {
    AddClass("booking", 1, 0);
    AddClass("question", 2, 0);
    AddClass("tag", 3, 10);
    mScheduler->Configure(mBundle);
  }

  void AddClass(std::string aName, unsigned aTier, unsigned aShare)
  {
    auto& rules = mBundle->mClasses.emplace_back();
    rules.mId = { std::move(aName) };
    rules.mTier = aTier;
    rules.mMinimumSharePercent = aShare;
    rules.mWeight = 4.0 - aTier;
  }

  void SetSlots(unsigned aSlots, bool aCanPause)
  {
    upstream_view view;
    view.mId = { "a" };
    view.mPools = { "m" };
    view.mSlots = aSlots;
    view.mCanPause = aCanPause;
    const std::vector views{ view };
    mScheduler->SetUpstreams(views, mNow);
  }

  decisions Submit(const char* aClass, steady_duration aFirstToken = 1h)
  {
    queued_request request;
    request.mId = { std::string(aClass) + std::to_string(++mCount) };
    request.mClass = { aClass };
    // One account for each request, so that no account limit is reached.
    request.mAccount = { std::to_string(mCount) };
    request.mPool = "m";
    request.mArrival = mNow;
    request.mFirstTokenBy = mNow + aFirstToken;
    request.mAnswerBy = request.mFirstTokenBy + 1h;
    // No two requests arrive at the same time.
    mNow += 1us;
    return RecordAssignments(mScheduler->Submit(request, mNow));
  }

  decisions Finish(std::string aId)
  {
    return RecordAssignments(mScheduler->Finish(
      { .mRequest = { std::move(aId) }, .mSucceeded = true, .mTokens = 10 },
      mNow));
  }

  decisions RecordAssignments(decisions aDecisions)
  {
    for (const auto& assignment : aDecisions.mAssignments) {
      mRunning.push_back(assignment.mRequest.mText);
    }
    return aDecisions;
  }

  std::shared_ptr<bundle> mBundle = std::make_shared<bundle>();
  scheduler_ptr mScheduler = MakeTieredScheduler();
  steady_time mNow{ 1h };
  unsigned mCount = 0;
  // In order of their start.
  std::deque<std::string> mRunning;
};

TEST_F(a_tiered_scheduler, GivesEachClassItsShareUnderConstantLoadOfHigherTiers)
{
  SetSlots(2, true);
  std::map<char, int> served;
  for (int i = 0; i < 1000; ++i) {
    Submit("question");
    Submit("tag");
    mNow += 500ms;
    const auto id = mRunning.front();
    mRunning.pop_front();
    ++served[id[0]];
    Finish(id);
  }
  // The share is 10 %. The tolerance covers requests in progress.
  EXPECT_GE(served['t'], 95);
  EXPECT_GT(served['q'], served['t']);
}

TEST_F(a_tiered_scheduler, RefusesARequestOnArrivalIfItWouldStartTooLate)
{
  SetSlots(1, true);
  // The scheduler learns that a tag holds its slot for ten seconds.
  Submit("tag");
  mNow += 10s;
  Finish("tag1");
  Submit("tag");
  Submit("tag");
  const auto result = Submit("tag", 5s);
  ASSERT_EQ(result.mRejections.size(), 1);
  EXPECT_EQ(result.mRejections[0].mRefusal.mReason, refusal_reason::TooLate);
  EXPECT_GE(result.mRejections[0].mRefusal.mRetryAfter, 4s);
  EXPECT_TRUE(Submit("tag", 30s).mRejections.empty());
}

TEST_F(a_tiered_scheduler, NeverRefusesTheFirstTierBecauseOfLowerTiers)
{
  SetSlots(1, false);
  Submit("tag");
  mNow += 10s;
  Finish("tag1");
  for (int i = 0; i < 20; ++i) {
    Submit("tag");
  }
  EXPECT_TRUE(Submit("booking", 1s).mRejections.empty());
  EXPECT_EQ(Finish("tag2").mAssignments[0].mRequest.mText, "booking22");
}

TEST_F(a_tiered_scheduler, PausesARequestForTheFirstTierAndResumesIt)
{
  SetSlots(2, true);
  Submit("question");
  Submit("tag");
  const auto result = Submit("booking", 100ms);
  ASSERT_EQ(result.mPauses.size(), 1);
  EXPECT_EQ(result.mPauses[0].mRequest.mText, "tag2");
  EXPECT_FALSE(result.mPauses[0].mResume);
  ASSERT_EQ(result.mAssignments.size(), 1);
  EXPECT_EQ(result.mAssignments[0].mRequest.mText, "booking3");
  Submit("question");
  const auto after = Finish("booking3");
  ASSERT_EQ(after.mPauses.size(), 1);
  EXPECT_EQ(after.mPauses[0].mRequest.mText, "tag2");
  EXPECT_TRUE(after.mPauses[0].mResume);
  EXPECT_TRUE(after.mAssignments.empty());
}

TEST_F(a_tiered_scheduler, PausesARequestWithEnoughSlackForTheSecondTier)
{
  SetSlots(1, true);
  Submit("tag");
  EXPECT_EQ(Submit("question", 100ms).mPauses.size(), 1);
  // A running question is not paused for another one of its tier.
  EXPECT_TRUE(Submit("question", 100ms).mPauses.empty());
}

TEST_F(a_tiered_scheduler, DoesNotPauseARequestForTheSecondTierIfItWouldBeLate)
{
  SetSlots(1, true);
  Submit("tag", 1h);
  mNow += 2h - 1s;
  EXPECT_TRUE(Submit("question", 100ms).mPauses.empty());
  EXPECT_EQ(Submit("booking", 100ms).mPauses.size(), 1);
}

TEST_F(a_tiered_scheduler, ReservesSlotsForTheFirstTierIfNothingCanBePaused)
{
  SetSlots(8, false);
  Submit("booking");
  mNow += 2s;
  Finish("booking1");
  std::size_t assigned = 0;
  for (int i = 0; i < 20; ++i) {
    assigned += Submit("tag").mAssignments.size();
  }
  EXPECT_EQ(assigned, 7);
  EXPECT_EQ(Submit("booking", 100ms).mAssignments.size(), 1);
}

TEST_F(a_tiered_scheduler, UsesReplacedHooks)
{
  scheduler_hooks hooks;
  hooks.mChooseUpstream = [](const placement_context&) { return nullptr; };
  mScheduler = MakeTieredScheduler(hooks);
  SetSlots(1, true);
  EXPECT_TRUE(Submit("question").mAssignments.empty());
}

TEST(PredictNextFreeSlot, IsZeroWhileNothingRuns)
{
  EXPECT_EQ(PredictNextFreeSlot(pool_queue(), answer_estimate()), 0s);
}

TEST(ChoosePause, PrefersSlackThenTheLowestTierThenTheSmallestWeight)
{
  const std::vector<pause_candidate> candidates{
    { { "tight" }, 3, 1, 1s },
    { { "higher" }, 2, 1, 100s },
    { { "heavy" }, 3, 8, 100s },
    { { "light" }, 3, 1, 50s },
  };
  EXPECT_EQ(ChoosePause(candidates, 5s)->mText, "light");
  EXPECT_EQ(ChoosePause({}, 5s), std::nullopt);
}

} // namespace
} // namespace sapphirespar::policy
