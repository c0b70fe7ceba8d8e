// Tests of the upstream directory, load reservations and the prefix cache
// estimate.
#include "sapphirespar/gateway/upstream_directory.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

upstream_entry
Entry(std::string aId, std::int64_t aStartedAtMs = 1)
{
  upstream_entry entry;
  entry.mId = { std::move(aId) };
  entry.mPool = "engines";
  entry.mStartedAtMs = aStartedAtMs;
  return entry;
}

std::vector<std::string>
Names(const upstream_directory& aDirectory)
{
  std::vector<std::string> names;
  for (const auto& member : aDirectory.Members("engines")) {
    names.push_back(member->mEntry.mId.mText);
  }
  return names;
}

using names = std::vector<std::string>;

TEST(UpstreamDirectory, ExcludesDrainingAndRemovedUpstreams)
{
  upstream_directory directory;
  std::vector entries{ Entry("a"), Entry("b"), Entry("c") };
  EXPECT_EQ(
    directory.ApplyList(entries, list_completeness::Complete).mAdded.size(),
    3U);
  entries[1].mDraining = true;
  entries.pop_back();
  const auto change = directory.ApplyList(entries, list_completeness::Complete);
  EXPECT_EQ(change.mDraining.size(), 1U);
  EXPECT_EQ(change.mRemoved.size(), 1U);
  EXPECT_EQ(Names(directory), names{ "a" });
}

TEST(UpstreamDirectory, KeepsUpstreamsMissingFromAPossiblyPartialList)
{
  upstream_directory directory;
  auto draining = Entry("b");
  draining.mDraining = true;
  const std::vector entries{ Entry("a"), draining };
  directory.ApplyList(entries, list_completeness::Complete);
  const auto change =
    directory.ApplyList({}, list_completeness::PossiblyPartial);
  EXPECT_EQ(Names(directory), names{ "a" });
  // A draining upstream that is missing is removed in any case.
  EXPECT_EQ(change.mRemoved.size(), 1U);
  directory.ApplyList({}, list_completeness::Complete);
  EXPECT_TRUE(Names(directory).empty());
}

TEST(UpstreamDirectory, AnIncarnationListedAgainKeepsItsState)
{
  upstream_directory directory;
  const std::vector entries{ Entry("a"), Entry("b") };
  directory.ApplyList(entries, list_completeness::Complete);
  const auto first = directory.Members("engines").front();
  policy::upstream_load load;
  load.mRunning = 1;
  const load_reservation reservation(first, load);
  first->mTurnsAwayUntil = steady_time{ 9s };
  directory.ApplyList(std::vector{ Entry("b") }, list_completeness::Complete);
  EXPECT_TRUE(first->mRemoved);
  directory.ApplyList(entries, list_completeness::Complete);
  EXPECT_FALSE(first->mRemoved);
  EXPECT_EQ(directory.Members("engines").front(), first);
  EXPECT_EQ(directory.OwnLoads().size(), 1U);
}

TEST(UpstreamDirectory, RemembersALimitedNumberOfRemovedUpstreams)
{
  upstream_directory directory;
  std::vector<std::weak_ptr<upstream>> seen;
  for (int count = 0; count < 3000; ++count) {
    directory.ApplyList(std::vector{ Entry("a", count + 1) },
                        list_completeness::Complete);
    seen.push_back(directory.Members("engines").front());
  }
  const auto kept = std::ranges::count_if(
    seen, [](const auto& aUpstream) { return !aUpstream.expired(); });
  EXPECT_EQ(kept, 1025);
}

TEST(UpstreamDirectory, ARestartedUpstreamStartsWithEmptyState)
{
  upstream_directory directory;
  directory.ApplyList(std::vector{ Entry("a", 1) },
                      list_completeness::Complete);
  const auto first = directory.Members("engines").front();
  first->mPrefixCache.Add(std::vector{ prompt_segment{ 7, 100 } },
                          steady_time{ 1s });
  policy::upstream_load load;
  load.mRunning = 1;
  const load_reservation reservation(first, load);
  directory.ApplyList(std::vector{ Entry("a", 2) },
                      list_completeness::Complete);
  const auto second = directory.Members("engines").front();
  EXPECT_NE(first->mKey, second->mKey);
  EXPECT_TRUE(first->mRemoved);
  EXPECT_EQ(second->mPrefixCache.CachedTokens(
              std::vector{ prompt_segment{ 7, 100 } }, steady_time{ 1s }),
            0);
  EXPECT_TRUE(second->mOwnLoad.Empty());
}

