// Tests of event boundaries, with streams split at random offsets.
#include "sapphirespar/wire/sse_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <ctime>

namespace sapphirespar::wire {
namespace {

TEST(SseSplitter, HoldsBackAnIncompleteEvent)
{
  sse_splitter splitter;
  const auto first = splitter.Feed("data: a\n\ndata: b");
  EXPECT_EQ(first.mBytes, "data: a\n\n");
  EXPECT_EQ(first.mCount, 1U);
  EXPECT_FALSE(first.mDone);
  const auto second = splitter.Feed("\n\ndata: [DONE]\n\n");
  EXPECT_EQ(second.mBytes, "data: b\n\ndata: [DONE]\n\n");
  EXPECT_EQ(second.mCount, 1U);
  EXPECT_TRUE(second.mDone);
}

TEST(SseSplitter, ReportsTheLastId)
{
  sse_splitter splitter;
  const auto events = splitter.Feed(
    "id: 7\ndata: a\n\ndata: b\n\nid:8\r\ndata: c\r\n\r\nid: 9\ndata");
  EXPECT_EQ(events.mCount, 3U);
  EXPECT_EQ(events.mLastId, "8");
  EXPECT_EQ(splitter.Remainder(), "id: 9\ndata");
}

TEST(SseSplitter, TellsWhetherAStreamEndsInsideAnEvent)
{
  const auto inside = [](std::string_view aStream) {
    sse_splitter splitter;
    splitter.Feed(aStream);
    return splitter.InsideEvent();
  };
  EXPECT_FALSE(inside(""));
  EXPECT_FALSE(inside("data: a\n\n"));
  EXPECT_FALSE(inside("data: a\r\n\r\n"));
  EXPECT_FALSE(inside("data: a\r\r"));
  EXPECT_FALSE(inside("data: a\n\n\n"));
  EXPECT_FALSE(inside("data: a\n\n: comment\n"));
  EXPECT_FALSE(inside("data: [DONE]\n\n"));
  EXPECT_TRUE(inside("data: a\n"));
  EXPECT_TRUE(inside("data: a\n\nda"));
  EXPECT_TRUE(inside("data: a\n\n: comm"));
  EXPECT_TRUE(inside("data: a\n\nid: 2\n: comment\n"));
  EXPECT_TRUE(inside("data: a\r\n\r\nid: 2\r\n"));
}

TEST(SseSplitter, ReturnsNothingAfterTheEndMarker)
{
  sse_splitter splitter;
  const auto first = splitter.Feed("data: [DONE]\n\ndata: a\n\n");
  EXPECT_EQ(first.mBytes, "data: [DONE]\n\n");
  EXPECT_TRUE(first.mDone);
  const auto second = splitter.Feed("data: b\n\n");
  EXPECT_EQ(second.mBytes, "");
  EXPECT_EQ(second.mCount, 0U);
  EXPECT_FALSE(second.mDone);
  EXPECT_EQ(splitter.Remainder(), "data: a\n\ndata: b\n\n");
}

TEST(SseSplitter, CountsTheBytesAfterTheLastEventWithData)
{
  constexpr std::size_t kLimit = 10;
  const auto overlong = [](std::string_view aStream) {
    sse_splitter splitter(kLimit);
    for (const char& byte : aStream) {
      splitter.Feed({ &byte, 1 });
    }
    return splitter.Overlong();
  };
  EXPECT_FALSE(overlong("data: 1234"));
  EXPECT_TRUE(overlong("data: 12345"));
  EXPECT_FALSE(overlong("data: 1\n\ndata: 2\n\ndata: 3\n\ndata: 1234"));
  EXPECT_TRUE(overlong("data: 1\n\n: c\n\n: c\n\n:"));
  EXPECT_TRUE(overlong("data: 1\n\nid: 1\n\nid: 2\n\n"));
  EXPECT_TRUE(overlong(std::string(kLimit + 1, '\n')));
  EXPECT_TRUE(overlong("data: [DONE]\n\n: 123456789"));
}

// Feeds aText in pieces of aPieceBytes and returns the processor time.
std::clock_t
FeedingTime(std::string_view aText, std::size_t aPieceBytes)
{
  sse_splitter splitter;
  const auto begin = std::clock();
  while (!aText.empty()) {
    const auto piece = aText.substr(0, aPieceBytes);
    splitter.Feed(piece);
    aText.remove_prefix(piece.size());
  }
  return std::clock() - begin;
}

TEST(SseSplitter, TheCostGrowsWithTheBytesOfAnEvent)
{
  constexpr std::size_t kMegabyte = 1U << 20U;
  constexpr std::size_t kPieceBytes = 4096;
  constexpr int kGrowth = 8;
  // Four times the growth of the bytes; with the square it would be eight.
  constexpr int kMaximumRatio = 4 * kGrowth;
  const auto line = "data: " + std::string(kGrowth * kMegabyte, 'x');
  std::string lines;
  while (lines.size() < kGrowth * kMegabyte) {
    lines += "data: x\n";
  }
  for (const std::string_view text : { line, lines }) {
    const auto small = FeedingTime(text.substr(0, kMegabyte), kPieceBytes);
    const auto large = FeedingTime(text, kPieceBytes);
    EXPECT_LT(large, kMaximumRatio * std::max<std::clock_t>(small, 1));
  }
}

// The pieces of a stream give the same events as the whole.
RC_GTEST_PROP(SseSplitter, AnyCutsGiveTheSameEvents, ())
{
  const auto part = rc::gen::elementOf(std::vector<std::string>{ "data: a",
                                                                 "data:",
                                                                 "id: 1",
                                                                 "id:",
                                                                 ": c",
                                                                 "x",
                                                                 "\n",
                                                                 "\r",
                                                                 "\r\n",
                                                                 "\n\n" });
  const auto parts = *rc::gen::container<std::vector<std::string>>(part);
  std::string whole;
  for (const auto& each : parts) {
    whole += each;
  }
  sse_splitter once;
  const auto expected = once.Feed(whole);
  sse_splitter bytewise;
  sse_events events;
  for (const char& byte : whole) {
    const auto more = bytewise.Feed({ &byte, 1 });
    events.mBytes += more.mBytes;
    events.mCount += more.mCount;
    events.mLastId = more.mLastId.empty() ? events.mLastId : more.mLastId;
  }
  RC_ASSERT(events.mBytes + bytewise.Remainder() == whole);
  RC_ASSERT(events.mCount == expected.mCount);
  RC_ASSERT(events.mLastId == expected.mLastId);
  RC_ASSERT(bytewise.InsideEvent() == once.InsideEvent());
  RC_ASSERT(bytewise.BytesSinceData() == once.BytesSinceData() ||
            whole.find("\r\n") != std::string::npos);
}

RC_GTEST_PROP(SseSplitter, TheLineEndsOfAStreamMayDiffer, ())
{
  const auto end =
    *rc::gen::elementOf(std::vector<std::string>{ "\n", "\r\n", "\r" });
  const auto whole = "id: 1" + end + "data: a" + end + end + end + ": c" + end +
                     "data: b" + end + "id: 2" + end + end;
  const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
  sse_splitter splitter;
  const auto first = splitter.Feed(std::string_view(whole).substr(0, cut));
  const auto second = splitter.Feed(std::string_view(whole).substr(cut));
  RC_ASSERT(first.mBytes + second.mBytes + splitter.Remainder() == whole);
  RC_ASSERT(first.mCount + second.mCount == 2U);
  RC_ASSERT(second.mLastId == "2" || first.mLastId == "2");
  RC_ASSERT(!splitter.InsideEvent());
}

RC_GTEST_PROP(SseSplitter, SplittingTheStreamDoesNotChangeIt, ())
{
  const std::string whole =
    "data: one\n\n: comment\n\ndata: two\n\ndata: [DONE]\n\n";
  const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
  sse_splitter splitter;
  const auto first = splitter.Feed(std::string_view(whole).substr(0, cut));
  const auto second = splitter.Feed(std::string_view(whole).substr(cut));
  RC_ASSERT(first.mBytes + second.mBytes == whole);
  RC_ASSERT(first.mCount + second.mCount == 2U);
  RC_ASSERT(second.mDone);
}

} // namespace
} // namespace sapphirespar::wire
