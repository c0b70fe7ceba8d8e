// Tests claims across restores of the store from an older copy.
#include "test_cluster_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kClaim = at_most_once_mode::Claim;
constexpr unsigned kRouters = 3;

vm_id
VmOf(unsigned aRouter)
{
  return { "vm" + std::to_string(aRouter) };
}

struct restore_cluster : test_cluster
{
  explicit restore_cluster(unsigned aRouters = kRouters)
    : test_cluster(aRouters)
    , mCount(aRouters)
  {
    mStore->mEra = 1;
    // Long enough that every process knows what happened before a restore.
    mTimers.Advance(2min);
  }

  // Runs each key at a router, and takes the claims out of the store again.
  void RunInLostSpan(const std::vector<std::string>& aKeys)
  {
    const auto copy = mStore->Copy();
    for (std::size_t i = 0; i < aKeys.size(); ++i) {
      Send(static_cast<unsigned>(i % mCount), { kClaim, aKeys[i], true });
    }
    mTimers.Advance(3s);
    for (const auto& key : aKeys) {
      ASSERT_EQ(Runs(key), 1U) << key;
    }
    mStore->Restore(copy);
  }

  // Sends each key again at all routers, and returns how many ran twice.
  unsigned RunTwice(const std::vector<std::string>& aKeys)
  {
    for (int attempt = 0; attempt < 10; ++attempt) {
      for (const auto& key : aKeys) {
        for (unsigned router = 0; router < mCount; ++router) {
          if (IsUp(router)) {
            Send(router, { kClaim, key });
          }
        }
      }
      mTimers.Advance(4s);
    }
    return static_cast<unsigned>(std::ranges::count_if(
      aKeys, [&](const auto& aKey) { return Runs(aKey) > 1; }));
  }

  const unsigned mCount;
};

std::vector<std::string>
Keys(unsigned aCount)
{
  std::vector<std::string> keys;
  for (unsigned i = 0; i < aCount; ++i) {
    keys.push_back("lot-" + std::to_string(i));
  }
  return keys;
}

TEST(Fault_StoreRestore, Claim_Commit_NoKeyOfTheLostSpanRunsTwice)
{
  restore_cluster cluster;
  const auto keys = Keys(60);
  cluster.RunInLostSpan(keys);
  EXPECT_EQ(cluster.RunTwice(keys), 0U);
}

TEST(Fault_StoreRestore, Claim_Commit_NorAfterTheOwnerRestarted)
{
  restore_cluster cluster;
  const auto keys = Keys(60);
  cluster.RunInLostSpan(keys);
  cluster.Restart(1);
  EXPECT_EQ(cluster.RunTwice(keys), 0U);
}

TEST(Fault_StoreRestore, Claim_Commit_NorAfterAllRoutersRestarted)
{
  restore_cluster cluster;
  const auto keys = Keys(60);
  cluster.RunInLostSpan(keys);
  for (unsigned router = 0; router < kRouters; ++router) {
    cluster.Restart(router);
  }
  EXPECT_EQ(cluster.RunTwice(keys), 0U);
}

TEST(Fault_StoreRestore, Claim_Commit_NorWhileTheClaimantIsCutOff)
{
  restore_cluster cluster;
  const auto keys = Keys(60);
  cluster.RunInLostSpan(keys);
  for (unsigned peer = 1; peer < kRouters; ++peer) {
    cluster.mNetwork.Block(VmOf(0), VmOf(peer));
    cluster.mNetwork.Block(VmOf(peer), VmOf(0));
  }
  cluster.MarkDead(0);
  EXPECT_EQ(cluster.RunTwice(keys), 0U);
}

// Keys that were never sent run at their first attempt soon after a restore,
// and any key does once all routers have reported their claims.
TEST(Fault_StoreRestore, Claim_Commit_NewKeysRunSoonAgain)
{
  restore_cluster cluster;
  cluster.RunInLostSpan(Keys(3));
  cluster.mTimers.Advance(9s);
  const auto first = cluster.Send(0, { kClaim, "first", true });
  cluster.mTimers.Advance(10s);
  EXPECT_TRUE(first->value().mMayDispatch);
  cluster.mTimers.Advance(10s);
  EXPECT_TRUE(cluster.SendAndWait(1, kClaim, "later").mMayDispatch);
}

// The restored store doesn't hold up claims where it lost none.
TEST(Fault_StoreRestore, Claim_Commit_AStoreNeverRestoredDelaysNoClaim)
{
  restore_cluster cluster;
  const auto pending = cluster.Send(0, { kClaim, "first" });
  cluster.mTimers.Advance(2s);
  EXPECT_TRUE(pending->value().mMayDispatch);
}

struct step
{
  unsigned mKind = 0;
  unsigned mRouter = 0;
  unsigned mArgument = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const step& aStep)
{
  return aOut << aStep.mKind << '/' << aStep.mRouter << '/' << aStep.mArgument;
}

// Applies random faults of routers, network and store to a cluster.
struct restore_simulation
{
  explicit restore_simulation(unsigned aRouters)
    : mCluster(aRouters)
  {
  }

  void ProcessStep(unsigned aRouter, unsigned aArgument)
  {
    auto& timers = mCluster.Router(aRouter).mTimers;
    switch (aArgument % 4) {
      case 0:
        mCluster.Crash(aRouter);
        break;
      case 1:
        timers.Pause();
        break;
      case 2:
        timers.Resume();
        break;
      default:
        mCluster.MarkDead(aRouter);
    }
  }

