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
  entry.mSoftware = "v1";
  entry.mPreemptible = entry.mId.mText == "b";
  entry.mMissing = entry.mId.mText == "b";
  return entry;
}

store_snapshot
Sample()
{
  store_snapshot snapshot;
  snapshot.mEra = 3;
  snapshot.mRestoreAge = 40ms;
  snapshot.mFormer = { 5, 0xfffffffffffffff1ULL };
  snapshot.mRoutingVersion = 5;
  snapshot.mRouting = "7";
  snapshot.mUpstreams = { Entry("a"), Entry("b") };
  snapshot.mUpstreamsDigest = 0xfffffffffffffff0ULL;
  snapshot.mRoutingAge = 20ms;
  snapshot.mUpstreamsAge = 30ms;
  snapshot.mGateways = { { { "vm-2" }, "10.0.0.2" } };
  return snapshot;
}

TEST(StoreSnapshotCodec, KeepsEveryField)
{
  routing_packer packer;
  const auto snapshot = Sample();
  const auto read = DecodeStoreSnapshot(EncodeStoreSnapshot(snapshot, packer));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mEra, 3U);
  EXPECT_EQ(read->mRestoreAge, 40ms);
  EXPECT_EQ(read->mFormer, snapshot.mFormer);
  EXPECT_EQ(read->mRoutingVersion, 5U);
  EXPECT_EQ(read->mRouting, "7");
  EXPECT_EQ(read->mUpstreams, snapshot.mUpstreams);
  EXPECT_FALSE(read->mDelta);
  EXPECT_EQ(read->mUpstreamsDigest, snapshot.mUpstreamsDigest);
  EXPECT_EQ(read->mRoutingAge, 20ms);
  EXPECT_EQ(read->mUpstreamsAge, 30ms);
  EXPECT_EQ(read->mGateways, snapshot.mGateways);
}

// A routing with thousands of routes and a long list of upstreams are sent in a
// fraction of their size, and each version of the routing is packed anew.
TEST(StoreSnapshotCodec, PacksLargeParts)
{
  routing_packer packer;
  auto snapshot = Sample();
  for (const std::string name : { "r-", "s-" }) {
    snapshot.mRoutingVersion += 1;
    snapshot.mRouting.clear();
    for (int route = 0; route < 2000; ++route) {
      snapshot.mRouting += R"({"name":")" + name + std::to_string(route) +
                           R"(","path_prefix":"/p/","timeout_ms":900})";
    }
    snapshot.mUpstreams.assign(160, Entry("some-upstream"));
    const auto text = EncodeStoreSnapshot(snapshot, packer);
    EXPECT_LT(text.size(), snapshot.mRouting.size() / 4);
    const auto read = DecodeStoreSnapshot(text);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->mRouting, snapshot.mRouting);
    EXPECT_EQ(read->mUpstreams, snapshot.mUpstreams);
  }
}

TEST(StoreSnapshotCodec, RejectsMalformedPackedParts)
{
  routing_packer packer;
  auto snapshot = Sample();
  snapshot.mRouting.assign(5000, 'x');
  const auto text = EncodeStoreSnapshot(snapshot, packer);
  ASSERT_TRUE(DecodeStoreSnapshot(text));
  auto broken = text;
  const auto packed = broken.find("packed") + 15;
  broken[packed] = broken[packed] == 'A' ? 'B' : 'A';
  EXPECT_FALSE(DecodeStoreSnapshot(broken));
}

TEST(StoreSnapshotCodec, KeepsADelta)
{
  routing_packer packer;
  auto snapshot = Sample();
  snapshot.mUpstreams.clear();
  snapshot.mDelta = upstream_delta{ 9, { Entry("c") }, { { "a" } } };
  const auto read = DecodeStoreSnapshot(EncodeStoreSnapshot(snapshot, packer));
  ASSERT_TRUE(read);
  ASSERT_TRUE(read->mDelta);
  EXPECT_EQ(read->mDelta->mBase, 9U);
  EXPECT_EQ(read->mDelta->mChanged, snapshot.mDelta->mChanged);
  EXPECT_EQ(read->mDelta->mRemoved, snapshot.mDelta->mRemoved);
}

TEST(StoreSnapshotCodec, RejectsADamagedSnapshot)
{
  routing_packer packer;
  EXPECT_FALSE(DecodeStoreSnapshot("{}"));
  EXPECT_FALSE(DecodeStoreSnapshot("nonsense"));
  const auto text = EncodeStoreSnapshot(Sample(), packer);
  EXPECT_FALSE(DecodeStoreSnapshot(text.substr(0, text.size() / 2)));
}

// Gateways of the former version tell the revision of the routing. They serve
// their copies at another path, and their texts are no copies here.
TEST(StoreSnapshotCodec, RejectsACopyInTheFormerFormat)
{
  EXPECT_FALSE(DecodeStoreSnapshot(
    R"({"routing":{"version":5,"value":"7"},"upstreams":[],"delta":null,)"
    R"("upstreams_digest":1,"gateways":[],"routing_age_ms":1,)"
    R"("upstreams_age_ms":1})"));
  EXPECT_EQ(SnapshotTarget({}).rfind("/v1/", 0), std::string::npos);
}

TEST(StoreSnapshotCodec, KeepsKnownVersionsAndIgnoresMalformedOnes)
{
  routing_packer packer;
  const auto target = SnapshotTarget({ 5, 0xfffffffffffffff0ULL });
  const auto known = ParseKnownVersions(target.substr(target.find('?') + 1));
  EXPECT_EQ(known.mRoutingVersion, 5U);
  EXPECT_EQ(known.mUpstreamsDigest, 0xfffffffffffffff0ULL);
  EXPECT_EQ(ParseKnownVersions("version=x").mRoutingVersion, 0U);
  EXPECT_EQ(ParseKnownVersions("").mUpstreamsDigest, 0U);
}

} // namespace
} // namespace sapphirespar::gateway
