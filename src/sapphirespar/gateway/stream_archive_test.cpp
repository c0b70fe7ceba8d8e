// Tests of the records of streams in the platform's store, with processes that
// are killed and a store that fails, under virtual time.
#include "sapphirespar/gateway/stream_archive.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPool = 1;
constexpr pool_software kOld{ kPool, 10 };
constexpr pool_software kNew{ kPool, 11 };
constexpr pool_software kOtherPool{ 2, 12 };
constexpr auto kLifetime = 20s;

using versions = std::vector<pool_software>;

// A gateway that has no peers.
struct archiving_gateway
{
  archiving_gateway(manual_timer_service& aTimers,
                    std::shared_ptr<fake_store> aStore,
                    const std::vector<pool_software>& aListed,
                    process_id aSelf)
    : mTimers(aTimers)
    , mPlatform(aTimers, std::move(aStore))
    , mStreams(
        aTimers,
        { [](std::uint64_t, std::size_t) { return std::vector<std::string>{}; },
          [](const std::string&, const stream_message&) {},
          [&aListed] { return aListed; },
          [] { return 0ms; } })
    , mArchive(mPlatform, aTimers, mStreams, { std::move(aSelf) }, { [] {
                 return 2U;
               } })
  {
    mArchive.Start();
  }

  // What the archive finds, if it answers within a second.
  std::optional<versions> Find(std::uint64_t aStream)
  {
    // Outlives this call if the answer is late.
    const auto found = std::make_shared<std::optional<versions>>();
    mArchive.Find(
      aStream, [found](versions aVersions) { *found = std::move(aVersions); });
    mTimers.Advance(1s);
    return *found;
  }

  manual_timer_service& mTimers;
  fake_platform mPlatform;
  stream_versions mStreams;
  stream_archive mArchive;
};

class stream_archive_test : public testing::Test
{
protected:
  std::unique_ptr<archiving_gateway> Start(const std::string& aVm)
  {
    return std::make_unique<archiving_gateway>(
      mTimers, mStore, mListed, process_id{ { aVm }, ++mIncarnation });
  }

