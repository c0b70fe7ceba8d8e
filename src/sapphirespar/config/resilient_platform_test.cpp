// Tests the rate limits, the circuit breaker and the reading back of writes.
#include "sapphirespar/config/resilient_platform.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

const object_key kKey{ "claims", "7" };

// One router with its own client of a shared store.
struct test_router
{
  test_router(timer_service& aTimers,
              const std::shared_ptr<fake_store>& aStore,
              resilient_platform_settings aSettings,
              std::size_t aFleet)
    : mInner(aTimers, aStore)
    , mPlatform(mInner,
                aTimers,
                aSettings,
                { [aFleet] { return aFleet; },
                  [this](bool aUp) { mAvailabilityChanges.push_back(aUp); },
                  [this](store_era aEra) { mEras.push_back(aEra); } })
  {
  }

  fake_platform mInner;
  std::vector<bool> mAvailabilityChanges;
  std::vector<store_era> mEras;
  resilient_platform mPlatform;
};

class resilient_platform_fixture : public testing::Test
{
protected:
  object_answer Put(std::string aValue, object_version aExpected)
  {
    std::optional<object_answer> got;
    mRouter.mPlatform.Put(
      kKey, std::move(aValue), aExpected, [&](auto aAnswer) { got = aAnswer; });
    mTimers.Advance(20s);
    return got.value();
  }

  platform_status GetStatus(steady_duration aWithin)
  {
    std::optional<platform_status> got;
    mRouter.mPlatform.Get(kKey, [&](auto aAnswer) { got = aAnswer.mStatus; });
    mTimers.Advance(aWithin);
    return got.value();
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  test_router mRouter{ mTimers, mStore, {}, 1 };
};

TEST_F(resilient_platform_fixture, ReadsBackALostAnswerAndRepeatsALostWrite)
{
  mRouter.mInner.Faults().mLoseAnswers = 1;
  const auto first = Put("one", kNoObject);
  EXPECT_EQ(first.mStatus, platform_status::Ok);
  EXPECT_EQ(first.mObject.mVersion, mStore->Find(kKey)->mVersion);
  EXPECT_EQ(mRouter.mPlatform.Counts().mWrites, 1U);
  mRouter.mInner.Faults().mLoseRequests = 1;
  EXPECT_EQ(Put("two", first.mObject.mVersion).mStatus, platform_status::Ok);
  EXPECT_EQ(mStore->Find(kKey)->mValue, "two");
  EXPECT_EQ(mRouter.mPlatform.Counts().mResolved, 1U);
}

TEST_F(resilient_platform_fixture,
       AnswersUnknownIfAnotherWriteFollowedTheLostOne)
{
  mRouter.mInner.Faults().mLoseAnswers = 1;
  std::optional<object_answer> got;
  mRouter.mPlatform.Put(
    kKey, "mine", kNoObject, [&](auto aAnswer) { got = aAnswer; });
  mTimers.Advance(1ms);
  mStore->Write(kKey, "theirs", false, mStore->Find(kKey)->mVersion);
  mTimers.Advance(10s);
  EXPECT_EQ(got->mStatus, platform_status::Unknown);
  EXPECT_EQ(mRouter.mPlatform.Counts().mUnresolved, 1U);
}

TEST_F(resilient_platform_fixture, EachHigherEraIsReportedOnce)
{
  mStore->mEra = 4;
  GetStatus(1s);
  Put("one", kNoObject);
  const auto copy = mStore->Copy();
  EXPECT_EQ(mRouter.mEras, (std::vector<store_era>{ 4 }));
  mStore->Restore(copy);
  Put("two", mStore->Find(kKey)->mVersion);
  GetStatus(1s);
  mStore->mEra = 3;
  GetStatus(1s);
  EXPECT_EQ(mRouter.mEras, (std::vector<store_era>{ 4, 5 }));
}

// The version that a lost write expects may be given out again.
TEST_F(resilient_platform_fixture, ALostWriteIsNotRepeatedAfterARestore)
{
  mStore->mEra = 1;
  const auto copy = mStore->Copy();
  const auto first = Put("one", kNoObject);
  mRouter.mInner.Faults().mLoseRequests = 1;
  std::optional<object_answer> got;
  mRouter.mPlatform.Put(
    kKey, "mine", first.mObject.mVersion, [&](auto aAnswer) { got = aAnswer; });
  mTimers.Advance(1ms);
  mStore->Restore(copy);
  const auto theirs = mStore->Write(kKey, "theirs", false, kNoObject);
  ASSERT_EQ(theirs.mObject.mVersion, first.mObject.mVersion);
  mTimers.Advance(10s);
  EXPECT_EQ(got->mStatus, platform_status::Unknown);
  EXPECT_EQ(mStore->Find(kKey)->mValue, "theirs");
}

TEST_F(resilient_platform_fixture,
       AnswersUnknownIfAnOutageOutlastsTheReadBackTimeout)
{
  mRouter.mInner.Faults().mDelay = 100ms;
  std::optional<object_answer> got;
  mRouter.mPlatform.Put(
    kKey, "mine", kNoObject, [&](auto aAnswer) { got = aAnswer; });
  mTimers.Advance(70ms);
  mRouter.mInner.Faults().mOutage = true;
  mTimers.Advance(20s);
  EXPECT_EQ(got->mStatus, platform_status::Unknown);
}

TEST_F(resilient_platform_fixture, DuringAnOutageOnlyProbesReachThePlatform)
{
  mRouter.mInner.Faults().mOutage = true;
  EXPECT_EQ(GetStatus(10ms), platform_status::Unavailable);
  EXPECT_FALSE(mRouter.mPlatform.IsUp());
  for (int i = 0; i < 600; ++i) {
    EXPECT_EQ(GetStatus(100ms), platform_status::Unavailable);
  }
  EXPECT_LE(mRouter.mInner.Calls().Total(), 30U);
  EXPECT_EQ(Put("one", kNoObject).mStatus, platform_status::Unavailable);
  mRouter.mInner.Faults().mOutage = false;
  mTimers.Advance(8s);
  EXPECT_TRUE(mRouter.mPlatform.IsUp());
  EXPECT_EQ(mRouter.mAvailabilityChanges, (std::vector{ false, true }));
  EXPECT_EQ(GetStatus(1s), platform_status::NotFound);
}

TEST_F(resilient_platform_fixture, ABrokenWatchDoesNotCountAsAnOutage)
{
  mRouter.mInner.Faults().mBreakWatches = true;
  std::optional<platform_status> got;
  mRouter.mPlatform.Watch(
    "bundle", 0, 1000ms, [&](auto aAnswer) { got = aAnswer.mStatus; });
  mTimers.Advance(2s);
  EXPECT_EQ(got, platform_status::Unavailable);
  EXPECT_TRUE(mRouter.mPlatform.IsUp());
}

// Routers that each submit ten calls a second, ten times the rate allowed.
class resilient_platform_fleet : public testing::Test
{
protected:
  static constexpr std::size_t kRouters = 100;
  static constexpr double kFleetRate = 100;

