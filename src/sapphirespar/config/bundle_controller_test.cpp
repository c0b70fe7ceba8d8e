// Tests how a bundle spreads under faults, and the property that no router
// returns to an older version.
#include "bundle_cluster_test.hpp"

#include "sapphirespar/config/signed_bundle.hpp"
#include "test_support.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

// Puts version 1 into force on every router.
void
StartWith(bundle_cluster& aCluster)
{
  aCluster.Accept(1);
  ASSERT_TRUE(aCluster.AdvanceUntilAllCurrent(20s));
  ASSERT_EQ(aCluster.Current().mNumber, 1U);
}

struct spread_case
{
  unsigned mRouters;
  steady_duration mBound;
};

class bundle_spread : public testing::TestWithParam<spread_case>
{};

TEST_P(bundle_spread, IsInForceEverywhereWithinItsBound)
{
  const auto [routers, bound] = GetParam();
  bundle_cluster cluster(routers, 3);
  StartWith(cluster);
  cluster.Advance(10s);
  steady_duration slowest{};
  for (std::uint64_t number = 2; number <= 20; ++number) {
    cluster.Accept(number);
    cluster.Advance(15ms);
    const auto taken = cluster.AdvanceUntilAllCurrent(20s);
    ASSERT_TRUE(taken);
    ASSERT_EQ(cluster.Current().mNumber, number);
    slowest = std::max(slowest, *taken + 15ms);
    cluster.Advance(7s);
  }
  EXPECT_LE(slowest, bound);
  std::cout << routers << " routers: slowest of 19 versions "
            << std::chrono::duration<double, std::milli>(slowest).count()
            << " ms\n";
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         bundle_spread,
                         testing::Values(spread_case{ 9, 2s },
                                         spread_case{ 36, 5s }));

TEST(BundleController, OnlyFewRoutersOfADataCentreWatch)
{
  bundle_cluster cluster(36, 3);
  StartWith(cluster);
  EXPECT_EQ(std::ranges::count_if(cluster.mRouters,
                                  [](const auto& aRouter) {
                                    return aRouter.mController->IsWatcher();
                                  }),
            6);
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (const auto& router : cluster.mRouters) {
    before += router.mPlatform->Calls().Total();
  }
  cluster.Advance(600s);
  for (const auto& router : cluster.mRouters) {
    after += router.mPlatform->Calls().Total();
  }
  const double rate = static_cast<double>(after - before) / 600 / 36;
  // A twentieth of the store's 2,000 reads a second, shared by 400 routers.
  EXPECT_LE(rate, 0.25);
  std::cout << "idle platform calls per second and router: " << rate << '\n';
}

TEST(BundleController,
     Fault_SilentInbound_Bundle_Learn_SpreadsByPeersWhileAllWatchesAreBroken)
{
  bundle_cluster cluster(9, 3);
  StartWith(cluster);
  for (auto& router : cluster.mRouters) {
    router.mPlatform->Faults().mBreakWatches = true;
  }
  // The watches of this router are still answered, so it learns the version
  // from the platform.
  cluster.mRouters[0].mPlatform->Faults().mBreakWatches = false;
  cluster.Accept(2);
  cluster.Advance(100ms);
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(100s));
}

// Drops every message for which aLost returns true.
void
Lose(bundle_cluster& aCluster, bool (*aLost)(const peer_message&))
{
  aCluster.mNetwork.SetDeliveryRule([aLost](const peer_message& aMessage) {
    return aLost(aMessage) ? std::nullopt : std::optional<steady_duration>(1ms);
  });
}

TEST(BundleController,
     Fault_MessageLost_Bundle_Learn_NoticesAreMadeUpForByHeartbeats)
{
  bundle_cluster cluster(9, 3);
  StartWith(cluster);
  Lose(cluster, [](const peer_message& aMessage) {
    const auto* push = std::get_if<bundle_push>(&aMessage);
    return push && push->mSignedBundle.empty();
  });
  cluster.Accept(2);
  cluster.Advance(100ms);
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(19s));
}

