// Tests of what the guard of crashing requests refuses and tells its peers.
#include "sapphirespar/gateway/crash_guard.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::array<std::uint64_t, 1> kIds{ 0xab };
constexpr std::array<std::uint64_t, 1> kSoundIds{ 0xcd };
const request_marks kParts{ "pool", kIds, 1 };
const request_marks kSound{ "pool", kSoundIds, 2 };
constexpr auto kBegun = crash_guard::answer_progress::Begun;
constexpr auto kEvents = crash_guard::answer_progress::Events;
constexpr auto kNothing = crash_guard::answer_progress::Nothing;

class crash_guard_test : public testing::Test
{
protected:
  manual_timer_service mTimers;
  metrics mMetrics;
  unsigned mTold = 0;
  crash_guard mGuard{ mTimers,
                      mMetrics,
                      { [](const prompt_part&) { return false; },
                        [this] { ++mTold; } } };
};

TEST_F(crash_guard_test, TellsPeersOfACrashAtOnceAndOnceMore)
{
  mTimers.Advance(1s);
  mGuard.OnUpstreamLost(kParts, 1, kBegun, {});
  EXPECT_EQ(mTold, 1U);
  mTimers.Advance(2s);
  EXPECT_EQ(mTold, 2U);
}

TEST_F(crash_guard_test, TellsPeersOfManyCrashesTogether)
{
  mTimers.Advance(1s);
  for (std::uint64_t upstream = 1; upstream <= 20; ++upstream) {
    mGuard.OnUpstreamLost(kParts, upstream, kBegun, {});
  }
  EXPECT_EQ(mTold, 1U);
  mTimers.Advance(100ms);
  EXPECT_EQ(mTold, 2U);
}

TEST_F(crash_guard_test, ALossThatIsNoCrashIsNotUrgent)
{
  mTimers.Advance(1s);
  mGuard.OnUpstreamLost(kParts, 1, kEvents, {});
  EXPECT_EQ(mTold, 0U);
  EXPECT_EQ(mGuard.Reports().mParts.mLosses.size(), 1U);
}

TEST_F(crash_guard_test, RefusesWhatAPeerHasQuarantined)
{
  mTimers.Advance(1s);
  crash_report report;
  report.mQuarantines = { { { "pool", 0xab }, 1s, 1s, 0, 0ms } };
  mGuard.Merge({ report, {} });
  EXPECT_TRUE(mGuard.Refuse(kParts));
  EXPECT_FALSE(mGuard.Refuse(kSound));
  mTimers.Advance(200ms);
  EXPECT_NE(mMetrics.Render().find("gateway_quarantined_parts 1"),
            std::string::npos);
  // It was the peer's to tell.
  EXPECT_EQ(mTold, 0U);
}

TEST_F(crash_guard_test, ARequestWithoutPartsIsRefusedAfterThreeCrashes)
{
  const request_marks plain{ "pool", {}, 3 };
  const request_marks other{ "pool", {}, 4 };
  mTimers.Advance(1s);
  for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
    EXPECT_FALSE(mGuard.Refuse(plain));
    mGuard.OnUpstreamLost(plain, upstream, kNothing, {});
    mTimers.Advance(200ms);
    mGuard.OnSurvival(other);
  }
  EXPECT_FALSE(mGuard.MayRepeat(plain));
  mTimers.Advance(400ms);
  const auto refused = mGuard.Refuse(plain);
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mReason, "request_crashes_upstreams");
  EXPECT_FALSE(mGuard.Refuse(other));
  // Another gateway takes it over.
  crash_guard second{ mTimers,
                      mMetrics,
                      { [](const prompt_part&) { return false; }, [] {} } };
  second.Merge(mGuard.Reports());
  EXPECT_TRUE(second.Refuse(plain));
}

// Crashes under one request, repeated, and under requests that differ.
TEST_F(crash_guard_test, ARepeatedRequestDoesNotBlameItsParts)
{
  constexpr std::array<std::uint64_t, 1> kRare{ 0xef };
  const request_marks crashing{ "pool", kRare, 3 };
  const request_marks sibling{ "pool", kRare, 4 };
  mTimers.Advance(1s);
  const auto crash = [this](auto aRequests, std::uint64_t aKey) {
    for (const auto& marks : aRequests) {
      mGuard.OnUpstreamLost(marks, aKey, kBegun, {});
    }
    for (int count = 0; count < 8; ++count) {
      mTimers.Advance(100ms);
      mGuard.OnSurvival(kSound);
    }
  };
  // The sibling is at hand once by chance.
  crash(std::array{ sibling, crashing }, 1);
  for (std::uint64_t upstream = 2; upstream <= 6; ++upstream) {
    crash(std::array{ crashing }, upstream);
  }
  EXPECT_EQ(mGuard.Refuse(crashing)->mReason, "request_crashes_upstreams");
  EXPECT_FALSE(mGuard.Refuse(sibling));
  crash(std::array{ sibling }, 7);
  EXPECT_EQ(mGuard.Refuse(sibling)->mReason, "part_crashes_upstreams");
}

TEST(PartsText, NamesAtMostEightPartsInHexadecimal)
{
  EXPECT_EQ(PartsText({}), "");
  EXPECT_EQ(PartsText(std::array<std::uint64_t, 2>{ 0xab, 16 }), "ab,10");
  const std::vector<std::uint64_t> many(20, 1);
  EXPECT_EQ(PartsText(many), "1,1,1,1,1,1,1,1");
}

} // namespace
} // namespace sapphirespar::gateway