  resilient_platform_fleet()
  {
    for (std::size_t i = 0; i < kRouters; ++i) {
      resilient_platform_settings settings;
      settings.mFleetReadsPerSecond = kFleetRate;
      settings.mBurst = 1000ms;
      settings.mSeed = i + 1;
      mRouters.push_back(
        std::make_unique<test_router>(mTimers, mStore, settings, kRouters));
    }
    mCallTimer = mTimers.Every(100ms, [this] {
      for (const auto& router : mRouters) {
        router->mPlatform.Get(kKey, [](const auto&) {});
      }
    });
  }

  std::uint64_t Calls() const
  {
    std::uint64_t calls = 0;
    for (const auto& router : mRouters) {
      calls += router->mInner.Calls().Total();
    }
    return calls;
  }

  // Calls in each of the next seconds.
  std::vector<std::uint64_t> CountSeconds(unsigned aSeconds)
  {
    std::vector<std::uint64_t> counts;
    for (unsigned i = 0; i < aSeconds; ++i) {
      const auto before = Calls();
      mTimers.Advance(1s);
      counts.push_back(Calls() - before);
    }
    return counts;
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  std::vector<std::unique_ptr<test_router>> mRouters;
  timer_subscription mCallTimer;
};

TEST_F(resilient_platform_fleet, StaysWithinTheBudgetOfTheFleet)
{
  mTimers.Advance(5s);
  const auto counts = CountSeconds(20);
  EXPECT_LE(std::ranges::max(counts), kFleetRate * 1.1);
  EXPECT_GE(std::ranges::min(counts), kFleetRate * 0.8);
}

TEST_F(resilient_platform_fleet, StaysWithinTheBudgetAfterAnOutage)
{
  mTimers.Advance(5s);
  for (const auto& router : mRouters) {
    router->mInner.Faults().mOutage = true;
  }
  mTimers.Advance(60s);
  const auto during = CountSeconds(20);
  EXPECT_LE(std::ranges::max(during), kFleetRate);
  for (const auto& router : mRouters) {
    router->mInner.Faults().mOutage = false;
  }
  const auto after = CountSeconds(40);
  EXPECT_LE(std::ranges::max(after), kFleetRate * 1.1);
  EXPECT_GE(after.back(), kFleetRate * 0.8);
  EXPECT_TRUE(std::ranges::all_of(
    mRouters, [](const auto& aRouter) { return aRouter->mPlatform.IsUp(); }));
}

TEST_F(resilient_platform_fleet, SlowsDownWhileThePlatformThrottles)
{
  mTimers.Advance(5s);
  for (const auto& router : mRouters) {
    router->mInner.Faults().mThrottle = true;
  }
  mTimers.Advance(10s);
  EXPECT_LE(std::ranges::max(CountSeconds(20)), kFleetRate / 2);
}

} // namespace
} // namespace sapphirespar
