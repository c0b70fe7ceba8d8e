// Tests of the store reader with one and with several gateways, under virtual
// time.
#include "store_reader_fixture_test.hpp"

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

TEST_F(store_reader_test, FollowsTheStoreWithinItsPeriod)
{
  test_gateway gateway(mTimers, mStore);
  EXPECT_FALSE(gateway.mReader.Snapshot());
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

TEST_F(store_reader_test, KeepsUpstreamsWhoseEntriesExpiredInAnOutage)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  gateway.mPlatform.Faults().mOutage = true;
  mTimers.Advance(8s);
  EXPECT_EQ(gateway.Members(), 2U);
  EXPECT_GT(gateway.mRouting.Age(gateway.Now()), 7s);
  // Both entries have expired. Only one is written again.
  Remove({ "servers", "a" });
  Remove({ "servers", "b" });
  gateway.mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  EXPECT_EQ(gateway.Members(), 2U);
  Write({ "servers", "a" }, "80");
  mTimers.Advance(3s);
  EXPECT_EQ(gateway.Members(), 1U);
}

TEST_F(store_reader_test, RemovesMissingUpstreamsAfterAShortOutage)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  gateway.mPlatform.Faults().mOutage = true;
  mTimers.Advance(1200ms);
  // The upstream leaves without draining. Entries don't expire in so short an
  // outage, so a missing one was removed.
  Remove({ "servers", "a" });
  gateway.mPlatform.Faults().mOutage = false;
  mTimers.Advance(700ms);
  EXPECT_EQ(gateway.Members(), 1U);
}

TEST_F(store_reader_test, AnEntryThatBecomesUnreadableNamesNoUpstream)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  Write({ "servers", "a" }, "nonsense");
  Write({ "servers", "other" }, "nonsense");
  mTimers.Advance(700ms);
  EXPECT_EQ(gateway.Members(), 1U);
  EXPECT_EQ(gateway.mReader.UnreadableEntries(),
            (std::vector<std::string>{ "a", "other" }));
  Write({ "servers", "a" }, "80");
  mTimers.Advance(700ms);
  EXPECT_EQ(gateway.Members(), 2U);
  EXPECT_EQ(gateway.mReader.UnreadableEntries(),
            std::vector<std::string>{ "other" });
}

TEST_F(store_reader_test, AnEntryThatBecomesUnreadableInAnOutageIsNotKept)
{
  test_gateway gateway(mTimers, mStore);
  gateway.mReader.Start();
  mTimers.Advance(10ms);
  gateway.mPlatform.Faults().mOutage = true;
  mTimers.Advance(8s);
  Remove({ "servers", "a" });
  Write({ "servers", "b" }, "nonsense");
  gateway.mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  // The missing entry may be written again; the other one was.
  EXPECT_EQ(gateway.Members(), 1U);
}

TEST_F(store_reader_test, RetriesQueriesBeforeReadingTheStore)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  const auto calls = other.mPlatform.Calls().Total();
  // Answers are lost for a short time.
  other.mPeerAnswers = false;
  mTimers.Advance(700ms);
  other.mPeerAnswers = true;
  mTimers.Advance(1s);
  EXPECT_EQ(other.mPlatform.Calls().Total(), calls);
}

TEST_F(store_reader_test, OneGatewayReadsForAnother)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
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
  // The data are never taken to be fresher than the reader's own.
  EXPECT_GE(other.mRouting.Age(other.Now()), reader.mRouting.Age(reader.Now()));
}

TEST_F(store_reader_test, FetchesANewVersionAtOnce)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  Write({ "config", "main" }, "9");
  while (reader.mRouting.Version() != 9) {
    mTimers.Advance(10ms);
  }
  other.mReader.OnPeerSummary(*reader.mReader.Summary());
  mTimers.Advance(20ms);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  const auto queries = other.mQueries;
  other.mReader.OnPeerSummary(*reader.mReader.Summary());
  mTimers.Advance(20ms);
  EXPECT_EQ(other.mQueries, queries);
}

