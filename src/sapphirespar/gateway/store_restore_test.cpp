// Tests of a store that comes back from an older copy: what was lost is not
// taken back into force, and what is written again is.
#include "store_reader_fixture_test.hpp"

#include "sapphirespar/gateway/store_restores.hpp"

#include <rapidcheck/gtest.h>

#include <memory>
#include <vector>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class store_restore_test : public store_reader_test
{
protected:
  store_restore_test() { mStore->mEra = 1; }
};

TEST_F(store_restore_test, ANewRoutingIsAppliedThoughItsRevisionIsLower)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  const auto copy = mStore->Copy();
  for (int count = 0; count < 20; ++count) {
    Write({ "servers", "a" }, "80");
  }
  Write({ "config", "main" }, "9");
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.mRouting.Version(), 9U);
  mStore->Restore(copy);
  Write({ "config", "main" }, "11");
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.mRouting.Version(), 11U);
}

TEST_F(store_restore_test, AReissuedRevisionDoesNotConfirmAFormerRouting)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  const auto copy = mStore->Copy();
  Write({ "config", "main" }, "9");
  mTimers.Advance(1s);
  mStore->Restore(copy);
  Write({ "config", "main" }, "11");
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.mRouting.Version(), 11U);
}

TEST_F(store_restore_test, ARoutingNeverGoesBackNorIsConfirmedByAnOlderOne)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  const auto copy = mStore->Copy();
  Write({ "config", "main" }, "9");
  mTimers.Advance(1s);
  mStore->Restore(copy);
  mTimers.Advance(4s);
  EXPECT_EQ(gateway.mRouting.Version(), 9U);
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 4s);
  // The operator writes it again.
  Write({ "config", "main" }, "9");
  mTimers.Advance(1s);
  EXPECT_LT(gateway.mRouting.Age(gateway.Now()), 1s);
}

TEST_F(store_restore_test, TheSameRoutingIsConfirmedOnceItsAuthorHasHadTime)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(3s);
  mStore->Restore(mStore->Copy());
  // A later version may have been acknowledged and lost.
  mTimers.Advance(1500ms);
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 1400ms);
  mTimers.Advance(1500ms);
  EXPECT_LT(gateway.mRouting.Age(gateway.Now()), 1s);
}

TEST_F(store_restore_test, UpstreamsThatTheCopyLacksAreKeptUntilWrittenAgain)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  const auto copy = mStore->Copy();
  Write({ "servers", "c" }, "82");
  Write({ "servers", "d" }, "83");
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 4U);
  mStore->Restore(copy);
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 4U);
  Write({ "servers", "c" }, "82");
  mTimers.Advance(3s);
  EXPECT_EQ(gateway.Members(), 3U);
}

TEST_F(store_restore_test, UpstreamsThatDrainedOrLeftDoNotComeBack)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  const auto copy = mStore->Copy();
  mTimers.Advance(700ms);
  Write({ "servers", "a" }, "80d");
  Remove({ "servers", "b" });
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 0U);
  mStore->Restore(copy);
  mTimers.Advance(5s);
  EXPECT_EQ(gateway.Members(), 0U);
  // By now an entry that nobody writes would have expired.
  mTimers.Advance(2s);
  EXPECT_EQ(gateway.Members(), 2U);
}

TEST_F(store_restore_test, GatewaysThatDoNotReadTheStoreFollow)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  const auto copy = mStore->Copy();
  for (int count = 0; count < 20; ++count) {
    Write({ "servers", "a" }, "80");
  }
  Write({ "config", "main" }, "9");
  Remove({ "servers", "b" });
  mTimers.Advance(2s);
  mStore->Restore(copy);
  Write({ "config", "main" }, "11");
  mTimers.Advance(2s);
  EXPECT_EQ(other.mRouting.Version(), 11U);
  EXPECT_EQ(other.Members(), 1U);
  EXPECT_EQ(other.mRestores, 1U);
  // What was known before the restore begins no round.
  const auto queries = other.mQueries;
  store_summary former = *reader.mReader.Summary();
  former.mEra = 1;
  former.mRoutingVersion = 9;
  other.mReader.OnPeerSummary(former);
  EXPECT_EQ(other.mQueries, queries);
}

TEST(StoreRestores, IgnoresAnUnknownAndAFallingEra)
{
  store_restores restores({});
  const boot_time now{ 100s };
  EXPECT_FALSE(restores.Note(0, now, "store"));
  EXPECT_FALSE(restores.Note(1, now, "store"));
  EXPECT_FALSE(restores.MayLackChanges(now));
  EXPECT_TRUE(restores.Note(7, now - 10s, "store"));
  EXPECT_FALSE(restores.Note(7, now, "store"));
  EXPECT_FALSE(restores.Note(3, now, "store"));
  EXPECT_FALSE(restores.Note(0, now, "store"));
  EXPECT_EQ(restores.Era(), 7U);
  EXPECT_FALSE(restores.MayLackChanges(now));
  EXPECT_FALSE(restores.MayHoldFormerEntries(now));
  EXPECT_TRUE(restores.Note(9, now, "peer"));
  EXPECT_TRUE(restores.MayLackChanges(now + 2s));
  EXPECT_FALSE(restores.MayLackChanges(now + 3s));
  EXPECT_TRUE(restores.MayHoldFormerEntries(now + 5s));
  EXPECT_FALSE(restores.MayHoldFormerEntries(now + 6s));
}