  void StoreStep(unsigned aRouter, unsigned aArgument)
  {
    auto& faults = mCluster.Router(aRouter).mPlatform.Faults();
    switch (aArgument % 3) {
      case 0:
        faults.mOutage = !faults.mOutage;
        break;
      case 1:
        ++faults.mLoseAnswers;
        break;
      default:
        faults.mDelay = std::chrono::milliseconds(40) * aArgument;
    }
  }

  void SendStep(unsigned aRouter, unsigned aArgument)
  {
    const auto key = "lot-" + std::to_string(aArgument % 4);
    const auto first = std::ranges::find(mSent, key) == mSent.end();
    mSent.push_back(key);
    mCluster.Send(aRouter, { kClaim, key, first, aArgument / 4 % 2 == 0 });
  }

  // Brings a copy back that is up to ten seconds old.
  void RestoreStep()
  {
    const auto now = mCluster.mTimers.Now();
    const auto recent = std::ranges::find_if(
      mCopies, [&](const auto& aCopy) { return now - aCopy.first <= 10s; });
    if (recent != mCopies.end()) {
      const auto copy = recent->second;
      mCluster.mStore->Restore(copy);
      mCopies.clear();
    }
  }

  void Apply(const step& aStep)
  {
    const auto router = aStep.mRouter % mCluster.mCount;
    const auto argument = aStep.mArgument;
    if (!mCluster.IsUp(router)) {
      mCluster.Restart(router);
      return;
    }
    switch (aStep.mKind) {
      case 0:
        ProcessStep(router, argument);
        break;
      case 1:
        StoreStep(router, argument);
        break;
      case 2:
        mCluster.mNetwork.Block(VmOf(router), VmOf(argument % mCluster.mCount));
        break;
      case 3:
        mCluster.mNetwork.Unblock(VmOf(router),
                                  VmOf(argument % mCluster.mCount));
        break;
      case 4:
        mCluster.Finish(router,
                        "lot-" + std::to_string(argument % 4),
                        argument % 2 == 0 ? outcome::Done : outcome::Unknown);
        break;
      case 5:
        RestoreStep();
        break;
      case 6:
        mCopies.emplace_back(mCluster.mTimers.Now(), mCluster.mStore->Copy());
        break;
      case 7:
      case 8:
        mCluster.mTimers.Advance(std::chrono::milliseconds(100) *
                                 (argument + 1));
        break;
      default:
        SendStep(router, argument);
    }
  }

  // Ends all faults without restarting the routers that are up.
  void EndFaults()
  {
    for (unsigned router = 0; router < mCluster.mCount; ++router) {
      if (!mCluster.IsUp(router)) {
        mCluster.Restart(router);
      }
      mCluster.Router(router).mTimers.Resume();
      mCluster.Router(router).mPlatform.Faults() = {};
      mCluster.MarkLive(router);
      for (unsigned peer = 0; peer < mCluster.mCount; ++peer) {
        mCluster.mNetwork.Unblock(VmOf(router), VmOf(peer));
      }
    }
    mCluster.mTimers.Advance(30s);
  }

  // Returns the outcomes that all routers tell for a key that has run.
  std::set<outcome> Outcomes(const std::string& aKey)
  {
    std::set<outcome> outcomes;
    for (unsigned router = 0; router < mCluster.mCount; ++router) {
      const auto decision = mCluster.SendAndWait(router, kClaim, aKey);
      outcomes.insert(decision.mRefusal.mOutcome);
    }
    return outcomes;
  }

  restore_cluster mCluster;
  std::vector<std::pair<steady_time, fake_store::copy>> mCopies;
  std::vector<std::string> mSent;
};

std::string
KeyOf(unsigned aNumber)
{
  return "lot-" + std::to_string(aNumber);
}

RC_GTEST_PROP(Claims, AtMostOnceAcrossRestores, ())
{
  // Small clusters more often, as they have more events at each router.
  const auto routers = *rc::gen::weightedOneOf<unsigned>(
    { { 4, rc::gen::just(kRouters) }, { 1, rc::gen::inRange(3U, 31U) } });
  const auto kind = rc::gen::inRange(0U, 14U);
  const auto router = rc::gen::inRange(0U, routers);
  const auto argument = rc::gen::inRange(0U, 25U);
  const auto steps = *rc::gen::container<std::vector<step>>(
    120, rc::gen::construct<step>(kind, router, argument));
  restore_simulation simulation(routers);
  auto& cluster = simulation.mCluster;
  const auto check = [&] {
    for (unsigned key = 0; key < 4; ++key) {
      RC_ASSERT(cluster.Runs(KeyOf(key)) <= 1U);
    }
    RC_ASSERT(cluster.FalseNotRuns() == 0U);
  };
  for (const auto& step : steps) {
    simulation.Apply(step);
    check();
  }
  simulation.EndFaults();
  check();
  // No router tells that a key has not run that has, or lets it run again.
  for (unsigned key = 0; key < 4; ++key) {
    if (cluster.Runs(KeyOf(key)) == 1) {
      RC_ASSERT(!simulation.Outcomes(KeyOf(key)).contains(outcome::NotRun));
    }
  }
  check();
  // New keys run again.
  const auto fresh = cluster.Send(0, { kClaim, "fresh", true });
  cluster.mTimers.Advance(10s);
  RC_ASSERT(fresh->value().mMayDispatch);
}

} // namespace
} // namespace sapphirespar::ledger
