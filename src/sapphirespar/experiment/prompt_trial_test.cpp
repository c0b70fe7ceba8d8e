// Tests the choice of engines and the wait limit by the outcomes for callers
// under a simulated load.
#include "sapphirespar/experiment/prompt_trial.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace sapphirespar::experiment {
namespace {

constexpr std::uint64_t kSeed = 1;

std::string
TableOf(const prompt_result& aResult)
{
  std::ostringstream table;
  Print(table, aResult);
  return table.str();
}

const prompt_class_result&
ResultOf(const prompt_result& aResult, std::string_view aName)
{
  return *std::ranges::find(
    aResult.mClasses, aName, &prompt_class_result::mName);
}

TEST(PromptTrial, AlmostAllRequestsAreInTimeWithoutBursts)
{
  const auto result = RunPromptTrial(DigestsAndQuestions(false), kSeed);
  for (const auto& kind : result.mClasses) {
    EXPECT_GE(kind.InTime(), 0.95) << kind.mName << '\n' << TableOf(result);
  }
}

// The load has almost three times the usual digests for nine seconds, then
// almost three times the usual questions. Requests share their prefixes, and an
// engine that computes a prefix again delays other requests.
TEST(PromptTrial, FewSharedPrefixesAreComputedAgainInABurst)
{
  const auto result = RunPromptTrial(DigestsAndQuestions(true), kSeed);
  EXPECT_LT(result.mRepeatedPrefillTokens, 0.1 * result.mSharedTokens)
    << TableOf(result);
}

TEST(PromptTrial, UrgentClassesStayInTimeMoreOftenThanDigestsInABurst)
{
  const auto result = RunPromptTrial(DigestsAndQuestions(true), kSeed);
  const auto digests = ResultOf(result, "digest").InTime();
  EXPECT_GE(ResultOf(result, "question").InTime(), digests) << TableOf(result);
  EXPECT_GE(ResultOf(result, "note").InTime(), digests) << TableOf(result);
}

// Results of a load with the split of engines that the gateways arrive at, and
// with a third of the engines for interactive work throughout.
struct split_results
{
  prompt_result mFollowing;
  prompt_result mFixed;
};

split_results
CompareSplits(const prompt_load& aLoad)
{
  prompt_policy fixed;
  fixed.mChooseEngine = [](const policy::prompt_work& aWork,
                           std::span<const policy::engine_candidate> aEngines,
                           const engine_figures& aFigures,
                           double /*aShare*/,
                           double aDraw) {
    constexpr double kThird = 0.34;
    return policy::ChooseEngine(aWork, aEngines, aFigures, kThird, aDraw);
  };
  return { RunPromptTrial(aLoad, kSeed), RunPromptTrial(aLoad, kSeed, fixed) };
}

// Nine tenths of the prefill are summaries. Their engines would be busy for
// almost half of the time, and the others idle.
TEST(PromptTrial, MoreSummariesAreInTimeOnEnginesThatQuestionsLeaveIdle)
{
  const auto results = CompareSplits(SummariesAndQuestions(false));
  EXPECT_GT(ResultOf(results.mFollowing, "summary").InTime(),
            ResultOf(results.mFixed, "summary").InTime());
  EXPECT_GE(ResultOf(results.mFollowing, "question").InTime(), 0.95)
    << TableOf(results.mFollowing);
}

// Requests that would wait too long are refused early enough for a retry, so
// few callers abandon a request while it waits at an engine.
TEST(PromptTrial, CallersAreRefusedRatherThanLeftWaitingInABurst)
{
  const auto result = RunPromptTrial(DigestsAndQuestions(true), kSeed);
  for (const auto& kind : result.mClasses) {
    EXPECT_LE(kind.mAbandoned, 0.05 * kind.mOffered) << TableOf(result);
  }
}

TEST(PromptTrial, TheSameSeedGivesTheSameResult)
{
  auto load = DigestsAndQuestions(true);
  load.mDurationMs = 2000;
  EXPECT_EQ(TableOf(RunPromptTrial(load, 3)), TableOf(RunPromptTrial(load, 3)));
}

} // namespace
} // namespace sapphirespar::experiment
