// Tests of the record of software versions in the platform's store, with
// gateways that are killed, lists that differ and a store that fails or comes
// back from an older copy, under virtual time.
#include "sapphirespar/gateway/software_record.hpp"

#include "sapphirespar/gateway/stream_versions.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <memory>
#include <optional>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPool = 1;
constexpr pool_software kOld{ kPool, 10 };
constexpr pool_software kNew{ kPool, 11 };
constexpr pool_software kOtherPool{ 2, 12 };

// Longer than streams are remembered, and than a version is kept after that.
constexpr auto kLongEnough = 35s;
constexpr auto kForgotten = 100s;

using versions = std::vector<pool_software>;

// A gateway without peers, and its own view of the list of upstreams.
struct recording_gateway
{
  recording_gateway(manual_timer_service& aTimers,
                    const std::shared_ptr<fake_store>& aStore,
                    versions aListed,
                    bool aFirstStart)
    : mTimers(aTimers)
    , mListed(std::move(aListed))
    , mPlatform(aTimers, aStore)
    , mStreams(
        aTimers,
        { [](std::uint64_t, std::size_t) { return std::vector<std::string>{}; },
          [](const std::string&, const stream_message&) {},
          [this] { return mListed; },
          [] { return 0ms; } })
    , mRecord(mPlatform,
              aTimers,
              { aFirstStart },
              { [this] { return mListed; },
                [this] { return mStreams.SeenLately(); },
                [this] { return mStreams.HasSeenAll(); },
                [this] { return mKnownEra; } })
  {
    mRecord.Start();
  }

  // The only version of the pool, if the store answers within a second.
  std::optional<std::uint64_t> FindOnly()
  {
    // Outlives this call if the answer is late.
    const auto found = std::make_shared<std::optional<std::uint64_t>>();
    mRecord.FindOnly(kPool, [found](auto aOnly) { *found = aOnly; });
    mTimers.Advance(1s);
    return *found;
  }

  manual_timer_service& mTimers;
  versions mListed;
  store_era mKnownEra = 0;
  fake_platform mPlatform;
  stream_versions mStreams;
  software_record mRecord;
};

using gateway_ptr = std::unique_ptr<recording_gateway>;

