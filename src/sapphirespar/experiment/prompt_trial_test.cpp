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

// A policy that gives aShare of the engines to interactive work throughout.
prompt_policy
WithShare(double aShare)
{
  prompt_policy fixed;
  fixed.mChooseEngine = [=](const policy::prompt_work& aWork,
                            std::span<const policy::engine_candidate> aEngines,
                            const engine_figures& aFigures,
                            double /*aFollowed*/,
                            double aDraw) {
    return policy::ChooseEngine(aWork, aEngines, aFigures, aShare, aDraw);
  };
  return fixed;
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

// A burst of summaries needs most engines. The split starts with a third of the
// engines for interactive work, of which questions fill half, and has to follow
// the burst soon: at least nine tenths as many summaries are in time as with
// the split that the burst needs from the start.
TEST(PromptTrial, TheSplitFollowsABurstOfSummaries)
{
  auto load = SummariesAndQuestions(true);
  load.mDurationMs = load.mBursts.front().mUntilMs;
  const auto following = RunPromptTrial(load, kSeed);
  constexpr double kNeededShare = 0.2;
  const auto best = RunPromptTrial(load, kSeed, WithShare(kNeededShare));
  EXPECT_GE(ResultOf(following, "summary").InTime(),
            0.9 * ResultOf(best, "summary").InTime())
    << TableOf(following) << TableOf(best);
  EXPECT_GE(ResultOf(following, "question").InTime(),
            ResultOf(following, "summary").InTime())
    << TableOf(following);
}

// Long prompts leave the streams of a burst of questions their slots.
TEST(PromptTrial, UrgentStreamsGetMoreThanAThirdOfTheEnginesIfTheyNeedThem)
{
  constexpr double kThird = 0.34;
  const auto load = SummariesAndQuestions(true);
  const auto following = RunPromptTrial(load, kSeed);
  const auto fixed = RunPromptTrial(load, kSeed, WithShare(kThird));
  EXPECT_GT(ResultOf(following, "question").InTime(),
            ResultOf(fixed, "question").InTime())
    << TableOf(following) << TableOf(fixed);
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
