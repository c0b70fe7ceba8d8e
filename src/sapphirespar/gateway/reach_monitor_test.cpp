// Tests of the belief whether a gateway has lost its path to all upstreams.
#include "sapphirespar/gateway/reach_monitor.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class reach_monitor_test : public testing::Test
{
protected:
  reach_monitor_test()
  {
    for (const auto* id : { "a", "b", "c", "d" }) {
      auto known = std::make_shared<upstream>();
      known->mEntry.mId = { id };
      known->mEntry.mPool = std::string(id) < "c" ? "one" : "two";
      mUpstreams.push_back(std::move(known));
    }
  }

  // Connections take this long and reach all upstreams that are not in mDown.
  void Connect(const upstream_entry& aEntry, std::function<void(bool)> aDone)
  {
    ++mProbes;
    mPools.insert(aEntry.mPool);
    const bool reached = !mCut && !mDown.contains(aEntry.mId.mText);
    mPending.push_back(mTimers.After(
      mLatency, [reached, done = std::move(aDone)] { done(reached); }));
  }

  std::vector<upstream_ptr> Shuffled()
  {
    std::rotate(mUpstreams.begin(), mUpstreams.begin() + 1, mUpstreams.end());
    return mUpstreams;
  }

  manual_timer_service mTimers;
  metrics mMetrics;
  std::vector<upstream_ptr> mUpstreams;
  std::vector<timer_subscription> mPending;
  std::set<std::string> mDown;
  std::set<std::string> mPools;
  bool mCut = false;
  std::chrono::milliseconds mLatency{ 1 };
  unsigned mProbes = 0;
  unsigned mChanges = 0;
  reach_monitor mReach{ mTimers,
                        mMetrics,
                        { [this](const upstream_entry& aEntry,
                                 std::function<void(bool)> aDone) {
                           Connect(aEntry, std::move(aDone));
                         },
                          [this] { return Shuffled(); },
                          [this] { ++mChanges; } } };
};

TEST_F(reach_monitor_test, AnIdleGatewayProbesNothing)
{
  mTimers.Advance(60s);
  EXPECT_EQ(mProbes, 0U);
  EXPECT_FALSE(mReach.IsCutOff());
}

TEST_F(reach_monitor_test, ARefusedConnectionIsFollowedByTheTruthAtOnce)
{
  mTimers.Advance(1s);
  mCut = true;
  mReach.Suspect();
  EXPECT_TRUE(mReach.IsProbing());
  mTimers.Advance(10ms);
  EXPECT_TRUE(mReach.IsCutOff());
  EXPECT_FALSE(mReach.IsProbing());
  EXPECT_EQ(mChanges, 1U);
  EXPECT_EQ(mPools.size(), 2U);
}

TEST_F(reach_monitor_test, ConnectionsThatHangAreNoticedWithinASecond)
{
  mTimers.Advance(1s);
  mCut = true;
  mLatency = 400ms;
  mReach.Suspect();
  mTimers.Advance(1s);
  EXPECT_TRUE(mReach.IsCutOff());
}

TEST_F(reach_monitor_test, OneUpstreamThatIsDownIsNoCut)
{
  mDown = { "a" };
  for (int count = 0; count < 20; ++count) {
    mTimers.Advance(500ms);
    mReach.Suspect();
  }
  EXPECT_FALSE(mReach.IsCutOff());
  EXPECT_EQ(mChanges, 0U);
}

TEST_F(reach_monitor_test, ACommonSilenceOfWaitingRequestsIsLookedInto)
{
  mReach.BeginWait();
  mTimers.Advance(600ms);
  EXPECT_EQ(mProbes, 0U);
  mCut = true;
  mTimers.Advance(2s);
  EXPECT_TRUE(mReach.IsCutOff());
  mReach.EndWait();
}

TEST_F(reach_monitor_test, SignsOfUpstreamsRaiseNoQuestion)
{
  mReach.BeginWait();
  for (int count = 0; count < 100; ++count) {
    mTimers.Advance(100ms);
    mReach.OnSign();
  }
  EXPECT_EQ(mProbes, 0U);
  // A short silence of all of them costs a round a second.
  mTimers.Advance(3s);
  EXPECT_LE(mProbes, 8U);
  EXPECT_FALSE(mReach.IsCutOff());
  mReach.EndWait();
}

TEST_F(reach_monitor_test, APathThatIsBackIsNoticed)
{
  mTimers.Advance(1s);
  mCut = true;
  mReach.Suspect();
  mTimers.Advance(5s);
  ASSERT_TRUE(mReach.IsCutOff());
  // Few connections while the cut lasts.
  EXPECT_LE(mProbes, 30U);
  mCut = false;
  mTimers.Advance(600ms);
  EXPECT_FALSE(mReach.IsCutOff());
  EXPECT_EQ(mChanges, 2U);
}

} // namespace
} // namespace sapphirespar::gateway