TEST(BundleController,
     Fault_MessageLost_Bundle_Fetch_RequestsAndPushesAreMadeUpForByThePoll)
{
  for (const auto lost :
       { +[](const peer_message& aMessage) {
          return std::holds_alternative<bundle_request>(aMessage);
        },
         +[](const peer_message& aMessage) {
           return std::holds_alternative<bundle_push>(aMessage);
         } }) {
    bundle_cluster cluster(9, 3);
    StartWith(cluster);
    Lose(cluster, lost);
    cluster.Accept(2);
    cluster.Advance(100ms);
    EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(100s));
  }
}

TEST(BundleController,
     Fault_CrashAfter_Bundle_Learn_WatchersThatCrashDoNotStopASpread)
{
  for (const auto at : { 5ms, 20ms, 22ms, 24ms, 25ms, 27ms, 30ms }) {
    bundle_cluster cluster(9, 3);
    StartWith(cluster);
    cluster.Accept(2);
    cluster.Advance(at);
    for (std::size_t i = 0; i < cluster.mRouters.size(); ++i) {
      if (cluster.mRouters[i].mController->IsWatcher()) {
        cluster.Restart(i);
      }
    }
    cluster.Advance(100ms);
    EXPECT_EQ(cluster.Current().mNumber, 2U);
    EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(19s)) << at.count();
  }
}

TEST(BundleController,
     Fault_Partition_Bundle_Learn_ARouterCutOffFromThePlatformLearnsFromPeers)
{
  bundle_cluster cluster(9, 3);
  StartWith(cluster);
  cluster.mRouters[4].mPlatform->Faults().mOutage = true;
  cluster.Accept(2);
  cluster.Advance(100ms);
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(20s));
}

TEST(BundleController, Fault_StoreOutage_Bundle_Fetch_AColdStartWorksFromPeers)
{
  bundle_cluster cluster(9, 3);
  StartWith(cluster);
  for (auto& router : cluster.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  cluster.Restart(3);
  cluster.mRouters[3].mPlatform->Faults().mOutage = true;
  EXPECT_FALSE(cluster.AllCurrent());
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(5s));
}

TEST(BundleController,
     Fault_StoreOutage_Bundle_Apply_AColdStartWithoutPeersHasNoBundle)
{
  bundle_cluster cluster(2, 1);
  for (auto& router : cluster.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  cluster.Accept(1);
  cluster.Advance(60s);
  EXPECT_EQ(cluster.mRouters[0].mBoard.mBundle, nullptr);
  cluster.EndFaults();
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(30s));
}

TEST(BundleController, Fault_StaleList_Bundle_Learn_ACompactedWatchListsAgain)
{
  bundle_cluster cluster(3, 1);
  StartWith(cluster);
  for (auto& router : cluster.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  cluster.Accept(2);
  cluster.Advance(40s);
  cluster.mStore->Compact();
  cluster.EndFaults();
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(40s));
}

// Accepts version 2 and returns the bytes of the bundles that routers push to
// each other until all have it.
std::size_t
CountPushedBytes(bundle_cluster& aCluster)
{
  std::size_t bytes = 0;
  aCluster.mNetwork.SetDeliveryRule([&bytes](const peer_message& aMessage) {
    if (const auto* push = std::get_if<bundle_push>(&aMessage)) {
      bytes += push->mSignedBundle.size();
    }
    return std::optional<steady_duration>(1ms);
  });
  aCluster.Accept(2, 77);
  aCluster.Advance(100ms);
  EXPECT_TRUE(aCluster.AdvanceUntilAllCurrent(19s));
  return bytes;
}

TEST(BundleController, ALargeBundleSpreadsByItsDelta)
{
  bundle_cluster cluster(9, 3);
  cluster.mAcceptance.mInlineLimitBytes = 100;
  StartWith(cluster);
  const auto* first = cluster.mStore->Find(CurrentBundleKey());
  const auto full = ParseSignedBundle(first->mValue).value();
  EXPECT_TRUE(full.mBytes.empty());
  // The six watchers apply the delta from their watches; the three other
  // routers get it from peers.
  cluster.Advance(5s);
  const auto reads = cluster.mRouters[0].mPlatform->Calls().mReads;
  EXPECT_GT(CountPushedBytes(cluster), 0U);
  EXPECT_EQ(cluster.mRouters[0].mPlatform->Calls().mReads, reads);
  EXPECT_EQ(cluster.mRouters[0].mBoard.mBundle->mClasses[0].mQueueLimit, 77U);
  const auto replaced =
    cluster.mStore->Find(FullBundleKey(full.mFullBundleName));
  EXPECT_TRUE(replaced->mDeleted);
}

