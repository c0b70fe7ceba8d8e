// Tests of the encoding and decoding of store snapshots.
#include "store_snapshot_codec.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

upstream_entry
Entry(std::string aId)
{
  upstream_entry entry;
  entry.mId = { std::move(aId) };
  entry.mPool = "pool";
  entry.mAddress = "10.0.0.9";
  entry.mPort = 80;
  entry.mDataCentre = { "galle" };
  entry.mSlots = 12;
  entry.mDraining = true;
  entry.mStartedAtMs = 1'700'000'000'000;
  return entry;
}

store_snapshot
Sample()
{
  store_snapshot snapshot;
  snapshot.mRouting.mVersion = 5;
  snapshot.mRouting.mValue = "7";
  snapshot.mUpstreams = { Entry("a"), Entry("b") };
  snapshot.mUpstreamsDigest = 0xfffffffffffffff0ULL;
  snapshot.mRoutingAge = 20ms;
  snapshot.mUpstreamsAge = 30ms;
  snapshot.mGateways = { { { "vm-2" }, "10.0.0.2" } };
  return snapshot;
}

TEST(StoreSnapshotCodec, KeepsEveryField)
{
  const auto snapshot = Sample();
  const auto read = DecodeStoreSnapshot(EncodeStoreSnapshot(snapshot));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mRouting.mVersion, 5U);
  EXPECT_EQ(read->mRouting.mValue, "7");
  EXPECT_EQ(read->mUpstreams, snapshot.mUpstreams);
  EXPECT_FALSE(read->mDelta);
  EXPECT_EQ(read->mUpstreamsDigest, snapshot.mUpstreamsDigest);
  EXPECT_EQ(read->mRoutingAge, 20ms);
  EXPECT_EQ(read->mUpstreamsAge, 30ms);
  EXPECT_EQ(read->mGateways, snapshot.mGateways);
}

TEST(StoreSnapshotCodec, KeepsADelta)
{
  auto snapshot = Sample();
  snapshot.mUpstreams.clear();
  snapshot.mDelta = upstream_delta{ 9, { Entry("c") }, { { "a" } } };
  const auto read = DecodeStoreSnapshot(EncodeStoreSnapshot(snapshot));
  ASSERT_TRUE(read);
  ASSERT_TRUE(read->mDelta);
  EXPECT_EQ(read->mDelta->mBase, 9U);
  EXPECT_EQ(read->mDelta->mChanged, snapshot.mDelta->mChanged);
  EXPECT_EQ(read->mDelta->mRemoved, snapshot.mDelta->mRemoved);
}

TEST(StoreSnapshotCodec, RejectsADamagedSnapshot)
{
  EXPECT_FALSE(DecodeStoreSnapshot("{}"));
  EXPECT_FALSE(DecodeStoreSnapshot("nonsense"));
  const auto text = EncodeStoreSnapshot(Sample());
  EXPECT_FALSE(DecodeStoreSnapshot(text.substr(0, text.size() / 2)));
}

TEST(StoreSnapshotCodec, KeepsKnownVersionsAndIgnoresMalformedOnes)
{
  const auto target = SnapshotTarget({ 5, 0xfffffffffffffff0ULL });
  const auto known = ParseKnownVersions(target.substr(target.find('?') + 1));
  EXPECT_EQ(known.mRoutingRevision, 5U);
  EXPECT_EQ(known.mUpstreamsDigest, 0xfffffffffffffff0ULL);
  EXPECT_EQ(ParseKnownVersions("routing=x").mRoutingRevision, kNoObject);
  EXPECT_EQ(ParseKnownVersions("").mUpstreamsDigest, 0U);
}

} // namespace
} // namespace sapphirespar::gateway
