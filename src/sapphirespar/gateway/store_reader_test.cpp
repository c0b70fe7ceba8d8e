// Tests of reading the store, alone and for others, under virtual time.
#include "sapphirespar/gateway/store_reader.hpp"

#include "store_copy_codec.hpp"

#include "sapphirespar/model/fake_platform.hpp"

#include <gtest/gtest.h>

#include <charconv>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

// Routings are numbers, upstreams the port that they listen on.
protocol
NumberProtocol()
{
  protocol made;
  made.mRoutingKind = "config";
  made.mRoutingName = "main";
  made.mUpstreamKind = "servers";
  made.mReadRouting =
    [](std::string_view aValue) -> std::optional<routing_config> {
    routing_config config;
    std::from_chars(
      aValue.data(), aValue.data() + aValue.size(), config.mVersion);
    return config.mVersion > 0 ? std::optional(config) : std::nullopt;
  };
  made.mReadUpstream =
    [](std::string_view aName,
       std::string_view aValue) -> std::optional<upstream_entry> {
    upstream_entry entry;
    entry.mId = { std::string(aName) };
    entry.mPool = "pool";
    std::from_chars(aValue.data(), aValue.data() + aValue.size(), entry.mPort);
    return entry.mPort != 0 ? std::optional(entry) : std::nullopt;
  };
  return made;
}

// One gateway with its own path to the store.
struct reading_gateway
{
  reading_gateway(manual_timer_service& aTimers,
                  std::shared_ptr<fake_store> aStore)
    : mTimers(aTimers)
    , mPlatform(aTimers, std::move(aStore))
    , mReader(mPlatform, aTimers, mProtocol, mRouting, mUpstreams, {}, Hooks())
  {
  }

  boot_time Now() const { return boot_time(mTimers.Now().time_since_epoch()); }

  std::size_t Members() const { return mUpstreams.Members("pool").size(); }

  store_reader_hooks Hooks()
  {
    store_reader_hooks hooks;
    hooks.mNow = [this] { return Now(); };
    hooks.mReaders = [this] {
      std::vector<vm_id> readers;
      if (mPeer) {
        readers.push_back({ "peer" });
      }
      if (mSecondPeer) {
        readers.push_back({ "second" });
      }
      return readers;
    };
    hooks.mIsReader = [this] { return !mPeer || mIsSecond; };
    hooks.mAsk = [this](const vm_id& aVm, summary_callback aDone) {
      ++mAsked;
      const auto* asked = aVm.mText == "second" ? mSecondPeer : mPeer;
      Later([this, asked, aDone] {
        aDone(mPeerAnswers ? asked->mReader.Summary() : std::nullopt);
      });
    };
    hooks.mFetch = [this](const std::optional<vm_id>& aVm,
                          const store_known& aKnown,
                          copy_callback aDone) {
      const auto query = wire::SplitTarget(CopyTarget(aKnown)).mQuery;
      const bool second = aVm && aVm->mText == "second";
      Later([this, known = ReadKnown(query), second, aDone] {
        const auto* from = second ? mSecondPeer : mPeer ? mPeer : mOther;
        const auto copy =
          from && mPeerAnswers ? from->mReader.Copy(known) : std::nullopt;
        const auto text = copy ? EncodeStoreCopy(*copy) : std::string();
        mCopyBytes = text.size();
        aDone(copy ? DecodeStoreCopy(text) : std::nullopt);
      });
    };
    hooks.mChanged = [this] { ++mChanges; };
    return hooks;
  }

  void Later(std::function<void()> aWork)
  {
    mPending.push_back(mTimers.After(mPeerDelay, std::move(aWork)));
  }

  manual_timer_service& mTimers;
  protocol mProtocol = NumberProtocol();
  routing_state mRouting;
  upstream_directory mUpstreams;
  fake_platform mPlatform;
  // Reads the store for this one; null if it reads itself.
  reading_gateway* mPeer = nullptr;
  // Is asked where that one is of no use; may be null.
  reading_gateway* mSecondPeer = nullptr;
  // Reads the store for others where its peer is of no use.
  bool mIsSecond = false;
  // Has read the store, but not for this one.
  reading_gateway* mOther = nullptr;
  bool mPeerAnswers = true;
  std::chrono::milliseconds mPeerDelay{ 1 };
  unsigned mAsked = 0;
  // Of the last copy that was fetched.
  std::size_t mCopyBytes = 0;
  unsigned mChanges = 0;
  std::vector<timer_subscription> mPending;
  store_reader mReader;
};

