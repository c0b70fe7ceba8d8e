// Tests bundles across restores of the store from an older copy.
#include "bundle_cluster_test.hpp"

#include "sapphirespar/config/signed_bundle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

void
StartWith(bundle_cluster& aCluster)
{
  aCluster.mStore->mEra = 1;
  aCluster.Accept(1);
  ASSERT_TRUE(aCluster.AdvanceUntilAllCurrent(20s));
  ASSERT_EQ(aCluster.Current().mNumber, 1U);
}

void
AcceptEverywhere(bundle_cluster& aCluster, std::uint64_t aNumber)
{
  aCluster.Accept(aNumber);
  aCluster.Advance(1s);
  ASSERT_TRUE(aCluster.AdvanceUntilAllCurrent(20s));
  ASSERT_EQ(aCluster.Current().mNumber, aNumber);
}

// Raises the store's version by writes of another kind.
void
WriteOthers(fake_store& aStore, unsigned aWrites)
{
  const object_key key{ "claims", "shard-1" };
  for (unsigned i = 0; i < aWrites; ++i) {
    const auto* object = aStore.Find(key);
    aStore.Write(
      key, std::to_string(i), false, object ? object->mVersion : kNoObject);
  }
}

TEST(Fault_StoreRestore, Bundle_Learn_AnOldRevisionHidesNoChange)
{
  // Both routers are watchers.
  bundle_cluster cluster(2, 1);
  StartWith(cluster);
  const auto copy = cluster.mStore->Copy();
  WriteOthers(*cluster.mStore, 20);
  AcceptEverywhere(cluster, 2);
  cluster.mStore->Restore(copy);
  // Both changes get lower revisions than the one from which the routers watch.
  cluster.Accept(2);
  cluster.Advance(1s);
  cluster.Accept(3);
  cluster.Advance(1s);
  WriteOthers(*cluster.mStore, 40);
  ASSERT_EQ(cluster.Current().mNumber, 3U);
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(40s));
}

TEST(Fault_StoreRestore, Bundle_Accept_TheBundleInForceIsWrittenBack)
{
  for (const std::size_t limit : { 100U, 32U * 1024 }) {
    bundle_cluster cluster(6, 2);
    cluster.mAcceptance.mInlineLimitBytes = limit;
    StartWith(cluster);
    const auto copy = cluster.mStore->Copy();
    AcceptEverywhere(cluster, 2);
    AcceptEverywhere(cluster, 3);
    AcceptEverywhere(cluster, 4);
    cluster.mStore->Restore(copy);
    cluster.Advance(40s);
    EXPECT_EQ(cluster.Current().mNumber, 4U);
    EXPECT_TRUE(cluster.AllCurrent());
    // The operator goes on from the version that was lost.
    AcceptEverywhere(cluster, 5);
  }
}

// A router that starts without peers finds the bundle that was lost.
TEST(Fault_StoreRestore, Bundle_Learn_ARouterThatStartsLaterGetsTheLostBundle)
{
  bundle_cluster cluster(3, 1);
  StartWith(cluster);
  const auto copy = cluster.mStore->Copy();
  AcceptEverywhere(cluster, 2);
  cluster.mStore->Restore(copy);
  cluster.Advance(40s);
  for (const auto& other : cluster.mRouters) {
    cluster.mNetwork.Block(other.mVm, cluster.mRouters[0].mVm);
  }
  cluster.Restart(0);
  cluster.Advance(5s);
  EXPECT_EQ(cluster.mRouters[0].mInForce,
            (std::vector{ bundle_version{ 1, 2 } }));
}

void
ApplyRandomEvent(bundle_cluster& aCluster,
                 std::vector<fake_store::copy>& aCopies)
{
  const auto count = static_cast<int>(aCluster.mRouters.size());
  const auto router = [&] {
    return static_cast<std::size_t>(*rc::gen::inRange(0, count));
  };
  auto& faults = aCluster.mRouters[router()].mPlatform->Faults();
  switch (*rc::gen::inRange(0, 9)) {
    case 0:
    case 1:
      aCluster.Accept(aCluster.Current().mNumber + 1,
                      *rc::gen::inRange(1U, 3U));
      break;
    case 2:
      aCopies.push_back(aCluster.mStore->Copy());
      break;
    case 3:
      if (!aCopies.empty()) {
        // Older copies than the last ones are not brought back any more.
        aCluster.mStore->Restore(aCopies.back());
      }
      break;
    case 4:
      faults.mOutage = !faults.mOutage;
      break;
    case 5:
      aCluster.mNetwork.Block(aCluster.mRouters[router()].mVm,
                              aCluster.mRouters[router()].mVm);
      break;
    case 6:
      aCluster.Restart(router());
      break;
    case 7:
      faults.mBreakWatches = !faults.mBreakWatches;
      break;
    default:
      WriteOthers(*aCluster.mStore, *rc::gen::inRange(1U, 5U));
      break;
  }
}

TEST(BundleProperty, NoRouterRevertsAcrossRestoresAndAllConverge)
{
  EXPECT_TRUE(rc::check([] {
    bundle_cluster cluster(5, 2);
    cluster.mStore->mEra = 1;
    cluster.mAcceptance.mInlineLimitBytes = *rc::gen::element(1U, 100000U);
    std::vector<fake_store::copy> copies;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      ApplyRandomEvent(cluster, copies);
      cluster.Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 5000)));
      for (const auto& router : cluster.mRouters) {
        RC_ASSERT(std::ranges::adjacent_find(router.mInForce,
                                             std::ranges::greater_equal()) ==
                  router.mInForce.end());
      }
    }
    cluster.EndFaults();
    // Longer than any poll, so that the newest version in force is written
    // back.
    cluster.Advance(120s);
    bundle_version newest;
    for (const auto& router : cluster.mRouters) {
      if (router.mBoard.mBundle) {
        newest = std::max(newest, router.mBoard.mBundle->mVersion);
      }
    }
    RC_ASSERT((cluster.Current() == newest));
    cluster.Accept(cluster.Current().mNumber + 1);
    cluster.Advance(100ms);
    RC_ASSERT(cluster.AdvanceUntilAllCurrent(120s).has_value());
    const auto bytes = [](const cluster_router& aRouter) {
      return aRouter.mBoard.mBundle->mClasses[0].mQueueLimit;
    };
    for (const auto& router : cluster.mRouters) {
      RC_ASSERT(bytes(router) == bytes(cluster.mRouters[0]));
    }
  }));
}

} // namespace
} // namespace sapphirespar
