// Tests of the progress deadlines of streams.
#include "sapphirespar/policy/progress_deadline.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr progress_limits kLimits{ 5s, 2s };
constexpr steady_time kAnswerBy{ 60s };

TEST(ProgressDeadline, StallsWithoutAFirstTokenAndThenBetweenTokens)
{
  progress_deadline deadline(kLimits, steady_time{}, kAnswerBy);
  EXPECT_FALSE(deadline.IsStalled(steady_time{ 4999ms }));
  EXPECT_TRUE(deadline.IsStalled(steady_time{ 5s }));
  deadline.NoteProgress(steady_time{ 4s });
  EXPECT_EQ(deadline.Due(), steady_time{ 6s });
  deadline.NoteProgress(steady_time{ 5s });
  EXPECT_EQ(deadline.Due(), steady_time{ 7s });
}

TEST(ProgressDeadline, NeverExceedsTheAnswerDeadline)
{
  progress_deadline deadline(kLimits, steady_time{}, kAnswerBy);
  deadline.NoteProgress(steady_time{ 59s });
  EXPECT_EQ(deadline.Due(), kAnswerBy);
}

TEST(ProgressDeadline, DoesNotStallWhilePaused)
{
  progress_deadline deadline(kLimits, steady_time{}, kAnswerBy);
  deadline.NoteProgress(steady_time{ 1s });
  deadline.SetPaused(true, steady_time{ 2s });
  EXPECT_FALSE(deadline.IsStalled(steady_time{ 50s }));
  deadline.SetPaused(false, steady_time{ 50s });
  EXPECT_EQ(deadline.Due(), steady_time{ 52s });
}

TEST(LimitsFor, ScaleWithExpectedTimesAboveAMinimum)
{
  EXPECT_EQ(LimitsFor(100ms, 30ms).mFirstToken, 5s);
  EXPECT_EQ(LimitsFor(100ms, 30ms).mBetweenTokens, 2s);
  EXPECT_EQ(LimitsFor(2s, 1s).mFirstToken, 20s);
  EXPECT_EQ(LimitsFor(2s, 1s).mBetweenTokens, 10s);
}

} // namespace
} // namespace sapphirespar::policy