class store_reads : public testing::Test
{
protected:
  store_reads()
  {
    Write({ "config", "main" }, "7");
    Write({ "servers", "a" }, "80");
    Write({ "servers", "b" }, "81");
  }

  void Write(object_key aKey, std::string aValue)
  {
    const auto* known = mStore->Find(aKey);
    const bool exists = known && !known->mDeleted;
    const auto version = exists ? known->mVersion : kNoObject;
    mStore->Write(aKey, std::move(aValue), false, version);
  }

  void Remove(object_key aKey)
  {
    mStore->Write(aKey, {}, true, mStore->Find(aKey)->mVersion);
  }

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
};

TEST_F(store_reads, FollowsTheStoreWithinItsPeriod)
{
  reading_gateway gateway(mTimers, mStore);
  EXPECT_FALSE(gateway.mReader.Copy());
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  EXPECT_EQ(gateway.mRouting.Version(), 7U);
  EXPECT_EQ(gateway.Members(), 2U);
  Write({ "config", "main" }, "9");
  Remove({ "servers", "a" });
  mTimers.Advance(700ms);
  EXPECT_EQ(gateway.mRouting.Version(), 9U);
  EXPECT_EQ(gateway.Members(), 1U);
  EXPECT_EQ(gateway.mChanges, 4U);
}

TEST_F(store_reads, TakesBackWhatLapsedWhileTheStoreWasAway)
{
  reading_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  gateway.mPlatform.Faults().mOutage = true;
  mTimers.Advance(8s);
  EXPECT_EQ(gateway.Members(), 2U);
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 7s);
  // Both entries lapsed; only one comes back.
  Remove({ "servers", "a" });
  Remove({ "servers", "b" });
  gateway.mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 2U);
  Write({ "servers", "a" }, "80");
  mTimers.Advance(3s);
  EXPECT_EQ(gateway.Members(), 1U);
}

TEST_F(store_reads, AStoreThatWasAwayBrieflyLetsNothingLapse)
{
  reading_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  gateway.mPlatform.Faults().mOutage = true;
  mTimers.Advance(1200ms);
  // Leaves without a word; no server's entry lapses in so short a time.
  Remove({ "servers", "a" });
  gateway.mPlatform.Faults().mOutage = false;
  mTimers.Advance(700ms);
  EXPECT_EQ(gateway.Members(), 1U);
}

TEST_F(store_reads, AsksAgainBeforeItReadsForItself)
{
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  const auto calls = other.mPlatform.Calls().Total();
  // Answers are lost for a moment.
  other.mPeerAnswers = false;
  mTimers.Advance(700ms);
  other.mPeerAnswers = true;
  mTimers.Advance(1s);
  EXPECT_EQ(other.mPlatform.Calls().Total(), calls);
}

TEST_F(store_reads, OneReadsForAnother)
{
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  mTimers.Advance(10ms);
  other.mReader.Start();
  mTimers.Advance(10ms);
  EXPECT_EQ(other.mRouting.Version(), 7U);
  EXPECT_EQ(other.Members(), 2U);
  Write({ "config", "main" }, "9");
  Remove({ "servers", "a" });
  mTimers.Advance(1300ms);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  EXPECT_EQ(other.Members(), 1U);
  EXPECT_EQ(other.mPlatform.Calls().Total(), 0U);
  // Never fresher than the reader's own knowledge.
  EXPECT_GE(other.mRouting.Age(other.Now()), reader.mRouting.Age(reader.Now()));
}

TEST_F(store_reads, NewsIsFetchedAtOnce)
{
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  Write({ "config", "main" }, "9");
  while (reader.mRouting.Version() != 9) {
    mTimers.Advance(10ms);
  }
  other.mReader.Hear(*reader.mReader.Summary());
  mTimers.Advance(20ms);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  const auto asked = other.mAsked;
  other.mReader.Hear(*reader.mReader.Summary());
  mTimers.Advance(20ms);
  EXPECT_EQ(other.mAsked, asked);
}

