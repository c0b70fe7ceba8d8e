// Tests of a fleet that searches for parts that crash upstreams: it finds them
// in time, and sound parts stay allowed.
#include "crash_suspects_fleet_test.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPart = 5000;
constexpr std::uint64_t kOtherPart = 5001;

// Number of seeds; more are drawn by hand with SAPPHIRESPAR_FLEET_SEEDS.
unsigned
Seeds()
{
  constexpr unsigned kSeeds = 2;
  const char* text = std::getenv("SAPPHIRESPAR_FLEET_SEEDS");
  return text == nullptr
           ? kSeeds
           : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

std::string
Describe(const fleet_plan& aPlan)
{
  return "seed " + std::to_string(aPlan.mSeed) + ", first parts " +
         std::to_string(aPlan.mFirstParts) + ", second parts " +
         std::to_string(aPlan.mSecondParts);
}

// Calls aCheck with the result of each seed and each number of parts.
template<class Check>
void
ForEachDraw(fleet_plan aPlan, unsigned aSeeds, Check aCheck)
{
  constexpr std::array kNumbers{ std::pair(1U, 69U),
                                 std::pair(8U, 225U),
                                 std::pair(20U, 250U) };
  for (const auto& [first, second] : kNumbers) {
    for (unsigned seed = 1; seed <= aSeeds; ++seed) {
      aPlan.mFirstParts = first;
      aPlan.mSecondParts = second;
      aPlan.mSeed = seed;
      SCOPED_TRACE(Describe(aPlan));
      aCheck(crash_fleet(aPlan).Run());
    }
  }
}

void
ExpectFoundInTime(const fleet_result& aResult, std::uint64_t aPart)
{
  EXPECT_EQ(aResult.mQuarantined, std::set{ aPart });
  EXPECT_LE(aResult.SentTooLate(), 3U);
  ASSERT_TRUE(aResult.mEverywhere.contains(aPart));
  ASSERT_GE(aResult.mCrashes.size(), 3U);
  if (aResult.mCrashes.size() >= 5) {
    EXPECT_LE(aResult.mEverywhere.at(aPart), aResult.mCrashes[4] + 3s);
  }
}

class crash_rate_test : public testing::TestWithParam<std::pair<double, bool>>
{
protected:
  static fleet_plan Plan()
  {
    fleet_plan plan;
    plan.mCrashing = { { kPart, GetParam().second, GetParam().first } };
    return plan;
  }
};

TEST_P(crash_rate_test, FindsTheCrashingPartInTimeAndNoOther)
{
  ForEachDraw(Plan(), Seeds(), [](const fleet_result& aResult) {
    ExpectFoundInTime(aResult, kPart);
  });
}

TEST_P(crash_rate_test, FindsTheCrashingPartWhenGossipIsLost)
{
  auto plan = Plan();
  plan.mGossipLoss = 0.3;
  ForEachDraw(plan, Seeds(), [](const fleet_result& aResult) {
    ExpectFoundInTime(aResult, kPart);
  });
}

INSTANTIATE_TEST_SUITE_P(CrashSuspects,
                         crash_rate_test,
                         testing::Values(std::pair(1.0, true),
                                         std::pair(1.0, false),
                                         std::pair(2.0, true),
                                         std::pair(2.0, false),
                                         std::pair(5.0, true),
                                         std::pair(5.0, false)));

TEST(CrashSuspectsFleet, FindsTwoPartsOneAfterTheOther)
{
  fleet_plan plan;
  plan.mCrashing = { { kPart, true, 2, 3s, 30s },
                     { kOtherPart, false, 2, 15s, 30s } };
  plan.mEnd = 30s;
  ForEachDraw(plan, Seeds(), [](const fleet_result& aResult) {
    EXPECT_EQ(aResult.mQuarantined, (std::set{ kPart, kOtherPart }));
    EXPECT_TRUE(aResult.mEverywhere.contains(kPart));
    EXPECT_TRUE(aResult.mEverywhere.contains(kOtherPart));
  });
}

TEST(CrashSuspectsFleet, FindsTwoPartsAtOnce)
{
  fleet_plan plan;
  plan.mCrashing = { { kPart, true, 1, 3s, 30s },
                     { kOtherPart, false, 1, 3s, 30s } };
  plan.mEnd = 30s;
  ForEachDraw(plan, Seeds(), [](const fleet_result& aResult) {
    EXPECT_EQ(aResult.mQuarantined, (std::set{ kPart, kOtherPart }));
    EXPECT_TRUE(aResult.mEverywhere.contains(kPart));
    EXPECT_TRUE(aResult.mEverywhere.contains(kOtherPart));
  });
}

TEST(CrashSuspectsFleet, TriesAQuarantinedPartTwiceAtMost)
{
  fleet_plan plan;
  plan.mCrashing = { { kPart, true, 2, 3s, 400s } };
  plan.mEnd = 400s;
  plan.mSoundPerSecond = 20;
  for (unsigned seed = 1; seed <= Seeds(); ++seed) {
    plan.mSeed = seed;
    SCOPED_TRACE(Describe(plan));
    const auto result = crash_fleet(plan).Run();
    EXPECT_EQ(result.mQuarantined, std::set{ kPart });
    EXPECT_LE(result.SentTooLate(), 3U);
  }
}

// Nothing is to be found in these.
class sound_parts_test : public testing::Test
{
protected:
  static void ExpectNoQuarantine(const fleet_plan& aPlan)
  {
    ForEachDraw(aPlan, Seeds(), [](const fleet_result& aResult) {
      EXPECT_EQ(aResult.mQuarantined, std::set<std::uint64_t>{});
      EXPECT_GT(aResult.mSoundAnswered, 0U);
    });
  }
};

TEST_F(sound_parts_test, StayAllowedWhenUpstreamsLosePowerTogether)
{
  fleet_plan plan;
  plan.mPowerOffs = { 5s, 8100ms, 12s, 15200ms, 19s, 22300ms };
  ExpectNoQuarantine(plan);
  plan.mPowerOffShare = 0.5;
  ExpectNoQuarantine(plan);
}

TEST_F(sound_parts_test, StayAllowedWhenUpstreamsKeepCrashing)
{
  fleet_plan plan;
  plan.mLifetime = 2s;
  ExpectNoQuarantine(plan);
}

TEST_F(sound_parts_test, StayAllowedWhenAnswersAreReset)
{
  fleet_plan plan;
  plan.mResets = 0.1;
  plan.mResetting = plan.mUpstreams;
  ExpectNoQuarantine(plan);
}

TEST_F(sound_parts_test, StayAllowedWhenManyAnswersAreReset)
{
  fleet_plan plan;
  plan.mResets = 0.45;
  plan.mResetting = plan.mUpstreams;
  ExpectNoQuarantine(plan);
}

TEST_F(sound_parts_test, StayAllowedWhenOneUpstreamResetsItsAnswers)
{
  fleet_plan plan;
  plan.mResets = 0.45;
  plan.mResetting = 1;
  ExpectNoQuarantine(plan);
}

TEST_F(sound_parts_test, StayAllowedWhenAnswersAreResetUnderLittleTraffic)
{
  fleet_plan plan;
  plan.mSoundPerSecond = 4;
  plan.mResets = 0.1;
  plan.mResetting = plan.mUpstreams;
  ExpectNoQuarantine(plan);
}

TEST(CrashSuspectsFleet, AGatewayThatReturnsLearnsTheQuarantines)
{
  fleet_plan plan;
  plan.mCrashing = { { kPart, true, 3, 3s, 25s } };
  plan.mRestart = 15s;
  plan.mCutFrom = 2s;
  plan.mCutUntil = 16s;
  plan.mGossipLoss = 0.3;
  ForEachDraw(plan, Seeds(), [](const fleet_result& aResult) {
    EXPECT_EQ(aResult.mQuarantined, std::set{ kPart });
    ASSERT_TRUE(aResult.mEverywhere.contains(kPart));
    EXPECT_LE(aResult.mEverywhere.at(kPart), 18s);
    EXPECT_FALSE(
      std::ranges::any_of(aResult.mSent, [](auto aAt) { return aAt > 18s; }));
  });
}

} // namespace
} // namespace sapphirespar::policy
