// Tests ejection, probes, speed comparison, load reports and leaving.
#include "sapphirespar/upstream/health_tracker.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

const attempt_result kFailure{ attempt_end::Failed, 0ms, 0 };
const attempt_result kAnswer{ attempt_end::Answered, 100ms, 50 };
const attempt_result kSlowAnswer{ attempt_end::Answered, 900ms, 5 };

// Engines of one pool, identified by numbers. Those in mAlive answer probes.
struct test_pool
{
  explicit test_pool(unsigned aSize)
  {
    for (unsigned i = 0; i < aSize; ++i) {
      upstream_spec spec;
      spec.mId = Id(i);
      spec.mModels = { { "tiny" } };
      mBundle.mUpstreams.push_back(spec);
      mAlive.insert(Id(i));
    }
    health_hooks hooks;
    hooks.mProbe = [this](const auto& aSpec, const auto& aDone) {
      ++mProbes;
      aDone(mAlive.contains(aSpec.mId) ? std::optional<load_report>(mReport)
                                       : std::nullopt);
    };
    hooks.mFetchLoad = [this](const auto&, const auto& aDone) {
      aDone(mReport);
    };
    hooks.mOnModelsChange = [this](const auto&) { ++mModelChanges; };
    hooks.mIsOwner = [](const auto& aSpec) { return aSpec.mId == Id(0); };
    mTracker.emplace(mBoard, mTimers, hooks);
    Publish();
  }

  static upstream_id Id(unsigned aNumber)
  {
    return { "e" + std::to_string(aNumber) };
  }

  void Publish()
  {
    mBoard.mBundle = std::make_shared<const bundle>(mBundle);
    mTracker->OnBundle();
  }

  void Observe(unsigned aNumber, const attempt_result& aResult, unsigned aTimes)
  {
    for (unsigned i = 0; i < aTimes; ++i) {
      mTracker->Observe(Id(aNumber), aResult);
    }
  }

  upstream_state State(unsigned aNumber)
  {
    return mBoard.mUpstreams.at(Id(aNumber)).mState;
  }

  bundle mBundle;
  manual_timer_service mTimers;
  blackboard mBoard;
  std::set<upstream_id> mAlive;
  load_report mReport{ 3, 1, 8, std::vector<model_id>{ { "tiny" } }, 0 };
  unsigned mProbes = 0;
  unsigned mModelChanges = 0;
  std::optional<health_tracker> mTracker;
};

TEST(HealthTracker, ProbesAfterConsecutiveFailuresAndEjectsIfTheProbeFails)
{
  test_pool pool(4);
  pool.mAlive.erase(test_pool::Id(0));
  pool.Observe(0, kFailure, 2);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
  pool.Observe(0, kFailure, 1);
  EXPECT_EQ(pool.mProbes, 1U);
  EXPECT_EQ(pool.State(0), upstream_state::Ejected);
}

TEST(HealthTracker, AnAnswerResetsTheFailureCount)
{
  test_pool pool(4);
  pool.Observe(0, kFailure, 2);
  pool.Observe(0, kAnswer, 1);
  pool.Observe(0, kFailure, 2);
  EXPECT_EQ(pool.mProbes, 0U);
}

TEST(HealthTracker, EjectsAnUpstreamThatFailsAgainAfterASuccessfulProbe)
{
  test_pool pool(4);
  pool.Observe(0, kFailure, 3);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
  pool.Observe(0, kFailure, 3);
  EXPECT_EQ(pool.State(0), upstream_state::Ejected);
}

TEST(HealthTracker, BackoffGrowsUpToItsMaximum)
{
  test_pool pool(4);
  pool.mAlive.erase(test_pool::Id(0));
  pool.Observe(0, kFailure, 3);
  pool.mTimers.Advance(1h);
  const auto first = pool.mProbes;
  pool.mTimers.Advance(1h);
  // The maximum backoff gives one probe a minute, each up to one tick late.
  EXPECT_LE(pool.mProbes - first, 60U);
  EXPECT_GE(pool.mProbes - first, 58U);
  pool.mAlive.insert(test_pool::Id(0));
  pool.mTimers.Advance(61s);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
}

TEST(HealthTracker, ASlowUpstreamIsMarkedAndRecovers)
{
  test_pool pool(4);
  const auto observeAll = [&](const attempt_result& aFirst) {
    pool.Observe(0, aFirst, 30);
    for (unsigned i = 1; i < 4; ++i) {
      pool.Observe(i, kAnswer, 30);
    }
    pool.mTimers.Advance(1s);
  };
  observeAll(kSlowAnswer);
  EXPECT_EQ(pool.State(0), upstream_state::Slow);
  EXPECT_LT(pool.mBoard.mUpstreams.at(test_pool::Id(0)).mRelativeSpeed, 0.5);
  observeAll(kAnswer);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
}

TEST(HealthTracker, OldSpeedsAreIgnored)
{
  test_pool pool(4);
  for (unsigned i = 0; i < 4; ++i) {
    pool.Observe(i, i == 0 ? kSlowAnswer : kAnswer, 30);
  }
  pool.mTimers.Advance(1s);
  EXPECT_EQ(pool.State(0), upstream_state::Slow);
  pool.mTimers.Advance(1min);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
}

