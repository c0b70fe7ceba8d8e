// Fault tests of how a bundle spreads, and the property that no router ever
// goes back.
#include "bundle_world_test.hpp"

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
StartWith(bundle_world& aWorld)
{
  aWorld.Accept(1);
  ASSERT_TRUE(aWorld.UntilAllCurrent(20s));
  ASSERT_EQ(aWorld.Current().mNumber, 1U);
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
  bundle_world world(routers, 3);
  StartWith(world);
  world.Advance(10s);
  steady_duration slowest{};
  for (std::uint64_t number = 2; number <= 20; ++number) {
    world.Accept(number);
    world.Advance(15ms);
    const auto taken = world.UntilAllCurrent(20s);
    ASSERT_TRUE(taken);
    ASSERT_EQ(world.Current().mNumber, number);
    slowest = std::max(slowest, *taken + 15ms);
    world.Advance(7s);
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
  bundle_world world(36, 3);
  StartWith(world);
  EXPECT_EQ(std::ranges::count_if(world.mRouters,
                                  [](const auto& aRouter) {
                                    return aRouter.mController->IsWatcher();
                                  }),
            6);
  std::uint64_t before = 0;
  std::uint64_t after = 0;
  for (const auto& router : world.mRouters) {
    before += router.mPlatform->Calls().Total();
  }
  world.Advance(600s);
  for (const auto& router : world.mRouters) {
    after += router.mPlatform->Calls().Total();
  }
  const double rate = static_cast<double>(after - before) / 600 / 36;
  // A twentieth of the store's 2,000 reads a second, over 400 routers.
  EXPECT_LE(rate, 0.25);
  std::cout << "idle platform calls per second and router: " << rate << '\n';
}

TEST(BundleController,
     Fault_SilentInbound_Bundle_Learn_SpreadsByPeersWhileAllWatchesAreBroken)
{
  bundle_world world(9, 3);
  StartWith(world);
  for (auto& router : world.mRouters) {
    router.mPlatform->Faults().mBreakWatches = true;
  }
  // One router still gets answers and learns by its poll.
  world.mRouters[0].mPlatform->Faults().mBreakWatches = false;
  world.Accept(2);
  world.Advance(100ms);
  EXPECT_TRUE(world.UntilAllCurrent(100s));
}

// Loses every message that aLost picks.
void
Lose(bundle_world& aWorld, bool (*aLost)(const peer_message&))
{
  aWorld.mNetwork.SetDeliveryRule([aLost](const peer_message& aMessage) {
    return aLost(aMessage) ? std::nullopt : std::optional<steady_duration>(1ms);
  });
}

TEST(BundleController,
     Fault_MessageLost_Bundle_Learn_NoticesAreMadeUpForByHeartbeats)
{
  bundle_world world(9, 3);
  StartWith(world);
  Lose(world, [](const peer_message& aMessage) {
    const auto* push = std::get_if<bundle_push>(&aMessage);
    return push && push->mSignedBundle.empty();
  });
  world.Accept(2);
  world.Advance(100ms);
  EXPECT_TRUE(world.UntilAllCurrent(19s));
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
    bundle_world world(9, 3);
    StartWith(world);
    Lose(world, lost);
    world.Accept(2);
    world.Advance(100ms);
    EXPECT_TRUE(world.UntilAllCurrent(100s));
  }
}

TEST(BundleController,
     Fault_CrashAfter_Bundle_Learn_WatchersThatCrashDoNotStopASpread)
{
  for (const auto at : { 5ms, 20ms, 22ms, 24ms, 25ms, 27ms, 30ms }) {
    bundle_world world(9, 3);
    StartWith(world);
    world.Accept(2);
    world.Advance(at);
    for (std::size_t i = 0; i < world.mRouters.size(); ++i) {
      if (world.mRouters[i].mController->IsWatcher()) {
        world.Restart(i);
      }
    }
    world.Advance(100ms);
    EXPECT_EQ(world.Current().mNumber, 2U);
    EXPECT_TRUE(world.UntilAllCurrent(19s)) << at.count();
  }
}

TEST(BundleController,
     Fault_Partition_Bundle_Learn_ARouterCutOffFromThePlatformLearnsFromPeers)
{
  bundle_world world(9, 3);
  StartWith(world);
  world.mRouters[4].mPlatform->Faults().mOutage = true;
  world.Accept(2);
  world.Advance(100ms);
  EXPECT_TRUE(world.UntilAllCurrent(20s));
}

