// Tests prefix hints: late events, gaps, engine restarts and expiry.
#include "sapphirespar/upstream/prefix_hints.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;
using prefix_list = std::vector<std::uint64_t>;

const upstream_id kEngine{ "engine-1" };

TEST(PrefixHints, FollowsEventsNewestFirst)
{
  prefix_hints hints;
  const steady_time now{};
  hints.Apply(kEngine, { { { 1, true, 7 } }, 2 }, now);
  hints.Apply(kEngine, { { { 2, true, 8 } }, 3 }, now + 1s);
  EXPECT_EQ(hints.Prefixes(kEngine, now + 1s), (prefix_list{ 8, 7 }));
  EXPECT_EQ(hints.NextEvent(kEngine), 3U);
  hints.Apply(kEngine, { { { 3, false, 8 } }, 4 }, now + 2s);
  EXPECT_EQ(hints.Prefixes(kEngine, now + 2s), (prefix_list{ 7 }));
}

TEST(PrefixHints, ExpireWhenAnEvictionWasMissed)
{
  prefix_hints hints;
  const steady_time now{};
  hints.Touch(kEngine, 7, now);
  hints.Touch(kEngine, 8, now + 100s);
  EXPECT_EQ(hints.Prefixes(kEngine, now + 130s), (prefix_list{ 8 }));
  EXPECT_TRUE(hints.Prefixes(kEngine, now + 300s).empty());
}

TEST(PrefixHints, ARestartedEngineHoldsNothing)
{
  prefix_hints hints;
  const steady_time now{};
  hints.Apply(kEngine, { { { 40, true, 7 } }, 41 }, now);
  hints.Apply(kEngine, { { { 1, true, 9 } }, 2 }, now + 1s);
  EXPECT_EQ(hints.Prefixes(kEngine, now + 1s), (prefix_list{ 9 }));
  EXPECT_EQ(hints.NextEvent(kEngine), 2U);
}

TEST(PrefixHints, KeepABoundedNumber)
{
  prefix_hints hints;
  const steady_time now{};
  for (std::uint64_t prefix = 1; prefix <= 1000; ++prefix) {
    hints.Touch(kEngine, prefix, now + std::chrono::milliseconds(prefix));
  }
  const auto kept = hints.Prefixes(kEngine, now + 1s);
  EXPECT_EQ(kept.size(), 256U);
  EXPECT_EQ(kept.front(), 1000U);
}

TEST(CacheReport, ReadsEventsAndRefusesAnythingElse)
{
  const auto report = ReadCacheReport(
    R"({"events":[{"number":3,"kind":"stored","prefix":18446744073709551615},)"
    R"({"number":4,"kind":"evicted","prefix":5}],"next":5})");
  ASSERT_TRUE(report);
  ASSERT_EQ(report->mEvents.size(), 2U);
  EXPECT_EQ(report->mEvents[0].mPrefix, 18446744073709551615U);
  EXPECT_FALSE(report->mEvents[1].mStored);
  EXPECT_FALSE(ReadCacheReport("not json"));
  EXPECT_FALSE(ReadCacheReport(R"({"events":[{"number":1}],"next":2})"));
  EXPECT_FALSE(ReadCacheReport(R"({"events":[]})"));
}

} // namespace
} // namespace sapphirespar::upstream
