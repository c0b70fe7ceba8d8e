// Tests of copies of the store on their way between gateways.
#include "store_copy_codec.hpp"

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

store_copy
Sample()
{
  store_copy copy;
  copy.mRouting.mVersion = 5;
  copy.mRouting.mValue = "7";
  copy.mUpstreams = { Entry("a"), Entry("b") };
  copy.mUpstreamsDigest = 0xfffffffffffffff0ULL;
  copy.mRoutingAge = 20ms;
  copy.mUpstreamsAge = 30ms;
  copy.mGateways = { { { "vm-2" }, "10.0.0.2" } };
  return copy;
}

TEST(StoreCopyCodec, KeepsEveryField)
{
  const auto copy = Sample();
  const auto read = DecodeStoreCopy(EncodeStoreCopy(copy));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mRouting.mVersion, 5U);
  EXPECT_EQ(read->mRouting.mValue, "7");
  EXPECT_EQ(read->mUpstreams, copy.mUpstreams);
  EXPECT_FALSE(read->mDelta);
  EXPECT_EQ(read->mUpstreamsDigest, copy.mUpstreamsDigest);
  EXPECT_EQ(read->mRoutingAge, 20ms);
  EXPECT_EQ(read->mUpstreamsAge, 30ms);
  EXPECT_EQ(read->mGateways, copy.mGateways);
}

TEST(StoreCopyCodec, KeepsAChange)
{
  auto copy = Sample();
  copy.mUpstreams.clear();
  copy.mDelta = upstream_delta{ 9, { Entry("c") }, { { "a" } } };
  const auto read = DecodeStoreCopy(EncodeStoreCopy(copy));
  ASSERT_TRUE(read);
  ASSERT_TRUE(read->mDelta);
  EXPECT_EQ(read->mDelta->mBase, 9U);
  EXPECT_EQ(read->mDelta->mChanged, copy.mDelta->mChanged);
  EXPECT_EQ(read->mDelta->mRemoved, copy.mDelta->mRemoved);
}

TEST(StoreCopyCodec, ReadsNoDamagedCopy)
{
  EXPECT_FALSE(DecodeStoreCopy("{}"));
  EXPECT_FALSE(DecodeStoreCopy("nonsense"));
  const auto text = EncodeStoreCopy(Sample());
  EXPECT_FALSE(DecodeStoreCopy(text.substr(0, text.size() / 2)));
}

TEST(StoreCopyCodec, TellsWhatIsKnownAndTakesNonsenseForNothing)
{
  const auto target = CopyTarget({ 5, 0xfffffffffffffff0ULL });
  const auto known = ReadKnown(target.substr(target.find('?') + 1));
  EXPECT_EQ(known.mRoutingRevision, 5U);
  EXPECT_EQ(known.mUpstreamsDigest, 0xfffffffffffffff0ULL);
  EXPECT_EQ(ReadKnown("routing=x").mRoutingRevision, kNoObject);
  EXPECT_EQ(ReadKnown("").mUpstreamsDigest, 0U);
}

} // namespace
} // namespace sapphirespar::gateway