TEST_F(store_reads, OneThatStartsTakesWhatOthersHaveReadAlsoWithoutTheStore)
{
  reading_gateway sound(mTimers, mStore);
  reading_gateway starting(mTimers, mStore);
  starting.mOther = &sound;
  sound.mReader.Start();
  mTimers.Advance(10ms);
  starting.mPlatform.Faults().mOutage = true;
  starting.mReader.Start();
  mTimers.Advance(10ms);
  EXPECT_EQ(starting.mRouting.Version(), 7U);
  EXPECT_EQ(starting.Members(), 2U);
  EXPECT_EQ(starting.mPlatform.Calls().Total(), 0U);
}

TEST_F(store_reads, FetchesOnlyWhatHasChangedOfALongList)
{
  for (int index = 0; index < 1000; ++index) {
    Write({ "servers", "s" + std::to_string(index) }, "82");
  }
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  mTimers.Advance(10ms);
  other.mReader.Start();
  mTimers.Advance(1s);
  EXPECT_EQ(other.Members(), 1002U);
  const auto whole = other.mCopyBytes;
  Remove({ "servers", "s7" });
  Write({ "servers", "s8" }, "83");
  Write({ "servers", "new" }, "84");
  mTimers.Advance(2s);
  EXPECT_EQ(other.mUpstreams.Entries(), reader.mUpstreams.Entries());
  EXPECT_EQ(other.Members(), 1002U);
  EXPECT_LT(other.mCopyBytes, whole / 50);
}

TEST_F(store_reads, FetchesTheWholeListWhereTheChangesAreForgotten)
{
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  mTimers.Advance(10ms);
  other.mReader.Start();
  mTimers.Advance(1s);
  other.mPeerAnswers = false;
  other.mPlatform.Faults().mOutage = true;
  for (int change = 0; change < 100; ++change) {
    Write({ "servers", "c" + std::to_string(change) }, "82");
    mTimers.Advance(700ms);
  }
  EXPECT_NE(other.mUpstreams.Entries(), reader.mUpstreams.Entries());
  other.mPeerAnswers = true;
  mTimers.Advance(3s);
  EXPECT_EQ(other.mUpstreams.Entries(), reader.mUpstreams.Entries());
}

TEST_F(store_reads, ReadsItselfWhereNoReaderIsOfUse)
{
  reading_gateway reader(mTimers, mStore);
  reading_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  // The reader does not reach the store any more.
  reader.mPlatform.Faults().mOutage = true;
  Write({ "config", "main" }, "9");
  mTimers.Advance(3s);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  // Nor does it answer.
  other.mPeerAnswers = false;
  Write({ "config", "main" }, "11");
  mTimers.Advance(2s);
  EXPECT_EQ(other.mRouting.Version(), 11U);
  EXPECT_LT(other.mRouting.Age(other.Now()), 1s);
}

// While the first reader can't reach the store, one more reads it and not all.
TEST_F(store_reads, FewReadTheStoreWhereTheFirstReaderFails)
{
  reading_gateway first(mTimers, mStore);
  reading_gateway second(mTimers, mStore);
  second.mPeer = &first;
  second.mIsSecond = true;
  reading_gateway other(mTimers, mStore);
  other.mPeer = &first;
  other.mSecondPeer = &second;
  first.mReader.Start();
  mTimers.Advance(10ms);
  second.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  first.mPlatform.Faults().mOutage = true;
  mTimers.Advance(10s);
  Write({ "config", "main" }, "9");
  mTimers.Advance(3s);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  EXPECT_GT(second.mPlatform.Calls().Total(), 10U);
  EXPECT_LE(other.mPlatform.Calls().Total(), 4U);
}

TEST_F(store_reads, WhoIsCutOffFromTheStoreTakesWhatOthersHaveRead)
{
  reading_gateway sound(mTimers, mStore);
  reading_gateway cut(mTimers, mStore);
  cut.mOther = &sound;
  sound.mReader.Start();
  cut.mReader.Start();
  mTimers.Advance(1s);
  cut.mPlatform.Faults().mOutage = true;
  Write({ "config", "main" }, "9");
  mTimers.Advance(3s);
  EXPECT_EQ(cut.mRouting.Version(), 9U);
  EXPECT_LT(cut.mRouting.Age(cut.Now()), 2s);
}

TEST_F(store_reads, KeepsOnWithWhatItKnowsWhenAnEntryCannotBeRead)
{
  reading_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  Write({ "config", "main" }, "nonsense");
  Write({ "servers", "b" }, "nonsense");
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.mRouting.Version(), 7U);
  EXPECT_EQ(gateway.Members(), 1U);
}

} // namespace
} // namespace sapphirespar::gateway
