// Holds the choice of engines and the refusal of waits to what callers get
// under a played load.
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

TEST(PromptTrial, AlmostAllAreInTimeOnACalmDay)
{
  const auto result = PlayPrompts(DigestsAndQuestions(false), kSeed);
  for (const auto& kind : result.mClasses) {
    EXPECT_GE(kind.InTime(), 0.95) << kind.mName << '\n' << TableOf(result);
  }
}

// Nearly three times as many digests as usual for nine seconds, then nearly
// three times as many questions: each shared part is needed by many, and what
// is read again keeps others out.
TEST(PromptTrial, ABurstHasFewSharedPartsReadAgain)
{
  const auto result = PlayPrompts(DigestsAndQuestions(true), kSeed);
  EXPECT_LT(result.mRereadTokens, 0.1 * result.mSharedTokens)
    << TableOf(result);
}

TEST(PromptTrial, ABurstCostsTheUrgentLessThanTheOthers)
{
  const auto result = PlayPrompts(DigestsAndQuestions(true), kSeed);
  const auto digests = ResultOf(result, "digest").InTime();
  EXPECT_GE(ResultOf(result, "question").InTime(), digests) << TableOf(result);
  EXPECT_GE(ResultOf(result, "note").InTime(), digests) << TableOf(result);
}

// Whoever may not wait for long is told so early enough to come back: hardly
// anyone waits at an engine until its patience ends.
TEST(PromptTrial, InABurstCallersAreRefusedRatherThanLeftWaiting)
{
  const auto result = PlayPrompts(DigestsAndQuestions(true), kSeed);
  for (const auto& kind : result.mClasses) {
    EXPECT_LE(kind.mGone, 0.05 * kind.mAsked) << TableOf(result);
  }
}

TEST(PromptTrial, IsTheSameForTheSameSeed)
{
  auto load = DigestsAndQuestions(true);
  load.mLengthMs = 2000;
  EXPECT_EQ(TableOf(PlayPrompts(load, 3)), TableOf(PlayPrompts(load, 3)));
}

} // namespace
} // namespace sapphirespar::experiment