  std::size_t Objects() const
  {
    const auto kept = mStore->Changes(kStreamRecordKind, 0);
    return static_cast<std::size_t>(std::ranges::count_if(
      kept, [](const auto& aObject) { return !aObject.mDeleted; }));
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  std::vector<pool_software> mListed{ kOld, kNew, kOtherPool };
  incarnation_number mIncarnation = 0;
};

TEST_F(stream_archive_test, StreamsOfAnUpgradeOutliveACommonKill)
{
  auto first = Start("a");
  auto second = Start("b");
  mTimers.Advance(1s);
  first->mStreams.Begin(7, kOld, kLifetime);
  second->mStreams.Begin(8, kNew, kLifetime);
  mTimers.Advance(1s);
  first = Start("a");
  second = Start("b");
  // The old version has left; streams that begin now are kept beside them.
  mListed = { kNew, kOtherPool };
  first->mStreams.Begin(9, kNew, kLifetime);
  mTimers.Advance(1s);
  EXPECT_EQ(second->Find(7), versions{ kOld });
  EXPECT_EQ(first->Find(7), versions{ kOld });
  EXPECT_EQ(first->Find(8), versions{ kNew });
  EXPECT_EQ(first->Find(6), versions{});
}

TEST_F(stream_archive_test, StreamsBegunBeforeTheSecondVersionAreKept)
{
  mListed = { kOld };
  auto gateway = Start("a");
  gateway->mStreams.Begin(7, kOld, kLifetime);
  mTimers.Advance(2s);
  EXPECT_EQ(gateway->mPlatform.Calls().mWrites, 0U);
  mListed = { kOld, kNew };
  mTimers.Advance(2s);
  gateway = Start("a");
  EXPECT_EQ(gateway->Find(7), versions{ kOld });
}

TEST_F(stream_archive_test, NothingIsWrittenForPoolsOfOneVersion)
{
  mListed = { kOld, kOtherPool };
  auto gateway = Start("a");
  mTimers.Advance(1s);
  gateway->mStreams.Begin(7, kOld, kLifetime);
  gateway->mStreams.Begin(8, kOtherPool, kLifetime);
  mTimers.Advance(5s);
  EXPECT_EQ(gateway->mPlatform.Calls().Total(), 0U);
  mListed = { kOld, kNew, kOtherPool };
  mTimers.Advance(5s);
  // Once, as nothing has changed since.
  EXPECT_EQ(gateway->mPlatform.Calls().mWrites, 1U);
  EXPECT_EQ(gateway->Find(8), versions{});
}

TEST_F(stream_archive_test, AStoreThatFailsDelaysRecordsAndFindsNothing)
{
  auto gateway = Start("a");
  mTimers.Advance(1s);
  gateway->mStreams.Begin(7, kOld, kLifetime);
  gateway->mPlatform.Faults().mOutage = true;
  mTimers.Advance(3s);
  EXPECT_EQ(gateway->Find(7).value_or(versions{}), versions{});
  gateway->mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  EXPECT_EQ(gateway->Find(7), versions{ kOld });
  // Answers of writes that were made are lost, so that the version is unknown.
  gateway->mPlatform.Faults().mLoseAnswers = 2;
  for (std::uint64_t stream = 8; stream < 11; ++stream) {
    gateway->mStreams.Begin(stream, kNew, kLifetime);
    mTimers.Advance(1s);
  }
  mTimers.Advance(1s);
  EXPECT_EQ(Start("b")->Find(10), versions{ kNew });
}

TEST_F(stream_archive_test, GatewaysThatDifferAreInDoubt)
{
  auto first = Start("a");
  auto second = Start("b");
  mTimers.Advance(1s);
  first->mStreams.Begin(7, kOld, kLifetime);
  second->mStreams.Begin(7, kNew, kLifetime);
  first->mStreams.Begin(8, kOld, kLifetime);
  second->mStreams.Begin(8, kOld, kLifetime);
  mTimers.Advance(1s);
  EXPECT_EQ(first->Find(7), versions{});
  EXPECT_EQ(first->Find(8), versions{ kOld });
}

TEST_F(stream_archive_test, OneReadServesManyStreams)
{
  auto gateway = Start("a");
  gateway->mPlatform.Faults().mDelay = 10ms;
  int answers = 0;
  for (std::uint64_t stream = 0; stream < 100; ++stream) {
    gateway->mArchive.Find(stream, [&](const versions&) { ++answers; });
  }
  mTimers.Advance(100ms);
  gateway->mArchive.Find(7, [&](const versions&) { ++answers; });
  EXPECT_EQ(answers, 101);
  EXPECT_EQ(gateway->mPlatform.Calls().mReads, 1U);
}

TEST_F(stream_archive_test, ObjectsOfFormerProcessesAreRemoved)
{
  auto first = Start("a");
  auto other = Start("ab");
  mTimers.Advance(1s);
  first->mStreams.Begin(7, kOld, kLifetime);
  other->mStreams.Begin(8, kOld, kLifetime);
  mTimers.Advance(1s);
  first = Start("a");
  first->mStreams.Begin(9, kOld, kLifetime);
  mTimers.Advance(30s);
  EXPECT_EQ(Objects(), 3U);
  mTimers.Advance(40s);
  EXPECT_EQ(Objects(), 2U);
}

TEST(StreamRecords, AreReadAsTheyWereWritten)
{
  const std::vector<stream_version> records{
    { 0, 1, 2, {} }, { 0xffffffffffffffffULL, 0x8000000000000000ULL, 3, {} }
  };
  EXPECT_EQ(DecodeStreamRecords(EncodeStreamRecords(records)), records);
  EXPECT_EQ(EncodeStreamRecords({}), "");
}

TEST(StreamRecords, WhatCannotBeReadIsLeftOut)
{
  const std::vector<stream_version> expected{ { 1, 2, 3, {} } };
  for (const auto* more : { "",
                            "\n",
                            "1 2\n",
                            "1 2 3 4\n",
                            "g 2 3\n",
                            "-1 2 3\n",
                            "11111111111111111 2 3\n",
                            "1 2 3" }) {
    EXPECT_EQ(DecodeStreamRecords(std::string("1 2 3\n") + more), expected)
      << more;
  }
}

} // namespace
} // namespace sapphirespar::gateway