TEST(BundleController, ARouterThatMissedAVersionFetchesTheFullBundle)
{
  bundle_cluster cluster(3, 1);
  cluster.mAcceptance.mInlineLimitBytes = 100;
  StartWith(cluster);
  cluster.mRouters[2].mPlatform->Faults().mOutage = true;
  for (const auto& other : cluster.mRouters) {
    cluster.mNetwork.Block(other.mVm, cluster.mRouters[2].mVm);
  }
  for (const std::uint64_t number : { 2U, 3U }) {
    cluster.Accept(number, static_cast<unsigned>(number));
    cluster.Advance(5s);
  }
  EXPECT_EQ(cluster.mRouters[2].mBoard.mBundle->mVersion.mNumber, 1U);
  cluster.EndFaults();
  EXPECT_TRUE(cluster.AdvanceUntilAllCurrent(19s));
}

// Starts routers without peers whose full bundle cannot be read, and accepts a
// bundle that is too large for the current object. Returns whether all routers
// have the bundle within aLimit after the full bundle can be read again.
bool
InstallsAfterFailedGets(bundle_cluster& aCluster,
                        bool platform_faults::*aFault,
                        steady_duration aLimit)
{
  aCluster.mAcceptance.mInlineLimitBytes = 100;
  for (auto& router : aCluster.mRouters) {
    router.mPlatform->Faults().*aFault = true;
    for (const auto& other : aCluster.mRouters) {
      aCluster.mNetwork.Block(other.mVm, router.mVm);
    }
  }
  aCluster.Accept(1);
  aCluster.Advance(20s);
  EXPECT_EQ(aCluster.Current().mNumber, 1U);
  // Another change ends watches that are open after the failed fetch.
  aCluster.Accept(2);
  aCluster.Advance(20s);
  for (auto& router : aCluster.mRouters) {
    EXPECT_EQ(router.mBoard.mBundle, nullptr);
    router.mPlatform->Faults().*aFault = false;
  }
  return aCluster.AdvanceUntilAllCurrent(aLimit).has_value();
}

TEST(BundleController,
     Fault_StoreOutage_Bundle_Fetch_AFailedFetchOfTheFullBundleIsRetried)
{
  bundle_cluster cluster(4, 1);
  EXPECT_TRUE(
    InstallsAfterFailedGets(cluster, &platform_faults::mFailGets, 30s));
}

TEST(BundleController,
     Fault_AnswerLost_Bundle_Fetch_AnUnansweredFetchOfTheFullBundleIsRetried)
{
  bundle_cluster cluster(4, 1);
  EXPECT_TRUE(
    InstallsAfterFailedGets(cluster, &platform_faults::mIgnoreGets, 30s));
}

TEST(BundleController, Fault_StoreOutage_Bundle_Fetch_FailedFetchesBackOff)
{
  bundle_cluster cluster(1, 1);
  cluster.mAcceptance.mInlineLimitBytes = 100;
  cluster.mRouters[0].mPlatform->Faults().mFailGets = true;
  cluster.Accept(1);
  cluster.Advance(60s);
  const auto before = cluster.mRouters[0].mPlatform->Calls().mReads;
  cluster.Advance(150s);
  // At the retry limit of 15 s and a jitter of a half, each retry is one list
  // and one fetch.
  EXPECT_LE(cluster.mRouters[0].mPlatform->Calls().mReads - before, 44U);
}

TEST(BundleController, Fault_PausePastLease_Bundle_Learn_AWokenRouterAsksAtOnce)
{
  bundle_cluster cluster(4, 1);
  StartWith(cluster);
  const auto waking =
    std::ranges::find_if(cluster.mRouters, [](const auto& aRouter) {
      return !aRouter.mController->IsWatcher();
    });
  ASSERT_NE(waking, cluster.mRouters.end());
  for (const auto& other : cluster.mRouters) {
    if (other.mVm != waking->mVm) {
      cluster.mNetwork.Block(other.mVm, waking->mVm);
    }
  }
  cluster.Accept(2);
  cluster.Advance(1s);
  EXPECT_EQ(waking->mBoard.mBundle->mVersion.mNumber, 1U);
  waking->mController->Refresh();
  cluster.Advance(1s);
  EXPECT_EQ(waking->mBoard.mBundle->mVersion.mNumber, 2U);
}

