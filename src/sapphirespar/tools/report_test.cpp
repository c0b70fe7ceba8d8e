// Tests that reports count every outcome once and detect every broken promise,
// and that streamed answers are parsed.
#include "sapphirespar/tools/report.hpp"

#include "sse_reader.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace sapphirespar::tools {
namespace {

using namespace std::chrono_literals;

workload
OneClassWorkload()
{
  workload work;
  work.mName = "one class";
  work.mDuration = 1000ms;
  class_load load;
  load.mClass = "booking";
  load.mFirstTokenTarget = 100ms;
  load.mAnswerTarget = 200ms;
  work.mClasses.push_back(load);
  return work;
}

call_record
AnsweredCall(std::string aKey, std::chrono::microseconds aTotal = 50ms)
{
  call_record call;
  call.mOutcome = outcome::Done;
  call.mAnswered = true;
  call.mCheck = answer_check::Complete;
  call.mOnlyNotRun = false;
  call.mTotal = aTotal;
  call.mTokens = 10;
  call.mTries = 1;
  call.mKeys = { std::move(aKey) };
  return call;
}

call_record
RefusedCall(std::string aKey)
{
  call_record call;
  call.mOutcome = outcome::NotRun;
  call.mReason = "queue_full";
  call.mKeys = { std::move(aKey) };
  return call;
}

const promise_report&
Promise(const load_report& aReport, std::string_view aName)
{
  return *std::ranges::find(aReport.mPromises, aName, &promise_report::mName);
}

TEST(Report, CountsEveryOutcomeOnce)
{
  load_outcome outcome;
  outcome.mCalls = { AnsweredCall("a"),
                     AnsweredCall("b", 300ms),
                     RefusedCall("c") };
  call_record lost = RefusedCall("d");
  lost.mOutcome = sapphirespar::outcome::Unknown;
  lost.mOnlyNotRun = false;
  outcome.mCalls.push_back(lost);
  outcome.mAudit.mRuns = { { "a", 1 }, { "b", 1 }, { "d", 1 } };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  const auto& item = report.mClasses.front();
  EXPECT_EQ(item.mOffered, 4U);
  EXPECT_EQ(item.mInTime, 1U);
  EXPECT_EQ(item.mLate, 1U);
  EXPECT_EQ(item.mRefused, 1U);
  EXPECT_EQ(item.mUnknown, 1U);
  EXPECT_EQ(item.mGoodTokens, 10U);
  EXPECT_EQ(item.mWastedTokens, 10U);
  EXPECT_DOUBLE_EQ(item.Attainment(), 0.25);
  EXPECT_TRUE(report.KeptAllPromises());
}

TEST(Report, DetectsARunReportedAsNotRun)
{
  load_outcome outcome;
  outcome.mCalls = { RefusedCall("a") };
  outcome.mAudit.mRuns = { { "a", 1 } };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  EXPECT_EQ(Promise(report, "not_run_was_not_run").mBroken, 1U);
  EXPECT_FALSE(report.KeptAllPromises());
}

TEST(Report, DetectsABookingThatRanTwiceUnderTwoKeys)
{
  load_outcome outcome;
  outcome.mCalls = { AnsweredCall("b") };
  outcome.mCalls.front().mKeys = { "a", "b" };
  outcome.mAudit.mRuns = { { "a", 1 }, { "b", 1 } };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  EXPECT_EQ(Promise(report, "runs_at_most_once").mBroken, 1U);
}

TEST(Report, DetectsADoneCallThatNeverRan)
{
  load_outcome outcome;
  outcome.mCalls = { AnsweredCall("a") };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  EXPECT_EQ(Promise(report, "done_did_run").mBroken, 1U);
}

TEST(Report, DetectsTruncatedAnswersAndAnswersToOtherRequests)
{
  load_outcome outcome;
  outcome.mCalls = { AnsweredCall("a"), AnsweredCall("b") };
  outcome.mCalls[0].mCheck = answer_check::Truncated;
  outcome.mCalls[1].mCheck = answer_check::OtherRequest;
  outcome.mAudit.mRuns = { { "a", 1 }, { "b", 1 } };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  EXPECT_EQ(Promise(report, "answers_end_whole").mBroken, 2U);
  EXPECT_EQ(Promise(report, "text_is_the_callers_own").mBroken, 1U);
}

TEST(Report, ReadsBackWhatItWrote)
{
  load_outcome outcome;
  outcome.mCalls = { AnsweredCall("a"), RefusedCall("b") };
  outcome.mAudit.mRuns = { { "a", 1 } };
  const auto report = MakeReport(OneClassWorkload(), outcome);
  const std::string path = testing::TempDir() + "sapphirespar-report.json";
  std::ofstream(path) << ToJsonText(report);
  const auto read = ReadReport(path);
  std::remove(path.c_str());
  ASSERT_TRUE(read);
  EXPECT_EQ(ToJsonText(*read), ToJsonText(report));
  EXPECT_NE(ToSvg(*read).find("booking"), std::string::npos);
  EXPECT_NE(Compare(*read, report).find("booking"), std::string::npos);
}

TEST(SseReader, SplitsEventsForEveryChunkSize)
{
  const std::string body =
    ": keep-alive\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"one \"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"two\"}}]}\n\n"
    "data: [DONE]\n\n";
  for (std::size_t step = 1; step < body.size(); ++step) {
    sse_reader reader;
    for (std::size_t at = 0; at < body.size(); at += step) {
      reader.Add(std::string_view(body).substr(at, step));
    }
    EXPECT_EQ(reader.Text(), "one two");
    EXPECT_EQ(reader.Tokens(), 2U);
    EXPECT_TRUE(reader.Done());
  }
}

TEST(SseReader, KeepsTheOutcomeOfAnErrorEvent)
{
  sse_reader reader;
  reader.Add("data: {\"error\":{\"code\":\"upstream_failed\","
             "\"outcome\":\"unknown\"}}\n\n");
  EXPECT_EQ(reader.ErrorOutcome(), "unknown");
  EXPECT_FALSE(reader.Done());
}

} // namespace
} // namespace sapphirespar::tools