class software_record_test : public testing::Test
{
protected:
  gateway_ptr Start(bool aFirstStart = false)
  {
    return std::make_unique<recording_gateway>(
      mTimers, mStore, mListed, aFirstStart);
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  versions mListed{ kOld, kOtherPool };
};

// Callers could take no stream up for 30 s after a common kill.
TEST_F(software_record_test, TheOnlyVersionOutlivesACommonKill)
{
  auto gateway = Start(true);
  mTimers.Advance(1s);
  gateway = Start();
  EXPECT_EQ(gateway->FindOnly(), kOld.mSoftware);
}

TEST_F(software_record_test, AGatewayThatHasNotSeenAllBeginsNoRecord)
{
  auto gateway = Start();
  mTimers.Advance(20s);
  EXPECT_EQ(gateway->FindOnly(), std::nullopt);
  gateway = Start();
  EXPECT_EQ(gateway->FindOnly(), std::nullopt);
  mTimers.Advance(kLongEnough + 5s);
  gateway = Start();
  EXPECT_EQ(gateway->FindOnly(), kOld.mSoftware);
}

TEST_F(software_record_test, AVersionThatHasLeftMayHaveBegunStreams)
{
  auto gateway = Start(true);
  mTimers.Advance(1s);
  gateway->mListed = { kOld, kNew };
  mTimers.Advance(1s);
  mListed = { kNew };
  gateway = Start();
  EXPECT_EQ(gateway->FindOnly(), std::nullopt);
  // Until no stream of it can be left.
  mTimers.Advance(kForgotten);
  EXPECT_EQ(gateway->FindOnly(), kNew.mSoftware);
  gateway = Start();
  EXPECT_EQ(gateway->FindOnly(), kNew.mSoftware);
}

TEST_F(software_record_test, AVersionIsRecordedBeforeAStreamBeginsThere)
{
  const auto gateway = Start(true);
  gateway->mPlatform.Faults().mDelay = 10ms;
  EXPECT_FALSE(gateway->mRecord.MayBegin(kOld));
  mTimers.Advance(30ms);
  EXPECT_TRUE(gateway->mRecord.MayBegin(kOld));
  gateway->mListed = { kOld, kNew };
  EXPECT_FALSE(gateway->mRecord.MayBegin(kNew));
  EXPECT_TRUE(gateway->mRecord.MayBegin(kOld));
  mTimers.Advance(30ms);
  EXPECT_TRUE(gateway->mRecord.MayBegin(kNew));
  mListed = { kOld };
  EXPECT_EQ(Start()->FindOnly(), std::nullopt);
}

TEST_F(software_record_test, GatewaysAddTheirVersionsToOneRecord)
{
  auto first = Start(true);
  mTimers.Advance(1s);
  mListed = { kOld, kNew };
  auto second = Start();
  mTimers.Advance(1s);
  // The list of the first one lags, and it has seen all that it knows of.
  mTimers.Advance(kLongEnough);
  EXPECT_EQ(first->FindOnly(), std::nullopt);
  EXPECT_EQ(second->FindOnly(), std::nullopt);
  second.reset();
  mListed = { kOld };
  EXPECT_EQ(Start()->FindOnly(), std::nullopt);
}

TEST_F(software_record_test, AVersionThatReturnsIsRecordedAgain)
{
  auto gateway = Start(true);
  mTimers.Advance(1s);
  gateway->mListed = { kNew };
  mTimers.Advance(2 * kForgotten);
  EXPECT_EQ(gateway->FindOnly(), kNew.mSoftware);
  gateway->mListed = { kOld, kNew };
  EXPECT_FALSE(gateway->mRecord.MayBegin(kOld));
  mTimers.Advance(1s);
  EXPECT_TRUE(gateway->mRecord.MayBegin(kOld));
  EXPECT_EQ(gateway->FindOnly(), std::nullopt);
}

// What was written since the copy is gone.
TEST_F(software_record_test, ARecordOfAnEarlierEraIsNotBelieved)
{
  mStore->mEra = 1;
  auto gateway = Start(true);
  mTimers.Advance(1s);
  const auto copy = mStore->Copy();
  gateway->mListed = { kOld, kNew };
  mTimers.Advance(1s);
  mStore->Restore(copy);
  mListed = { kOld };
  auto restarted = Start();
  EXPECT_EQ(restarted->FindOnly(), std::nullopt);
  // One that has seen all makes it valid again, with all that it has seen.
  gateway->mKnownEra = mStore->mEra;
  gateway->mListed = { kOld };
  mTimers.Advance(kLongEnough);
  restarted = Start();
  EXPECT_EQ(restarted->FindOnly(), kOld.mSoftware);
}

TEST_F(software_record_test, ARecordThatCannotBeReadIsNotBelieved)
{
  const object_key key{ std::string(kSoftwareRecordKind),
                        std::string(kSoftwareRecordName) };
  const auto gateway = Start();
  for (const auto* value : { "", "x", "0 1 a", "0 1 a\n0 1", "0 1 a\n\n" }) {
    const auto* object = mStore->Find(key);
    mStore->Write(
      key, value, false, object == nullptr ? kNoObject : object->mVersion);
    EXPECT_EQ(gateway->FindOnly(), std::nullopt) << value;
  }
  mStore->Write(key, "0 1 a\n", false, mStore->Find(key)->mVersion);
  EXPECT_EQ(gateway->FindOnly(), kOld.mSoftware);
}

TEST_F(software_record_test, AStoreThatFailsDelaysNoStreamAndTellsNothing)
{
  const auto gateway = Start(true);
  mTimers.Advance(1s);
  gateway->mPlatform.Faults().mOutage = true;
  gateway->mListed = { kOld, kNew };
  mTimers.Advance(1s);
  EXPECT_TRUE(gateway->mRecord.MayBegin(kNew));
  EXPECT_EQ(gateway->FindOnly(), std::nullopt);
  gateway->mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  EXPECT_EQ(Start()->FindOnly(), std::nullopt);
}

TEST_F(software_record_test, LittleIsAskedOfTheStore)
{
  const auto gateway = Start(true);
  mTimers.Advance(10min);
  EXPECT_EQ(gateway->mPlatform.Calls().Total(), 2U);
}

// Of a fleet whose gateways are killed together or one by one, whose lists lag,
// and whose store restores.
RC_GTEST_PROP(SoftwareRecord, NeverNamesAVersionBesideThoseThatBeganStreams, ())
{
  constexpr int kSteps = 60;
  constexpr std::size_t kGateways = 3;
  manual_timer_service timers;
  const auto store = std::make_shared<fake_store>();
  store->mEra = 1;
  versions listed{ kOld };
  std::vector<gateway_ptr> gateways;
  const auto start = [&](bool aFirst) {
    return std::make_unique<recording_gateway>(timers, store, listed, aFirst);
  };
  for (std::size_t number = 0; number < kGateways; ++number) {
    gateways.push_back(start(true));
  }
  auto copy = store->Copy();
  // When a stream last began at each version.
  std::map<pool_software, steady_time> begun;
  for (int step = 0; step < kSteps; ++step) {
    const auto number = *rc::gen::inRange<std::size_t>(0, kGateways);
    auto& gateway = *gateways[number];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        listed = *rc::gen::element(
          versions{ kOld }, versions{ kNew }, versions{ kOld, kNew });
        break;
      case 1:
        gateways[number] = start(false);
        break;
      case 2:
        for (auto& each : gateways) {
          each = start(false);
        }
        break;
      case 3:
        copy = store->Copy();
        break;
      case 4:
        store->Restore(copy);
        copy = store->Copy();
        break;
      case 5:
        timers.Advance(*rc::gen::element(5s, 40s));
        break;
      case 6: {
        const auto only = gateway.FindOnly();
        for (const auto& [version, at] : begun) {
          const bool remembered = timers.Now() - at < 30s;
          // The macro evaluates both sides of an "or".
          const bool sound = !only || !remembered || version.mSoftware == *only;
          RC_ASSERT(sound);
        }
        break;
      }
      default:
        for (const auto& version : gateway.mListed) {
          if (gateway.mRecord.MayBegin(version)) {
            begun[version] = timers.Now();
          }
        }
    }
    // The lists of live gateways follow within a second.
    for (auto& each : gateways) {
      if (*rc::gen::inRange(0, 2) == 0) {
        each->mListed = listed;
        each->mKnownEra = store->mEra;
      }
    }
    timers.Advance(500ms);
    for (auto& each : gateways) {
      each->mListed = listed;
      each->mKnownEra = store->mEra;
    }
    timers.Advance(500ms);
  }
}

} // namespace
} // namespace sapphirespar::gateway