TEST_F(store_reader_test, StartsWithASnapshotWhileTheStoreIsUnavailable)
{
  test_gateway connected(mTimers, mStore);
  test_gateway starting(mTimers, mStore);
  starting.mOther = &connected;
  connected.mReader.Start();
  mTimers.Advance(10ms);
  starting.mPlatform.Faults().mOutage = true;
  starting.mReader.Start();
  mTimers.Advance(10ms);
  EXPECT_EQ(starting.mRouting.Version(), 7U);
  EXPECT_EQ(starting.Members(), 2U);
  EXPECT_EQ(starting.mPlatform.Calls().Total(), 0U);
}

TEST_F(store_reader_test, FetchesOnlyTheChangesOfALongList)
{
  for (int index = 0; index < 1000; ++index) {
    Write({ "servers", "s" + std::to_string(index) }, "82");
  }
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  mTimers.Advance(10ms);
  other.mReader.Start();
  mTimers.Advance(1s);
  EXPECT_EQ(other.Members(), 1002U);
  Remove({ "servers", "s7" });
  Write({ "servers", "s8" }, "83");
  Write({ "servers", "new" }, "84");
  mTimers.Advance(2s);
  EXPECT_EQ(other.mUpstreams.Entries(), reader.mUpstreams.Entries());
  EXPECT_EQ(other.Members(), 1002U);
  // At least 100 bytes describe an upstream in a list that is not packed.
  constexpr std::size_t kListBytes = 1002 * 100;
  EXPECT_LT(other.mSnapshotBytes, kListBytes / 50);
}

TEST_F(store_reader_test, FetchesTheFullListIfTheChangesAreNoLongerKept)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
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

TEST_F(store_reader_test, ReadsTheStoreIfNoReaderHasRecentData)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  // The reader can't reach the store.
  reader.mPlatform.Faults().mOutage = true;
  Write({ "config", "main" }, "9");
  mTimers.Advance(3s);
  EXPECT_EQ(other.mRouting.Version(), 9U);
  // The reader does not answer either.
  other.mPeerAnswers = false;
  Write({ "config", "main" }, "11");
  mTimers.Advance(2s);
  EXPECT_EQ(other.mRouting.Version(), 11U);
  EXPECT_LT(other.mRouting.Age(other.Now()), 1s);
}

