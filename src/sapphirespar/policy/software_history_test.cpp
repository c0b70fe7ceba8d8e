// Tests of what is concluded from the software versions seen in a pool.
#include "sapphirespar/policy/software_history.hpp"

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPool = 1;
constexpr pool_software kOld{ kPool, 10 };
constexpr pool_software kNew{ kPool, 11 };
constexpr pool_software kOther{ 2, 12 };
constexpr auto kSpan = 30s;

// Lists the versions once a second, from aFrom to aTo.
void
Watch(software_history& aHistory,
      std::initializer_list<pool_software> aListed,
      steady_time aFrom,
      steady_time aTo)
{
  for (auto now = aFrom; now <= aTo; now += 1s) {
    aHistory.Watch(aListed, now);
  }
}

TEST(SoftwareHistory, ConcludesNothingBeforeItCoversTheTime)
{
  software_history history;
  const steady_time start{};
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start));
  Watch(history, {}, start - 40s, start);
  Watch(history, { kOld, kOther }, start, start + 29s);
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start + 29s));
  Watch(history, { kOld, kOther }, start + 30s, start + 30s);
  EXPECT_EQ(history.OnlyVersion(kPool, kSpan, start + 30s), 10U);
}

TEST(SoftwareHistory, ConcludesNothingAfterAGap)
{
  software_history history;
  const steady_time start{};
  Watch(history, { kOld }, start, start + 40s);
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start + 43s));
  Watch(history, { kOld }, start + 43s, start + 72s);
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start + 72s));
  Watch(history, { kOld }, start + 73s, start + 73s);
  EXPECT_EQ(history.OnlyVersion(kPool, kSpan, start + 73s), 10U);
}

TEST(SoftwareHistory, ConcludesNothingWhileAnotherVersionMayHaveBegunStreams)
{
  software_history history;
  const steady_time start{};
  Watch(history, { kOld }, start, start + 39s);
  Watch(history, { kOld, kNew }, start + 40s, start + 40s);
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start + 40s));
  Watch(history, { kNew }, start + 41s, start + 70s);
  EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start + 70s));
  Watch(history, { kNew }, start + 71s, start + 71s);
  EXPECT_EQ(history.OnlyVersion(kPool, kSpan, start + 71s), 11U);
}

TEST(SoftwareHistory, TakesOverWhatAnotherGatewayHasSeen)
{
  const steady_time start{};
  for (const bool seenAll : { false, true }) {
    software_history history;
    Watch(history, { kNew }, start, start);
    history.Merge(std::array{ kNew }, seenAll, kSpan, start);
    EXPECT_EQ(history.OnlyVersion(kPool, kSpan, start).has_value(), seenAll);
    history.Merge(std::array{ kOld }, seenAll, kSpan, start);
    EXPECT_FALSE(history.OnlyVersion(kPool, kSpan, start));
  }
}

} // namespace
} // namespace sapphirespar::policy