TEST(BundleController, Fault_StoreOutage_Bundle_Fetch_AColdStartWorksFromPeers)
{
  bundle_world world(9, 3);
  StartWith(world);
  for (auto& router : world.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  world.Restart(3);
  world.mRouters[3].mPlatform->Faults().mOutage = true;
  EXPECT_FALSE(world.AllCurrent());
  EXPECT_TRUE(world.UntilAllCurrent(5s));
}

TEST(BundleController,
     Fault_StoreOutage_Bundle_Apply_AColdStartWithoutPeersHasNoBundle)
{
  bundle_world world(2, 1);
  for (auto& router : world.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  world.Accept(1);
  world.Advance(60s);
  EXPECT_EQ(world.mRouters[0].mBoard.mBundle, nullptr);
  world.Heal();
  EXPECT_TRUE(world.UntilAllCurrent(30s));
}

TEST(BundleController, Fault_StaleList_Bundle_Learn_ACompactedWatchListsAgain)
{
  bundle_world world(3, 1);
  StartWith(world);
  for (auto& router : world.mRouters) {
    router.mPlatform->Faults().mOutage = true;
  }
  world.Accept(2);
  world.Advance(40s);
  world.mStore->Compact();
  world.Heal();
  EXPECT_TRUE(world.UntilAllCurrent(40s));
}

// Bytes of the bundle messages that arrive while version 2 spreads.
std::size_t
CountPushedBytes(bundle_world& aWorld)
{
  std::size_t bytes = 0;
  aWorld.mNetwork.SetDeliveryRule([&bytes](const peer_message& aMessage) {
    if (const auto* push = std::get_if<bundle_push>(&aMessage)) {
      bytes += push->mSignedBundle.size();
    }
    return std::optional<steady_duration>(1ms);
  });
  aWorld.Accept(2, 77);
  aWorld.Advance(100ms);
  EXPECT_TRUE(aWorld.UntilAllCurrent(19s));
  return bytes;
}

TEST(BundleController, ALargeBundleSpreadsByItsDelta)
{
  bundle_world world(9, 3);
  world.mAcceptance.mInlineLimitBytes = 100;
  StartWith(world);
  const auto* first = world.mStore->Find(CurrentBundleKey());
  const auto whole = ParseSignedBundle(first->mValue).value();
  EXPECT_TRUE(whole.mBytes.empty());
  // Six watchers apply the delta of the watch; three others get it by peers.
  world.Advance(5s);
  const auto reads = world.mRouters[0].mPlatform->Calls().mReads;
  EXPECT_GT(CountPushedBytes(world), 0U);
  EXPECT_EQ(world.mRouters[0].mPlatform->Calls().mReads, reads);
  EXPECT_EQ(world.mRouters[0].mBoard.mBundle->mClasses[0].mQueueLimit, 77U);
  const auto replaced =
    world.mStore->Find(FullBundleKey(whole.mFullBundleName));
  EXPECT_TRUE(replaced->mDeleted);
}

TEST(BundleController, ARouterThatMissedAVersionTakesTheWhole)
{
  bundle_world world(3, 1);
  world.mAcceptance.mInlineLimitBytes = 100;
  StartWith(world);
  world.mRouters[2].mPlatform->Faults().mOutage = true;
  for (const auto& other : world.mRouters) {
    world.mNetwork.Block(other.mVm, world.mRouters[2].mVm);
  }
  for (const std::uint64_t number : { 2U, 3U }) {
    world.Accept(number, static_cast<unsigned>(number));
    world.Advance(5s);
  }
  EXPECT_EQ(world.mRouters[2].mBoard.mBundle->mVersion.mNumber, 1U);
  world.Heal();
  EXPECT_TRUE(world.UntilAllCurrent(19s));
}

TEST(BundleController, Fault_PausePastLease_Bundle_Learn_AWokenRouterAsksAtOnce)
{
  bundle_world world(4, 1);
  StartWith(world);
  const auto waking =
    std::ranges::find_if(world.mRouters, [](const auto& aRouter) {
      return !aRouter.mController->IsWatcher();
    });
  ASSERT_NE(waking, world.mRouters.end());
  for (const auto& other : world.mRouters) {
    if (other.mVm != waking->mVm) {
      world.mNetwork.Block(other.mVm, waking->mVm);
    }
  }
  world.Accept(2);
  world.Advance(1s);
  EXPECT_EQ(waking->mBoard.mBundle->mVersion.mNumber, 1U);
  waking->mController->Refresh();
  world.Advance(1s);
  EXPECT_EQ(waking->mBoard.mBundle->mVersion.mNumber, 2U);
}

TEST(BundleController, AnOlderOrForgedBundleIsNeverTaken)
{
  bundle_world world(2, 1);
  StartWith(world);
  world.Accept(2);
  world.Advance(10s);
  auto& router = world.mRouters[0];
  const auto zane = NewSigningKey();
  const auto forged =
    SignBundle(GoodBundle(9, zane.mPublicKey), "anna", zane.mPrivateKey);
  const process_id peer{ { "vm-1" }, 1 };
  router.mController->OnPeerMessage(
    peer, bundle_push{ { 1, 9 }, Serialize(forged.value()) });
  EXPECT_EQ(router.mController->Refused(), 1U);
  const auto old = SignBundle(
    GoodBundle(1, world.mAnna.mPublicKey), "anna", world.mAnna.mPrivateKey);
  router.mController->OnPeerMessage(
    peer, bundle_push{ { 1, 9 }, Serialize(old.value()) });
  EXPECT_EQ(router.mBoard.mBundle->mVersion, (bundle_version{ 1, 2 }));
}

// One step of a random history.
void
Disturb(bundle_world& aWorld)
{
  const auto count = static_cast<int>(aWorld.mRouters.size());
  const auto router = [&]() -> world_router& {
    return aWorld
      .mRouters[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
  };
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
    case 1:
      aWorld.Accept(aWorld.Current().mNumber + 1, 1);
      aWorld.Accept(aWorld.Current().mNumber + 1, 2);
      break;
    case 2: {
      auto& faults = router().mPlatform->Faults();
      faults.mOutage = !faults.mOutage;
      break;
    }
    case 3:
      aWorld.mOperator.Faults().mOutage = !aWorld.mOperator.Faults().mOutage;
      break;
    case 4: {
      const auto& from = router();
      const auto& to = router();
      aWorld.mNetwork.Block(from.mVm, to.mVm);
      break;
    }
    case 5: {
      const auto& from = router();
      const auto& to = router();
      aWorld.mNetwork.Unblock(from.mVm, to.mVm);
      break;
    }
    case 6:
      aWorld.Restart(static_cast<std::size_t>(*rc::gen::inRange(0, count)));
      break;
    case 7:
      router().mPlatform->Faults().mBreakWatches = true;
      break;
    case 8:
      aWorld.mOperator.Faults().mLoseAnswers += 1;
      aWorld.mOperator.Faults().mLoseRequests += 1;
      break;
    default:
      aWorld.mStore->Compact();
      break;
  }
}

// Each life of a router only moves forward, at every step.
void
CheckForwardOnly(const bundle_world& aWorld)
{
  for (const auto& router : aWorld.mRouters) {
    const auto& versions = router.mInForce;
    RC_ASSERT(std::ranges::adjacent_find(
                versions, std::ranges::greater_equal()) == versions.end());
    if (router.mBoard.mBundle) {
      RC_ASSERT(!versions.empty());
      RC_ASSERT((router.mBoard.mBundle->mVersion == versions.back()));
      RC_ASSERT((versions.back() <= aWorld.Current()));
    }
  }
}

TEST(BundleProperty, NoRouterEverRevertsAndAllConvergeOnceFaultsEnd)
{
  EXPECT_TRUE(rc::check([] {
    bundle_world world(5, 2);
    world.mAcceptance.mInlineLimitBytes = *rc::gen::element(1U, 100000U);
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
      Disturb(world);
      world.Advance(std::chrono::milliseconds(*rc::gen::inRange(1, 5000)));
      CheckForwardOnly(world);
    }
    world.Heal();
    world.Advance(30s);
    world.Accept(world.Current().mNumber + 1);
    world.Advance(100ms);
    RC_ASSERT(world.UntilAllCurrent(120s).has_value());
    CheckForwardOnly(world);
  }));
}

} // namespace
} // namespace sapphirespar
