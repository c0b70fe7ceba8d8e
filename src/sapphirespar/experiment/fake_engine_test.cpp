// Tests of the fake engine.
#include "sapphirespar/experiment/fake_engine.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::experiment {
namespace {

using namespace std::chrono_literals;

class an_engine : public testing::Test
{
protected:
  manual_timer_service mTimers;
  std::vector<engine_report> mReports;
  fake_engine mEngine{ mTimers,
                       { .mSlots = 2,
                         .mStep = 8ms,
                         .mStepPerRequest = 1ms,
                         .mPrefillPerToken = 0us },
                       [this](const engine_report& aReport) {
                         mReports.push_back(aReport);
                       } };
};

TEST_F(an_engine, TakesLongerForALargerBatch)
{
  mEngine.Start({ "1" }, 0, 10);
  mTimers.Advance(90ms);
  EXPECT_EQ(mReports.size(), 1);
  mEngine.Start({ "2" }, 0, 10);
  mEngine.Start({ "3" }, 0, 10);
  mTimers.Advance(100ms);
  EXPECT_EQ(mReports.size(), 2);
  mTimers.Advance(9ms);
  EXPECT_EQ(mReports.size(), 3);
}

TEST_F(an_engine, BreaksEveryStreamWhenItCrashes)
{
  mEngine.Start({ "1" }, 0, 10);
  mTimers.Advance(20ms);
  mEngine.SetCrashed(true);
  ASSERT_EQ(mReports.size(), 1);
  EXPECT_EQ(mReports[0].mOutcome, stream_outcome::Broken);
  EXPECT_EQ(mReports[0].mTokens, 2);
  EXPECT_FALSE(mEngine.Start({ "2" }, 0, 10));
  mTimers.Advance(1s);
  EXPECT_EQ(mEngine.Generated(), 2);
}

TEST_F(an_engine, GivesAPausedStreamNoTokens)
{
  mEngine.Start({ "1" }, 0, 10);
  mEngine.SetPaused({ "1" }, true);
  mTimers.Advance(1s);
  // The step that was in progress at the time of the pause still counts.
  EXPECT_EQ(mEngine.Generated(), 1);
  mEngine.SetPaused({ "1" }, false);
  mTimers.Advance(81ms);
  EXPECT_EQ(mReports.size(), 1);
}

TEST_F(an_engine, QueuesRequestsBeyondItsSlots)
{
  mEngine.Start({ "1" }, 0, 1);
  mEngine.Start({ "2" }, 0, 1);
  mEngine.Start({ "3" }, 0, 1);
  mTimers.Advance(10ms);
  EXPECT_EQ(mReports.size(), 1);
  mTimers.Advance(10ms);
  EXPECT_EQ(mReports.size(), 3);
}

} // namespace
} // namespace sapphirespar::experiment
