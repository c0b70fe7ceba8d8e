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
