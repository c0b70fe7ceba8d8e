// Tests of event boundaries, with streams split at random offsets.
#include "sapphirespar/wire/sse_splitter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

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
