// Tests which kinds of prompts are kept apart on engines of different speed.
#include "sapphirespar/policy/prompt_kinds.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr prompt_kind kSummary{ 400ms, 300ms };
constexpr prompt_kind kQuestion{ 250ms, 200ms };

// Engines that stall a stream for 5 * (51.2 + 4 + 5.12) = 302 ms.
stream_pool
Pool(std::chrono::milliseconds aSmallestGap)
{
  return { { 80, 40, 4096, 4, 0.08 }, 64, 5, aSmallestGap };
}

prompt_kinds
LongSummariesAndShortQuestions()
{
  prompt_kinds kinds;
  for (int prompt = 0; prompt < 50; ++prompt) {
    kinds.Add(kSummary, 9000);
    kinds.Add(kQuestion, 800);
  }
  return kinds;
}

TEST(PromptKinds, LongPromptsAreKeptApartFromStreamsThatTheyWouldStall)
{
  const auto kinds = LongSummariesAndShortQuestions();
  const auto question = kinds.Separate(kQuestion, 800, true, Pool(200ms));
  EXPECT_TRUE(question.mSplit);
  EXPECT_TRUE(question.mInteractive);
  const auto summary = kinds.Separate(kSummary, 9000, false, Pool(200ms));
  EXPECT_TRUE(summary.mSplit);
  EXPECT_FALSE(summary.mInteractive);
}

TEST(PromptKinds, NothingIsKeptApartWhereNoStreamIsStalledForLong)
{
  const auto kinds = LongSummariesAndShortQuestions();
  EXPECT_FALSE(kinds.Separate(kQuestion, 800, true, Pool(310ms)).mSplit);
  EXPECT_FALSE(kinds.Separate(kSummary, 9000, false, Pool(310ms)).mSplit);
  EXPECT_FALSE(kinds.Separate(kSummary, 9000, false, Pool(0ms)).mSplit);
  // Others still make way for the most urgent requests.
  EXPECT_TRUE(kinds.Separate(kQuestion, 800, true, Pool(310ms)).mInteractive);
  EXPECT_FALSE(kinds.Separate(kSummary, 9000, false, Pool(310ms)).mInteractive);
}

// The same two kinds need no split on engines with smaller chunks, and need it
// again on engines that are half as fast.
TEST(PromptKinds, TheEnginesSpeedDecidesNotTheTargetsAlone)
{
  const auto kinds = LongSummariesAndShortQuestions();
  auto pool = Pool(200ms);
  pool.mFigures.mChunkTokens = 2048;
  EXPECT_FALSE(kinds.Separate(kQuestion, 800, true, pool).mSplit);
  pool.mFigures.mPrefillTokensPerMs = 40;
  EXPECT_TRUE(kinds.Separate(kQuestion, 800, true, pool).mSplit);
}

TEST(PromptKinds, TheBudgetIsWhatAGapLeavesForPrefill)
{
  const auto kinds = LongSummariesAndShortQuestions();
  // Five steps of 4 ms and 5.12 ms for 64 requests.
  EXPECT_NEAR(kinds.Separate(kQuestion, 800, true, Pool(200ms)).mGapBudgetMs,
              200 - 45.6,
              1);
}

// The first prompt of a kind may have any length, so it does not decide for the
// kind.
TEST(PromptKinds, APromptOfAnUnknownKindIsJudgedByItsOwnLength)
{
  prompt_kinds kinds;
  kinds.Add(kSummary, 1000);
  EXPECT_TRUE(kinds.Separate(kSummary, 1000, false, Pool(200ms)).mInteractive);
  EXPECT_FALSE(kinds.Separate(kSummary, 9000, false, Pool(200ms)).mInteractive);
  for (int prompt = 0; prompt < 9; ++prompt) {
    kinds.Add(kSummary, 9000);
  }
  EXPECT_FALSE(kinds.Separate(kSummary, 1000, false, Pool(200ms)).mInteractive);
}

TEST(PromptKinds, AFewUnusualPromptsDoNotMoveAKind)
{
  auto kinds = LongSummariesAndShortQuestions();
  kinds.Add(kQuestion, 30'000);
  EXPECT_TRUE(kinds.Separate(kQuestion, 800, true, Pool(200ms)).mInteractive);
}

} // namespace
} // namespace sapphirespar::policy