TEST(BundleController, AnOlderOrForgedBundleIsNeverInstalled)
{
  bundle_cluster cluster(2, 1);
  StartWith(cluster);
  cluster.Accept(2);
  cluster.Advance(10s);
  auto& router = cluster.mRouters[0];
  const auto zane = NewSigningKey();
  const auto forged =
    SignBundle(GoodBundle(9, zane.mPublicKey), "anna", zane.mPrivateKey);
  const process_id peer{ { "vm-1" }, 1 };
  router.mController->OnPeerMessage(
    peer, bundle_push{ { 1, 9 }, Serialize(forged.value()) });
  EXPECT_EQ(router.mController->Refused(), 1U);
  const auto old = SignBundle(
    GoodBundle(1, cluster.mAnna.mPublicKey), "anna", cluster.mAnna.mPrivateKey);
  router.mController->OnPeerMessage(
    peer, bundle_push{ { 1, 9 }, Serialize(old.value()) });
  EXPECT_EQ(router.mBoard.mBundle->mVersion, (bundle_version{ 1, 2 }));
}

// Accepts bundles, or starts or ends a fault, at random.
void
ApplyRandomEvent(bundle_cluster& aCluster)
{
  const auto count = static_cast<int>(aCluster.mRouters.size());
  const auto router = [&]() -> cluster_router& {
    return aCluster
      .mRouters[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
  };
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
      aCluster.Accept(aCluster.Current().mNumber + 1, 1);
      aCluster.Accept(aCluster.Current().mNumber + 1, 2);
      break;
    case 2: {
      auto& faults = router().mPlatform->Faults();
      faults.mOutage = !faults.mOutage;
      break;
    }
    case 3:
      aCluster.mOperator.Faults().mOutage =
        !aCluster.mOperator.Faults().mOutage;
      break;
    case 4: {
      const auto& from = router();
      const auto& to = router();
      aCluster.mNetwork.Block(from.mVm, to.mVm);
      break;
    }
    case 5: {
      const auto& from = router();
      const auto& to = router();
      aCluster.mNetwork.Unblock(from.mVm, to.mVm);
      break;
    }
    case 6:
      aCluster.Restart(static_cast<std::size_t>(*rc::gen::inRange(0, count)));
      break;
    case 7: {
      auto& faults = router().mPlatform->Faults();
      **rc::gen::element(
        &faults.mBreakWatches, &faults.mFailGets, &faults.mIgnoreGets) = true;
      break;
    }
    case 8:
      aCluster.mOperator.Faults().mLoseAnswers += 1;
      aCluster.mOperator.Faults().mLoseRequests += 1;
      break;
    default:
      aCluster.mStore->Compact();
      break;
  }
}

// Checks that the versions of each router have only increased since its last
// restart.
void
CheckVersionsIncrease(const bundle_cluster& aCluster)
{
  for (const auto& router : aCluster.mRouters) {
    const auto& versions = router.mInForce;
    RC_ASSERT(std::ranges::adjacent_find(
                versions, std::ranges::greater_equal()) == versions.end());
    if (router.mBoard.mBundle) {
      RC_ASSERT(!versions.empty());
      RC_ASSERT((router.mBoard.mBundle->mVersion == versions.back()));
      RC_ASSERT((versions.back() <= aCluster.Current()));
    }
  }
}

TEST(BundleProperty, NoRouterRevertsAndAllConvergeOnceFaultsEnd)
{
  EXPECT_TRUE(rc::check([] {
    bundle_cluster cluster(5, 2);
    cluster.mAcceptance.mInlineLimitBytes = *rc::gen::element(1U, 100000U);
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      ApplyRandomEvent(cluster);
      cluster.Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 5000)));
      CheckVersionsIncrease(cluster);
    }
    cluster.EndFaults();
    cluster.Advance(30s);
    cluster.Accept(cluster.Current().mNumber + 1);
    cluster.Advance(100ms);
    RC_ASSERT(cluster.AdvanceUntilAllCurrent(120s).has_value());
    CheckVersionsIncrease(cluster);
  }));
}

} // namespace
} // namespace sapphirespar