TEST(StoreRestores, AFirstEraAboveOneMayHaveJustBegun)
{
  store_restores restores({});
  const boot_time now{ 100s };
  EXPECT_FALSE(restores.Note(7, now, "store"));
  EXPECT_TRUE(restores.IsAssumed(now));
  EXPECT_TRUE(restores.MayLackChanges(now + 2s));
  EXPECT_FALSE(restores.MayLackChanges(now + 3s));
  EXPECT_TRUE(restores.MayHoldFormerEntries(now + 5s));
  EXPECT_FALSE(restores.IsAssumed(now + 6s));
  // A gateway that knows another era knows nothing of this one.
  restores.NotePeerRestore(6, std::nullopt);
  EXPECT_TRUE(restores.IsAssumed(now));
  restores.NotePeerRestore(7, now - 1s);
  EXPECT_FALSE(restores.IsAssumed(now));
  EXPECT_TRUE(restores.MayLackChanges(now + 1s));
  EXPECT_FALSE(restores.MayLackChanges(now + 2s));
  // What was learned first stays.
  restores.NotePeerRestore(7, std::nullopt);
  EXPECT_TRUE(restores.MayLackChanges(now + 1s));
}

// What the operator has published, and when each version was acknowledged.
struct operator_state
{
  routing_version mVersion = 7;
  std::map<routing_version, boot_time> mAcknowledged;
};

// A gateway serves by a routing only while it is confirmed within this time.
constexpr auto kKeyFreshness = 5s;

RC_GTEST_PROP(StoreRestoreProperty, NoRevokedRoutingStaysInForce, ())
{
  store_reader_test_store world;
  world.mStore->mEra = 1;
  const auto count = *rc::gen::inRange(3, 30);
  std::vector<std::unique_ptr<test_gateway>> gateways;
  for (int index = 0; index < count; ++index) {
    gateways.push_back(
      std::make_unique<test_gateway>(world.mTimers, world.mStore));
    gateways.back()->mPeer = index == 0 ? nullptr : gateways.front().get();
    gateways.back()->mReader.Start();
  }
  world.mTimers.Advance(2s);
  operator_state operations;
  auto copy = world.mStore->Copy();
  const auto publish = [&](bool aNew) {
    operations.mVersion += aNew ? *rc::gen::inRange(1, 3) : 0;
    world.Write({ "config", "main" }, std::to_string(operations.mVersion));
    operations.mAcknowledged.emplace(operations.mVersion,
                                     gateways.front()->Now());
  };
  std::vector<routing_version> highest(gateways.size(), 0);
  const auto check = [&] {
    for (std::size_t index = 0; index < gateways.size(); ++index) {
      auto& gateway = *gateways[index];
      const auto version = gateway.mRouting.Version();
      RC_ASSERT(version >= highest[index]);
      highest[index] = version;
      const auto next = operations.mAcknowledged.upper_bound(version);
      const auto now = gateway.Now();
      if (next != operations.mAcknowledged.end()) {
        // A newer version was acknowledged, so this one must not prove a key
        // for longer than the bound.
        RC_ASSERT(now - next->second < kKeyFreshness + 50ms ||
                  !gateway.mRouting.IsConfirmedWithin(now, kKeyFreshness));
      }
    }
  };
  const auto steps = *rc::gen::inRange(5, 30);
  for (int step = 0; step < steps; ++step) {
    const auto index = static_cast<std::size_t>(*rc::gen::inRange(0, count));
    auto& gateway = *gateways[index];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        publish(true);
        break;
      case 1:
        copy = world.mStore->Copy();
        break;
      case 2: {
        // The operator and the upstreams write again what was lost.
        world.mStore->Restore(copy);
        world.mTimers.Advance(
          std::chrono::milliseconds(*rc::gen::inRange(0, 2000)));
        check();
        publish(false);
        world.Write({ "servers", "a" }, "80");
        world.Write({ "servers", "b" }, "81");
        copy = world.mStore->Copy();
        break;
      }
      case 3:
        gateway.mPlatform.Faults().mOutage =
          !gateway.mPlatform.Faults().mOutage;
        break;
      case 4:
        gateway.mPeerAnswers = !gateway.mPeerAnswers;
        break;
      case 5:
        world.Write({ "servers", "a" }, "80");
        break;
      case 6:
        if (index > 0) {
          gateways[index] =
            std::make_unique<test_gateway>(world.mTimers, world.mStore);
          gateways[index]->mPeer = gateways.front().get();
          gateways[index]->mReader.Start();
          highest[index] = 0;
        }
        break;
      default:
        break;
    }
    const auto time = *rc::gen::inRange(0, 1500);
    for (int passed = 0; passed < time; passed += 50) {
      world.mTimers.Advance(50ms);
      check();
    }
  }
  for (const auto& gateway : gateways) {
    gateway->mPlatform.Faults().mOutage = false;
    gateway->mPeerAnswers = true;
  }
  world.mTimers.Advance(20s);
  for (const auto& gateway : gateways) {
    RC_ASSERT(gateway->mRouting.Version() == operations.mVersion);
    RC_ASSERT(gateway->mUpstreams.Digest() ==
              gateways.front()->mUpstreams.Digest());
    RC_ASSERT(gateway->mRouting.IsConfirmedWithin(gateway->Now(), 3s));
  }
}

} // namespace
} // namespace sapphirespar::gateway