TEST(UpstreamDirectory, CountsLoadWhileTheReservationLasts)
{
  upstream_directory directory;
  directory.ApplyList(std::vector{ Entry("a") }, list_completeness::Complete);
  const auto engine = directory.Members("engines").front();
  policy::upstream_load load;
  load.mRunning = 1;
  load.mOtherTokens = 500;
  load.mMemoryTokens = 900;
  {
    load_reservation reservation(engine, load);
    EXPECT_EQ(directory.OwnLoads().at(0).mOtherTokens, 500U);
    reservation.OnFirstEvent();
    EXPECT_EQ(directory.OwnLoads().at(0).mOtherTokens, 0U);
    EXPECT_EQ(directory.OwnLoads().at(0).mMemoryTokens, 900U);
  }
  EXPECT_TRUE(directory.OwnLoads().empty());
}

TEST(UpstreamDirectory, DigestCoversTheFieldsThatMatter)
{
  upstream_directory first;
  upstream_directory second;
  std::vector entries{ Entry("a"), Entry("b") };
  first.ApplyList(entries, list_completeness::Complete);
  second.ApplyList(first.Entries(), list_completeness::Complete);
  EXPECT_EQ(first.Digest(), second.Digest());
  // The remaining cold time, which each heartbeat lowers, is not covered.
  entries[0].mColdRemaining = 30ms;
  first.ApplyList(entries, list_completeness::Complete);
  EXPECT_EQ(first.Digest(), second.Digest());
  entries[0].mDraining = true;
  first.ApplyList(entries, list_completeness::Complete);
  EXPECT_NE(first.Digest(), second.Digest());
  // The data centre matters for the choice of a plain upstream.
  first.ApplyList(second.Entries(), list_completeness::Complete);
  EXPECT_EQ(first.Digest(), second.Digest());
  auto moved = second.Entries();
  moved[0].mDataCentre = { "elsewhere" };
  first.ApplyList(moved, list_completeness::Complete);
  EXPECT_NE(first.Digest(), second.Digest());
  entries[0] = Entry("a", 2);
  second.ApplyList(entries, list_completeness::Complete);
  EXPECT_NE(first.Digest(), second.Digest());
}

TEST(PrefixCacheEstimate, ExpiresUnusedSegments)
{
  prefix_cache_estimate cache;
  const std::vector segment{ prompt_segment{ 7, 100 } };
  cache.Add(segment, steady_time{ 1s });
  EXPECT_EQ(cache.CachedTokens(segment, steady_time{ 31s }), 100);
  EXPECT_EQ(cache.CachedTokens(segment, steady_time{ 32s }), 0);
  for (std::uint64_t key = 0; key < 5000; ++key) {
    cache.Add(std::vector{ prompt_segment{ key, 10 } }, steady_time{ 2s });
  }
  EXPECT_EQ(cache.CachedTokens(std::vector{ prompt_segment{ 4999, 10 } },
                               steady_time{ 2s }),
            10);
}

TEST(PrefixCacheEstimate, CountsLeadingSegmentsOnly)
{
  prefix_cache_estimate cache;
  const prompt_segment root{ 1, 2500 };
  const prompt_segment leaf{ 2, 3800 };
  const prompt_segment otherLeaf{ 3, 3000 };
  cache.Add(std::vector{ root, leaf }, steady_time{ 1s });
  const auto cached = [&](std::vector<prompt_segment> aSegments) {
    return cache.CachedTokens(aSegments, steady_time{ 2s });
  };
  EXPECT_EQ(cached({ root, leaf }), 6300);
  EXPECT_EQ(cached({ root, otherLeaf }), 2500);
  EXPECT_EQ(cached({ otherLeaf, leaf }), 0);
  EXPECT_EQ(cached({}), 0);
}

} // namespace
} // namespace sapphirespar::gateway
