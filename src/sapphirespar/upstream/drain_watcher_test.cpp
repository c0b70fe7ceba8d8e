// Tests the delay of drain notices, with and without platform faults.
#include "sapphirespar/upstream/drain_watcher.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

// Required time from writing a drain object to its effect.
constexpr auto kNoticeTarget = 2s;

const object_key kEngine{ std::string(kDrainKind), "e0" };
const std::set<upstream_id> kDrained{ { "e0" } };

struct test_watch
{
  test_watch()
  {
    mPlatform.Faults().mDelay = 10ms;
    mWatcher.emplace(
      mPlatform, mTimers, [this](const auto& aIds) { mSeen = aIds; });
    mTimers.Advance(1s);
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_platform mPlatform{ mTimers, mStore };
  std::set<upstream_id> mSeen;
  std::optional<drain_watcher> mWatcher;
};

TEST(DrainWatcher, ReportsTheStartAndTheEndOfADrainWithinTheTarget)
{
  test_watch watch;
  const auto written = watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  EXPECT_EQ(watch.mSeen, kDrained);
  watch.mStore->Write(kEngine, "", true, written.mObject.mVersion);
  watch.mTimers.Advance(kNoticeTarget);
  EXPECT_TRUE(watch.mSeen.empty());
}

TEST(DrainWatcher, AnIdleWatchCostsFewCalls)
{
  test_watch watch;
  const auto before = watch.mPlatform.Calls().Total();
  watch.mTimers.Advance(10min);
  EXPECT_LE(watch.mPlatform.Calls().Total() - before, 25U);
}

TEST(Fault_StoreOutage, Drain_Notice_TheLastKnownSetStaysAndThenCatchesUp)
{
  test_watch watch;
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  watch.mPlatform.Faults().mOutage = true;
  watch.mTimers.Advance(10min);
  EXPECT_EQ(watch.mSeen, kDrained);
  watch.mStore->Write(
    { std::string(kDrainKind), "e1" }, "{}", false, kNoObject);
  watch.mPlatform.Faults().mOutage = false;
  watch.mTimers.Advance(10s);
  EXPECT_EQ(watch.mSeen.size(), 2U);
}

TEST(Fault_StoreRestore, Drain_Notice_AnOldRevisionHidesNoChange)
{
  test_watch watch;
  watch.mStore->mEra = 1;
  const auto copy = watch.mStore->Copy();
  const object_key other{ "claims", "shard-1" };
  auto written = watch.mStore->Write(other, "", false, kNoObject);
  for (int count = 0; count < 20; ++count) {
    written = watch.mStore->Write(other, "", false, written.mObject.mVersion);
  }
  watch.mStore->Write({ std::string(kDrainKind), "e1" }, "", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  watch.mStore->Restore(copy);
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  written = watch.mStore->Write(other, "", false, kNoObject);
  for (int count = 0; count < 40; ++count) {
    written = watch.mStore->Write(other, "", false, written.mObject.mVersion);
  }
  watch.mTimers.Advance(1min);
  EXPECT_EQ(watch.mSeen, kDrained);
}

TEST(Fault_StoreRestore, Drain_Notice_ALostDrainLastsUntilItIsWrittenAgain)
{
  test_watch watch;
  watch.mStore->mEra = 1;
  const auto copy = watch.mStore->Copy();
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  std::vector<std::set<upstream_id>> seen;
  watch.mStore->Restore(copy);
  for (int second = 0; second < 40; ++second) {
    watch.mTimers.Advance(1s);
    seen.push_back(watch.mSeen);
    if (second == 27) {
      // The router learns of the restore at the end of its watch.
      watch.mStore->Write(kEngine, "{}", false, kNoObject);
    }
  }
  EXPECT_EQ(std::ranges::count(seen, kDrained), 40);
}

TEST(Fault_StoreRestore, Drain_Notice_ALostDrainThatNobodyWritesEnds)
{
  test_watch watch;
  watch.mStore->mEra = 1;
  const auto copy = watch.mStore->Copy();
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  watch.mStore->Restore(copy);
  watch.mTimers.Advance(1min);
  EXPECT_TRUE(watch.mSeen.empty());
}

TEST(Fault_SilentInbound, Drain_Notice_ASilentWatchIsReplaced)
{
  test_watch watch;
  watch.mPlatform.Faults().mBreakWatches = true;
  watch.mTimers.Advance(30s);
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mPlatform.Faults().mBreakWatches = false;
  watch.mTimers.Advance(1min);
  EXPECT_EQ(watch.mSeen, kDrained);
}

TEST(Fault_StaleList, Drain_Notice_ACompactedWatchListsAnew)
{
  test_watch watch;
  watch.mPlatform.Faults().mOutage = true;
  watch.mTimers.Advance(1s);
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mStore->Compact();
  watch.mPlatform.Faults().mOutage = false;
  watch.mTimers.Advance(1min);
  EXPECT_EQ(watch.mSeen, kDrained);
}

TEST(Fault_TwoOperators, Drain_Notice_TheLastOfTwoOperatorsIsInForceEverywhere)
{
  test_watch watch;
  std::set<upstream_id> seenElsewhere;
  fake_platform elsewhere(watch.mTimers, watch.mStore);
  const drain_watcher other(
    elsewhere, watch.mTimers, [&](const auto& aIds) { seenElsewhere = aIds; });
  object_version version = kNoObject;
  for (int round = 0; round < 5; ++round) {
    version =
      watch.mStore->Write(kEngine, "{}", false, version).mObject.mVersion;
    watch.mTimers.Advance(7ms);
    watch.mStore->Write(kEngine, "", true, version);
    watch.mTimers.Advance(7ms);
    version = kNoObject;
  }
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  EXPECT_EQ(watch.mSeen, kDrained);
  EXPECT_EQ(seenElsewhere, kDrained);
}

TEST(Fault_CrashAfter, Drain_Notice_ARestartedRouterLearnsIt)
{
  test_watch watch;
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mWatcher.reset();
  watch.mSeen.clear();
  watch.mWatcher.emplace(watch.mPlatform, watch.mTimers, [&](const auto& aIds) {
    watch.mSeen = aIds;
  });
  watch.mTimers.Advance(kNoticeTarget);
  EXPECT_EQ(watch.mSeen, kDrained);
}

TEST(Fault_Slow, Drain_Notice_ASlowStoreIsStillInTime)
{
  test_watch watch;
  watch.mPlatform.Faults().mDelay = 1s;
  watch.mTimers.Advance(1min);
  watch.mStore->Write(kEngine, "{}", false, kNoObject);
  watch.mTimers.Advance(kNoticeTarget);
  EXPECT_EQ(watch.mSeen, kDrained);
}

} // namespace
} // namespace sapphirespar::upstream
