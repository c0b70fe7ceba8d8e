// Holds the schedulers to the stated targets on fixed seeds.
#include "sapphirespar/experiment/trial.hpp"

#include <gtest/gtest.h>

#include <sstream>

namespace sapphirespar::experiment {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr double kFirstTierTarget = 0.999;
constexpr double kGoodputTarget = 1.3;
constexpr double kWasteTarget = 0.01;

trial_result
Measure(const user_load& aLoad,
        scenario aScenario,
        std::string_view aScheduler,
        bool aCanPause = true)
{
  const auto scheduler = policy::MakeScheduler(aScheduler);
  return RunTrial({ aLoad, aScenario, kSeed, aCanPause }, *scheduler);
}

struct test_case
{
  user_load mLoad;
  scenario mScenario;
  bool mCanPause = true;
};

class stated_targets : public testing::TestWithParam<test_case>
{};

std::string
NameOf(const testing::TestParamInfo<test_case>& aInfo)
{
  return aInfo.param.mLoad.mName + "_" +
         std::string(ToText(aInfo.param.mScenario)) +
         (aInfo.param.mCanPause ? "" : "_no_pause");
}

std::vector<test_case>
AllCases()
{
  std::vector<test_case> cases;
  for (const auto& load : { KalnozolsLoad(), LankaSeaboardLoad() }) {
    for (const auto scenario : kScenarios) {
      cases.push_back({ load, scenario, true });
      cases.push_back({ load, scenario, false });
    }
  }
  return cases;
}

TEST_P(stated_targets, TieredMeetsThem)
{
  const auto& [load, scenario, canPause] = GetParam();
  const auto result = Measure(load, scenario, "tiered", canPause);
  std::ostringstream table;
  Print(table, result);
  EXPECT_GE(result.FirstTierAttainment(), kFirstTierTarget) << table.str();
  EXPECT_LE(result.WastedShare(), kWasteTarget) << table.str();
  for (const auto& part : result.mClasses) {
    EXPECT_GT(part.mInTime, 0) << table.str();
    EXPECT_EQ(part.mInTime + part.mLate + part.mRefused + part.mBroken,
              part.mOffered)
      << table.str();
  }
}

// What may not run twice is lost with its engine, so it must be spread.
TEST(StatedTargets, ACrashBreaksFewOfTheFirstTierWhateverTheSeed)
{
  for (const auto& load : { KalnozolsLoad(), LankaSeaboardLoad() }) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      const auto scheduler = policy::MakeScheduler("tiered");
      const auto result =
        RunTrial({ load, scenario::Crash, seed, true }, *scheduler);
      std::ostringstream table;
      Print(table, result);
      EXPECT_GE(result.FirstTierAttainment(), kFirstTierTarget)
        << load.mName << " seed " << seed << '\n'
        << table.str();
    }
  }
}

TEST(StatedTargets, GoodputUnderABurstBeatsLeastOutstanding)
{
  for (const auto& load : { KalnozolsLoad(), LankaSeaboardLoad() }) {
    const auto ours = Measure(load, scenario::Burst, "tiered");
    const auto base = Measure(load, scenario::Burst, "least_outstanding");
    EXPECT_GE(ours.Goodput(), kGoodputTarget * base.Goodput()) << load.mName;
  }
}

// One home of a large fleet holds few engines, which smooth out less.
TEST(StatedTargets, ASmallHomeKeepsTheFirstTierThroughABurst)
{
  for (const auto& load : { KalnozolsLoad(), LankaSeaboardLoad() }) {
    for (const bool canPause : { true, false }) {
      const auto home = ScaledTo(load, 2);
      const auto result = Measure(home, scenario::Burst, "tiered", canPause);
      std::ostringstream table;
      Print(table, result);
      EXPECT_GE(result.FirstTierAttainment(), kFirstTierTarget) << table.str();
      EXPECT_LE(result.WastedShare(), kWasteTarget) << table.str();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Users,
                         stated_targets,
                         testing::ValuesIn(AllCases()),
                         NameOf);

} // namespace
} // namespace sapphirespar::experiment
