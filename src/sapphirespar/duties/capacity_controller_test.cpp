// Tests the orders to a platform that answers late, refuses, or carries orders
// out after newer ones.
#include "sapphirespar/duties/capacity_controller.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace sapphirespar::duties {
namespace {

using namespace std::chrono_literals;

constexpr auto kStart = 4s;

// Starts what was ordered after kStart, and checks tokens when it carries an
// order out.
class fake_cloud
{
public:
  explicit fake_cloud(timer_service& aTimers)
    : mTimers(aTimers)
  {
  }

  using subject = std::pair<data_centre_id, bool>;

  void Order(const capacity_order& aOrder,
             fencing_token aToken,
             const duty_callback& aDone)
  {
    ++mCalls;
    if (mThrottles) {
      aDone(duty_reply::Throttled);
      return;
    }
    const subject key{ aOrder.mDataCentre, aOrder.mPreemptible };
    if (mLosesAnswers) {
      mLate.push_back(
        mTimers.After(8s, [this, aOrder, aToken] { Apply(aOrder, aToken); }));
      aDone(duty_reply::Unknown);
      return;
    }
    const bool none = aOrder.mPreemptible && mDry;
    aDone(none || !Apply(aOrder, aToken) ? duty_reply::Refused
                                         : duty_reply::Done);
  }

  bool Apply(const capacity_order& aOrder, fencing_token aToken)
  {
    auto& highest = mHighest[aOrder.mDataCentre];
    if (aToken < highest) {
      ++mRefused;
      return false;
    }
    highest = aToken;
    if (aOrder.mPreemptible && mGivesNothing) {
      return true;
    }
    const subject key{ aOrder.mDataCentre, aOrder.mPreemptible };
    if (aOrder.mUpstreams < mRunning[key]) {
      mRunning[key] = aOrder.mUpstreams;
    } else {
      mStarting.push_back(
        mTimers.After(kStart, [this, key, count = aOrder.mUpstreams] {
          mRunning[key] = std::max(mRunning[key], count);
        }));
    }
    return true;
  }

  unsigned Total(bool aPreemptible) const
  {
    unsigned sum = 0;
    for (const auto& [key, count] : mRunning) {
      sum += key.second == aPreemptible ? count : 0;
    }
    return sum;
  }

  timer_service& mTimers;
  std::map<subject, unsigned> mRunning;
  std::map<data_centre_id, fencing_token> mHighest;
  std::vector<timer_subscription> mStarting;
  std::vector<timer_subscription> mLate;
  unsigned mCalls = 0;
  unsigned mRefused = 0;
  bool mDry = false;
  // Orders of preemptible upstreams are accepted without effect.
  bool mGivesNothing = false;
  bool mThrottles = false;
  bool mLosesAnswers = false;
};

class capacity_controller_test : public testing::Test
{
protected:
  capacity_controller_test()
  {
    for (const auto* name : { "a", "b", "c" }) {
      mCloud.mRunning[{ { name }, false }] = 20;
    }
    mLease.Start();
    mController.Start();
  }

  boot_time Now() const
  {
    return boot_time(std::chrono::duration_cast<boot_clock::duration>(
      mTimers.Now().time_since_epoch()));
  }

