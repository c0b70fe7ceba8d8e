// Tests of the upstreams that a gateway knows.
#include "sapphirespar/gateway/upstream_directory.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

upstream_entry
Entry(std::string aId, std::int64_t aBorn = 1)
{
  upstream_entry entry;
  entry.mId = { std::move(aId) };
  entry.mPool = "engines";
  entry.mStartedAtMs = aBorn;
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

TEST(UpstreamDirectory, GivesNoWorkToWhatDrainsOrIsGone)
{
  upstream_directory directory;
  std::vector entries{ Entry("a"), Entry("b"), Entry("c") };
  EXPECT_EQ(directory.ApplyList(entries, list_trust::Whole).mAdded.size(), 3U);
  entries[1].mDraining = true;
  entries.pop_back();
  const auto change = directory.ApplyList(entries, list_trust::Whole);
  EXPECT_EQ(change.mDraining.size(), 1U);
  EXPECT_EQ(change.mGone.size(), 1U);
  EXPECT_EQ(Names(directory), names{ "a" });
}

TEST(UpstreamDirectory, KeepsWhatMayHaveLapsedWhileTheStoreWasAway)
{
  upstream_directory directory;
  auto draining = Entry("b");
  draining.mDraining = true;
  const std::vector entries{ Entry("a"), draining };
  directory.ApplyList(entries, list_trust::Whole);
  const auto back = directory.ApplyList({}, list_trust::JustBack);
  EXPECT_EQ(Names(directory), names{ "a" });
  // What was leaving has left.
  EXPECT_EQ(back.mGone.size(), 1U);
  directory.ApplyList({}, list_trust::Whole);
  EXPECT_TRUE(Names(directory).empty());
}

TEST(UpstreamDirectory, ANewLifeUnderAnOldNameStartsAnew)
{
  upstream_directory directory;
  directory.ApplyList(std::vector{ Entry("a", 1) }, list_trust::Whole);
  const auto first = directory.Members("engines").front();
  first->mPrompts.Add(7, steady_time{ 1s });
  policy::upstream_load load;
  load.mRunning = 1;
  const work_ticket ticket(first, load);
  directory.ApplyList(std::vector{ Entry("a", 2) }, list_trust::Whole);
  const auto second = directory.Members("engines").front();
  EXPECT_NE(first->mKey, second->mKey);
  EXPECT_TRUE(first->mGone);
  EXPECT_FALSE(second->mPrompts.Holds(7, steady_time{ 1s }));
  EXPECT_TRUE(second->mOwn.Empty());
}

TEST(UpstreamDirectory, CountsWorkForAsLongAsItLasts)
{
  upstream_directory directory;
  directory.ApplyList(std::vector{ Entry("a") }, list_trust::Whole);
  const auto engine = directory.Members("engines").front();
  policy::upstream_load load;
  load.mRunning = 1;
  load.mOtherTokens = 500;
  load.mMemoryTokens = 900;
  {
    work_ticket ticket(engine, load);
    EXPECT_EQ(directory.OwnLoads().at(0).mOtherTokens, 500U);
    ticket.FirstEvent();
    EXPECT_EQ(directory.OwnLoads().at(0).mOtherTokens, 0U);
    EXPECT_EQ(directory.OwnLoads().at(0).mMemoryTokens, 900U);
  }
  EXPECT_TRUE(directory.OwnLoads().empty());
}

TEST(UpstreamDirectory, ItsDigestFollowsWhatMatters)
{
  upstream_directory first;
  upstream_directory second;
  std::vector entries{ Entry("a"), Entry("b") };
  first.ApplyList(entries, list_trust::Whole);
  second.ApplyList(first.Entries(), list_trust::Whole);
  EXPECT_EQ(first.Digest(), second.Digest());
  // A heartbeat that only counts down changes nothing.
  entries[0].mColdRemaining = 30ms;
  first.ApplyList(entries, list_trust::Whole);
  EXPECT_EQ(first.Digest(), second.Digest());
  entries[0].mDraining = true;
  first.ApplyList(entries, list_trust::Whole);
  EXPECT_NE(first.Digest(), second.Digest());
  entries[0] = Entry("a", 2);
  second.ApplyList(entries, list_trust::Whole);
  EXPECT_NE(first.Digest(), second.Digest());
}

TEST(PromptMemory, ForgetsWhatNobodyUsed)
{
  prompt_memory memory;
  memory.Add(7, steady_time{ 1s });
  EXPECT_TRUE(memory.Holds(7, steady_time{ 31s }));
  EXPECT_FALSE(memory.Holds(7, steady_time{ 32s }));
  for (std::uint64_t key = 0; key < 5000; ++key) {
    memory.Add(key, steady_time{ 2s });
  }
  EXPECT_TRUE(memory.Holds(4999, steady_time{ 2s }));
}

} // namespace
} // namespace sapphirespar::gateway