// While the first reader can't reach the store, only the second one reads it.
// Otherwise all gateways would.
TEST_F(store_reader_test, OnlyTheNextReaderReadsTheStoreIfTheFirstFails)
{
  test_gateway first(mTimers, mStore);
  test_gateway second(mTimers, mStore);
  second.mPeer = &first;
  second.mIsSecond = true;
  test_gateway other(mTimers, mStore);
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

// When a whole fleet starts, a gateway copies from the first one that has read
// the store instead of reading it too.
// The first reader was cut off for seconds. It can't tell whether entries that
// are missing now have expired in an outage of the store, and keeps them for a
// while. Others have read meanwhile that the upstream left, and requests would
// reach it long after that.
TEST_F(store_reader_test,
       Fault_Partition_Drain_Upstream_AReaderThatReturnsBringsNothingBack)
{
  test_gateway first(mTimers, mStore);
  test_gateway second(mTimers, mStore);
  test_gateway third(mTimers, mStore);
  second.mPeer = &first;
  second.mIsSecond = true;
  third.mPeer = &first;
  third.mSecondPeer = &second;
  first.mReader.Start();
  second.mReader.Start();
  third.mReader.Start();
  mTimers.Advance(1s);
  first.mPlatform.Faults().mOutage = true;
  mTimers.Advance(2s);
  Remove({ "servers", "a" });
  mTimers.Advance(2s);
  EXPECT_EQ(third.Members(), 1U);
  first.mPlatform.Faults().mOutage = false;
  for (int step = 0; step < 40; ++step) {
    mTimers.Advance(100ms);
    EXPECT_EQ(third.Members(), 1U) << step;
  }
  EXPECT_EQ(first.Members(), 1U);
  // Another one that is listed again is taken.
  Write({ "servers", "a" }, "80");
  mTimers.Advance(2s);
  EXPECT_EQ(third.Members(), 2U);
}

// A gateway that has just started knows of no upstream that left.
TEST_F(store_reader_test, ANewGatewayTakesEntriesThatMayReturn)
{
  test_gateway first(mTimers, mStore);
  first.mReader.Start();
  mTimers.Advance(1s);
  first.mPlatform.Faults().mOutage = true;
  mTimers.Advance(4s);
  Remove({ "servers", "a" });
  first.mPlatform.Faults().mOutage = false;
  mTimers.Advance(1s);
  test_gateway started(mTimers, mStore);
  started.mPeer = &first;
  started.mReader.Start();
  mTimers.Advance(100ms);
  EXPECT_EQ(started.Members(), 2U);
}

TEST_F(store_reader_test, AGatewayWithoutDataWaitsForACopy)
{
  store_reader_settings patient;
  patient.mFirstReadPatience = 3s;
  test_gateway first(mTimers, mStore);
  test_gateway other(mTimers, mStore, patient);
  other.mOther = &first;
  other.mReader.Start();
  mTimers.Advance(1s);
  EXPECT_FALSE(other.mReader.Snapshot());
  first.mReader.Start();
  mTimers.Advance(500ms);
  EXPECT_EQ(other.mRouting.Version(), 7U);
  EXPECT_EQ(other.Members(), 2U);
  EXPECT_EQ(other.mPlatform.Calls().Total(), 0U);
}

TEST_F(store_reader_test, AGatewayWithoutACopyReadsTheStoreAfterItsPatience)
{
  store_reader_settings patient;
  patient.mFirstReadPatience = 3s;
  test_gateway alone(mTimers, mStore, patient);
  alone.mReader.Start();
  mTimers.Advance(2900ms);
  EXPECT_EQ(alone.mPlatform.Calls().Total(), 0U);
  mTimers.Advance(500ms);
  EXPECT_EQ(alone.mRouting.Version(), 7U);
}

// In an outage of the store hundreds of gateways would otherwise call it every
// second. Queries to the readers go on, so that its return is noticed at once.
TEST_F(store_reader_test, GatewaysThatAreNoReadersCallAStoreThatIsDownRarely)
{
  test_gateway reader(mTimers, mStore);
  test_gateway other(mTimers, mStore);
  other.mPeer = &reader;
  reader.mReader.Start();
  other.mReader.Start();
  mTimers.Advance(1s);
  reader.mPlatform.Faults().mOutage = true;
  other.mPlatform.Faults().mOutage = true;
  const auto calls = other.mPlatform.Calls().Total();
  const auto queries = other.mQueries;
  mTimers.Advance(20s);
  EXPECT_LE(other.mPlatform.Calls().Total() - calls, 8U);
  EXPECT_GE(other.mQueries - queries, 10U);
  Write({ "config", "main" }, "9");
  reader.mPlatform.Faults().mOutage = false;
  mTimers.Advance(1500ms);
  EXPECT_EQ(other.mRouting.Version(), 9U);
}

TEST_F(store_reader_test, FetchesFromOthersIfTheStoreIsUnreachable)
{
  test_gateway connected(mTimers, mStore);
  test_gateway isolated(mTimers, mStore);
  isolated.mOther = &connected;
  connected.mReader.Start();
  isolated.mReader.Start();
  mTimers.Advance(1s);
  isolated.mPlatform.Faults().mOutage = true;
  Write({ "config", "main" }, "9");
  mTimers.Advance(3s);
  EXPECT_EQ(isolated.mRouting.Version(), 9U);
  EXPECT_LT(isolated.mRouting.Age(isolated.Now()), 2s);
}

TEST_F(store_reader_test, KeepsTheRoutingButDropsAnUpstreamIfMalformed)
{
  test_gateway gateway(mTimers, mStore);
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