  std::vector<ordered_pool> Pools() const
  {
    capacity_bounds bounds;
    bounds.mMinimum = 1;
    bounds.mMaximum = 40;
    bounds.mStartTime = kStart;
    bounds.mPreemptiblePrice = 0.22;
    ordered_pool pool{ "pool", bounds, {}, mNeeded, mRefused };
    for (const auto* name : { "a", "b", "c" }) {
      const data_centre_id id{ name };
      const auto count = [&](bool aPreemptible) {
        const auto found = mCloud.mRunning.find({ id, aPreemptible });
        return found == mCloud.mRunning.end() ? 0 : found->second;
      };
      pool.mZones.push_back({ id, 1.0, count(false), count(true) });
    }
    return { pool };
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mPlatform{ mTimers, mStore };
  metrics mMetrics;
  fake_cloud mCloud{ mTimers };
  std::optional<double> mNeeded = 10;
  double mRefused = 0;
  bool mIsOn = true;
  duty_lease mLease{ mPlatform,
                     mTimers,
                     { { { "vm" }, 1 }, 3000ms, true },
                     { [this] { return Now(); },
                       [] { return true; },
                       [] { return fencing_token{ 0 }; },
                       [this] { mController.OnHolderChanged(); } } };
  capacity_controller mController{
    mTimers,
    mMetrics,
    mLease,
    { 50 },
    { [this] { return Pools(); },
      [this] { return mIsOn; },
      [this](const auto& aOrder, auto aToken, const auto& aDone) {
        mCloud.Order(aOrder, aToken, aDone);
      } }
  };
};

TEST_F(capacity_controller_test, CheaperUpstreamsReplaceTheFirstOnes)
{
  mTimers.Advance(15s);
  EXPECT_EQ(mCloud.Total(true), 60U);
  EXPECT_EQ(mCloud.Total(false), 0U);
  const auto calls = mCloud.mCalls;
  mTimers.Advance(5s);
  EXPECT_EQ(mCloud.mCalls, calls);
}

TEST_F(capacity_controller_test, NeverFewerThanNeededWhileTheyAreReplaced)
{
  for (int step = 0; step < 80; ++step) {
    mTimers.Advance(250ms);
    EXPECT_GE(mCloud.Total(true) + mCloud.Total(false), 40U);
  }
}

// After a restart and an outage of the store, upstreams that were only silent
// come back to the list one by one. They must not be taken for all there are.
TEST_F(capacity_controller_test,
       Fault_StaleList_Duty_Order_AFillingListIsNoPlan)
{
  mNeeded = 40;
  const auto all = mCloud.mRunning;
  mCloud.mRunning.clear();
  for (unsigned listed = 1; listed <= 20; ++listed) {
    for (const auto& [key, count] : all) {
      mCloud.mRunning[key] = listed;
    }
    mTimers.Advance(100ms);
    EXPECT_EQ(mCloud.mCalls, 0U);
  }
  for (int step = 0; step < 100; ++step) {
    mTimers.Advance(250ms);
    EXPECT_GE(mCloud.Total(true) + mCloud.Total(false), 40U);
  }
}

TEST_F(capacity_controller_test, DemandThatDoublesIsFollowedWithinTheStartTime)
{
  mTimers.Advance(40s);
  mNeeded = 30;
  mTimers.Advance(kStart + 1s);
  EXPECT_GE(mCloud.Total(true), 45U);
}

// Only what runs was counted: while callers were refused, too few upstreams
// were ordered for them. Once those have started, what they run counts instead.
TEST_F(capacity_controller_test, RefusedRequestsAreOrderedFor)
{
  mTimers.Advance(40s);
  const auto before = mCloud.Total(true);
  mRefused = 20;
  mTimers.Advance(kStart + 1s);
  EXPECT_GE(mCloud.Total(true) + mCloud.Total(false), 30U);
  mRefused = 0;
  mTimers.Advance(15s);
  EXPECT_EQ(mCloud.Total(true) + mCloud.Total(false), before);
}

TEST_F(capacity_controller_test, ADataCentreThatIsTakenAwayIsReplaced)
{
  mNeeded = 40;
  mTimers.Advance(15s);
  mCloud.mRunning[{ { "b" }, true }] = 0;
  mTimers.Advance(kStart + 8s);
  EXPECT_EQ(mCloud.Total(true), 60U);
}

// What the platform takes away had been ordered long ago or just now.
TEST_F(capacity_controller_test, WhatIsTakenAwayIsReplacedAtOnce)
{
  mNeeded = 40;
  for (const auto settled : { 15s, 1s }) {
    mTimers.Advance(settled);
    mCloud.mRunning[{ { "b" }, true }] = 0;
    mTimers.Advance(kStart + 2s);
    EXPECT_EQ(mCloud.Total(true), 60U);
  }
}

TEST_F(capacity_controller_test, RegularOnesComeWhereThereAreNoOthers)
{
  mNeeded = 40;
  mTimers.Advance(15s);
  mCloud.mDry = true;
  mCloud.mRunning[{ { "b" }, true }] = 0;
  mCloud.mRunning[{ { "c" }, true }] = 0;
  mTimers.Advance(20s);
  EXPECT_EQ(mCloud.Total(true), 20U);
  EXPECT_GE(mCloud.Total(false), 20U);
  mCloud.mDry = false;
  mTimers.Advance(30s);
  EXPECT_EQ(mCloud.Total(true), 60U);
  EXPECT_EQ(mCloud.Total(false), 0U);
}

// The platform accepts the orders that replace them and carries none out.
TEST_F(capacity_controller_test, RegularOnesComeWhereAcceptedOrdersBringNothing)
{
  mNeeded = 40;
  mTimers.Advance(15s);
  mCloud.mGivesNothing = true;
  mCloud.mRunning[{ { "b" }, true }] = 0;
  mCloud.mRunning[{ { "c" }, true }] = 0;
  mTimers.Advance(25s);
  EXPECT_GE(mCloud.Total(true) + mCloud.Total(false), 40U);
}

// While the platform is asked again and again, the replacements stay.
TEST_F(capacity_controller_test, ReplacementsStayUntilOthersHaveStarted)
{
  mNeeded = 60;
  mTimers.Advance(20s);
  mCloud.mDry = true;
  mCloud.mRunning[{ { "b" }, true }] = 0;
  mCloud.mRunning[{ { "c" }, true }] = 0;
  mTimers.Advance(10s);
  for (int step = 0; step < 240; ++step) {
    mCloud.mDry = step < 80;
    mTimers.Advance(250ms);
    EXPECT_GE(mCloud.Total(true) + mCloud.Total(false), 60U) << step;
  }
  EXPECT_EQ(mCloud.Total(true), 90U);
  EXPECT_EQ(mCloud.Total(false), 0U);
}

// What callers lacked, and what ran, over a time.
struct provision
{
  // Engines times seconds: demanded, lacking, and running at their prices.
  double mDemand = 0;
  double mLacking = 0;
  double mPrice = 0;
};

// Demand doubles within three seconds and falls by half, and all preemptible
// upstreams of a data centre go at once. Before a fixed number of regular ones,
// and an oracle that has what is demanded, at the lower price, at each moment.
TEST_F(capacity_controller_test, ChangingDemandIsServedAtAPartOfThePrice)
{
  constexpr double kStepSeconds = 0.25;
  constexpr unsigned kFixed = 60;
  // What is needed fills this share of the slots; callers wait beyond all.
  constexpr double kSlotUse = 0.8;
  mNeeded = 18;
  mTimers.Advance(20s);
  provision ours;
  double oraclePrice = 0;
  for (double time = 0; time < 120; time += kStepSeconds) {
    const double phase = std::fmod(time, 40);
    const double rise = std::clamp((phase - 10) / 3, 0.0, 1.0);
    const double fall = std::clamp((phase - 25) / 3, 0.0, 1.0);
    mNeeded = 18 * (1 + rise - fall);
    if (time == 55) {
      mCloud.mRunning[{ { "b" }, true }] = 0;
    }
    mTimers.Advance(250ms);
    const double running = mCloud.Total(true) + mCloud.Total(false);
    ours.mDemand += kStepSeconds * *mNeeded;
    ours.mLacking +=
      kStepSeconds * std::max(kSlotUse * *mNeeded - running, 0.0);
    ours.mPrice +=
      kStepSeconds * (mCloud.Total(false) + 0.22 * mCloud.Total(true));
    oraclePrice += kStepSeconds * 0.22 * *mNeeded;
  }
  EXPECT_LT(ours.mLacking, 0.01 * ours.mDemand);
  EXPECT_LT(ours.mPrice, 0.35 * kFixed * 120);
  // Half as much again is the reserve for the loss of a data centre; the rest
  // is kept for bursts that come back.
  EXPECT_LT(ours.mPrice, 3 * oraclePrice);
}

// Orders that got no answer are carried out after newer ones.
TEST_F(capacity_controller_test, Fault_AnswerLost_Duty_Order_LateOrdersAreVoid)
{
  mTimers.Advance(15s);
  mCloud.mLosesAnswers = true;
  mNeeded = 70;
  mTimers.Advance(3s);
  mCloud.mLosesAnswers = false;
  mTimers.Advance(30s);
  EXPECT_GT(mCloud.mRefused, 0U);
  EXPECT_EQ(mCloud.Total(true), 105U);
}

TEST_F(capacity_controller_test, AThrottledPlatformGetsFewCalls)
{
  mCloud.mThrottles = true;
  mTimers.Advance(60s);
  EXPECT_LE(mCloud.mCalls, 60U);
}

TEST_F(capacity_controller_test, NothingIsOrderedWhileDemandIsUnknownOrItIsOff)
{
  mNeeded.reset();
  mTimers.Advance(20s);
  EXPECT_EQ(mCloud.mCalls, 0U);
  mNeeded = 10;
  mIsOn = false;
  mTimers.Advance(20s);
  EXPECT_EQ(mCloud.mCalls, 0U);
}

} // namespace
} // namespace sapphirespar::duties