TEST(HealthTracker, OnlyTheOwnerFetchesLoadReports)
{
  test_pool pool(2);
  EXPECT_EQ(pool.mBoard.mUpstreams[test_pool::Id(0)].mLoaded, std::nullopt);
  pool.mTimers.Advance(1s);
  const auto& owned = pool.mBoard.mUpstreams.at(test_pool::Id(0));
  EXPECT_EQ(owned.mReportedRunning, 3U);
  EXPECT_EQ(owned.mReportedAt, pool.mTimers.Now());
  EXPECT_EQ(owned.mLoaded, pool.mReport.mModels);
  EXPECT_EQ(pool.mBoard.mUpstreams.at(test_pool::Id(1)).mReportedRunning, 0U);
}

TEST(HealthTracker, RemovesAnUpstreamThatLeftTheBundle)
{
  test_pool pool(2);
  pool.mBundle.mUpstreams.pop_back();
  pool.Publish();
  EXPECT_EQ(pool.mBoard.mUpstreams.size(), 1U);
  pool.Observe(1, kFailure, 5);
  EXPECT_EQ(pool.mBoard.mUpstreams.size(), 1U);
}

TEST(Fault_CrashAfter, Drain_Upstream_ALeavingOneIsNeverProbedBackIn)
{
  test_pool pool(4);
  pool.mAlive.erase(test_pool::Id(0));
  pool.Observe(0, kFailure, 3);
  pool.mTracker->SetDrained({ test_pool::Id(0) });
  pool.mAlive.insert(test_pool::Id(0));
  pool.mTimers.Advance(1h);
  EXPECT_EQ(pool.State(0), upstream_state::Leaving);
  pool.mTracker->SetDrained({});
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
}

TEST(Fault_CrashBefore, Drain_Upstream_ABundlesNoticeTakesEffectAtOnce)
{
  test_pool pool(2);
  pool.mBundle.mUpstreams[1].mLeaving = true;
  pool.Publish();
  EXPECT_EQ(pool.State(1), upstream_state::Leaving);
  pool.Observe(1, kAnswer, 50);
  EXPECT_EQ(pool.State(1), upstream_state::Leaving);
}

TEST(Fault_SilentOutbound, Request_Dispatch_AFreshProbeClearsTheUpstream)
{
  test_pool pool(4);
  // Requests over the existing connections time out, but the engine answers a
  // probe over a new one.
  const attempt_result timeout{ attempt_end::TimedOut, 0ms, 0 };
  pool.Observe(0, timeout, 3);
  EXPECT_EQ(pool.mProbes, 1U);
  EXPECT_EQ(pool.State(0), upstream_state::Healthy);
}

RC_GTEST_PROP(Fault_Partition, Request_Dispatch_HalfOfAPoolAlwaysStaysInUse, ())
{
  const auto size = *rc::gen::inRange(1U, 12U);
  test_pool pool(size);
  pool.mAlive.clear();
  const auto steps =
    *rc::gen::container<std::vector<unsigned>>(200, rc::gen::inRange(0U, size));
  for (const auto number : steps) {
    pool.Observe(number, kFailure, 1);
    pool.mTimers.Advance(100ms);
    const auto out =
      std::ranges::count_if(pool.mBoard.mUpstreams, [](const auto& aItem) {
        return aItem.second.mState != upstream_state::Healthy;
      });
    RC_ASSERT(2 * static_cast<unsigned>(out) <= size);
  }
}

TEST(HealthTracker, ReportsEachChangeOfTheLoadedModels)
{
  test_pool pool(2);
  pool.mTimers.Advance(5s);
  EXPECT_EQ(pool.mModelChanges, 1U);
  pool.mReport.mModels->clear();
  pool.mTimers.Advance(5s);
  EXPECT_EQ(pool.mModelChanges, 2U);
  const auto& loaded = pool.mBoard.mUpstreams.at(test_pool::Id(0)).mLoaded;
  ASSERT_TRUE(loaded);
  EXPECT_TRUE(loaded->empty());
}

TEST(LoadReport, DistinguishesAnEmptyListOfModelsFromAMissingOne)
{
  const auto empty = ReadLoadReport(R"({"slots":8,"models":[]})");
  ASSERT_TRUE(empty->mModels);
  EXPECT_TRUE(empty->mModels->empty());
  EXPECT_FALSE(ReadLoadReport(R"({"slots":8})")->mModels);
}

RC_GTEST_PROP(LoadReport, AnyBodyIsReadOrRefused, (const std::string& aText))
{
  ReadLoadReport(aText);
  auto body = std::string(
    R"({"running":1,"queued":2,"slots":8,"models":["tiny"],"fence":4})");
  RC_ASSERT(ReadLoadReport(body)->mQueued == 2U);
  const auto place = *rc::gen::inRange<std::size_t>(0, body.size());
  body.replace(place, 1, aText);
  ReadLoadReport(body);
}

} // namespace
} // namespace sapphirespar::upstream
