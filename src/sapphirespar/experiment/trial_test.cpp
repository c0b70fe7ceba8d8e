// Tests the schedulers against the stated targets, with fixed seeds.
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

TEST_P(stated_targets, TieredMeetsAllTargets)
{
  const auto& [load, scenario, canPause] = GetParam();
  const auto result = Measure(load, scenario, "tiered", canPause);
  std::ostringstream table;
  Print(table, result);
  EXPECT_GE(result.FirstTierAttainment(), kFirstTierTarget) << table.str();
  EXPECT_LE(result.WastedShare(), kWasteTarget) << table.str();
  for (const auto& classResult : result.mClasses) {
    EXPECT_GT(classResult.mInTime, 0) << table.str();
    EXPECT_EQ(classResult.mInTime + classResult.mLate + classResult.mRefused +
                classResult.mBroken,
              classResult.mOffered)
      << table.str();
  }
}

// Requests that may run only once are lost when their engine crashes, so the
// scheduler must spread them across engines.
TEST(StatedTargets, ACrashBreaksFewFirstTierRequestsForAnySeed)
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
    const auto tiered = Measure(load, scenario::Burst, "tiered");
    const auto reference = Measure(load, scenario::Burst, "least_outstanding");
    EXPECT_GE(tiered.Goodput(), kGoodputTarget * reference.Goodput())
      << load.mName;
  }
}

// One owner of a large fleet has few engines, which absorb bursts less well.
TEST(StatedTargets, AnOwnerOfFewEnginesMeetsFirstTierTargetsInABurst)
{
  for (const auto& load : { KalnozolsLoad(), LankaSeaboardLoad() }) {
    for (const bool canPause : { true, false }) {
      const auto scaled = ScaleLoad(load, 2);
      const auto result = Measure(scaled, scenario::Burst, "tiered", canPause);
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
