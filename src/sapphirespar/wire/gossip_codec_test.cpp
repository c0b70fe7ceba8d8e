// Tests of encoding and decoding gossip.
#include "sapphirespar/wire/gossip_codec.hpp"

#include "sapphirespar/base/mutation.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;

gossip_state
Sample()
{
  gossip_state state;
  state.mSender = { { "vm-1" }, 77 };
  state.mSequence = 12;
  state.mDataCentre = { "galle" };
  state.mAddress = "10.0.0.1";
  state.mCallerPort = 8080;
  state.mAdminPort = 8081;
  state.mReady = true;
  state.mLeaving = true;
  state.mCutOff = true;
  state.mLoads = { { 0xffffffffffffffffULL, 1, 2, 3, 4, 5 } };
  state.mWantsReply = true;
  state.mReplyTo = 13;
  state.mInteractivePrefill = 250;
  state.mBulkPrefill = 1400;
  state.mProcessor = 250;
  state.mLeavingUpstreams = { 4, 0xfffffffffffffff1ULL };
  state.mStore = store_summary{ std::chrono::milliseconds(20),
                                9,
                                std::chrono::milliseconds(30),
                                0xfffffffffffffff0ULL,
                                3 };
  state.mDataCentreLoads = { { { "matara" },
                               std::chrono::milliseconds(40),
                               { { 8, 10, 20, 30, 40, 50 } } } };
  const prompt_part part{ "pool", 0xfffffffffffffff7ULL };
  state.mCrashReport = { { { part, 0xfffffffffffffff2ULL, 50ms } },
                         { { "pool", 0xfffffffffffffff3ULL, 60ms } },
                         { { part, 70ms } },
                         { { "pool", 80ms } },
                         { { 0xfffffffffffffff4ULL, 90ms } },
                         { { part, 100ms, 110ms, 2, 120ms } } };
  state.mRequestCrashReport = state.mCrashReport;
  state.mRequestCrashReport.mCrashes[0].mSentAge = 55ms;
  state.mRequestCrashReport.mCrashes[0].mFingerprint = 0xfffffffffffffff6ULL;
  state.mUpstreamRates = { { 0xfffffffffffffff5ULL, 2.8, 130ms },
                           { 6, kUnlimitedRate, 140ms },
                           { 7, 0, 0ms } };
  state.mBrittle.mPauses = { { 0xfffffffffffffff8ULL, 150ms } };
  state.mBrittle.mPools = { { 0xfffffffffffffff7ULL, 2.5, 8s, 15ms } };
  state.mEnginePaces = { { 0xfffffffffffffff4ULL, 5414 } };
  state.mDuties =
    duty_gossip{ 1'700'000'000'000, 0x7ffffffffffffff9ULL, 7, 1500 };
  return state;
}

TEST(GossipCodec, KeepsEveryField)
{
  const auto read = DecodeGossip(EncodeGossip(Sample()));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, Sample());
}

// Senders of the former version tell a revision, which does not compare.
TEST(GossipCodec, ASummaryWithoutARoutingVersionIsIgnored)
{
  auto state = Sample();
  state.mStore->mRoutingVersion = 0;
  const auto read = DecodeGossip(EncodeGossip(state));
  ASSERT_TRUE(read);
  EXPECT_FALSE(read->mStore);
}

TEST(GossipCodec, KeepsAnAbsentStoreSummary)
{
  auto state = Sample();
  state.mStore.reset();
  EXPECT_EQ(DecodeGossip(EncodeGossip(state)), state);
}

TEST(GossipCodec, KeepsAnEmptyCrashReport)
{
  auto state = Sample();
  state.mCrashReport = {};
  EXPECT_EQ(DecodeGossip(EncodeGossip(state)), state);
}

// The wire has signed numbers of 32 bits. Larger ones are sent as the largest,
// not as zero.
TEST(GossipCodec, LargeNumbersAreLimitedNotWrapped)
{
  constexpr std::uint32_t kMost = 0x7fffffff;
  auto state = Sample();
  state.mLoads = { { 1, 0x80000000, 0xffffffff, 0x80000001, 4, 5 } };
  state.mBulkPrefill = 0xffffffff;
  state.mProcessor = 0x80000000;
  state.mCrashReport.mQuarantines[0].mTrials = 0x80000000;
  state.mCrashReport.mQuarantines[0].mAge = std::chrono::hours(10000);
  const auto read = DecodeGossip(EncodeGossip(state));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mLoads[0].mUrgentTokens, kMost);
  EXPECT_EQ(read->mLoads[0].mOtherTokens, kMost);
  EXPECT_EQ(read->mLoads[0].mMemoryTokens, kMost);
  EXPECT_EQ(read->mBulkPrefill, kMost);
  EXPECT_EQ(read->mProcessor, kMost);
  EXPECT_EQ(read->mCrashReport.mQuarantines[0].mTrials, kMost);
  EXPECT_EQ(read->mCrashReport.mQuarantines[0].mAge, std::chrono::hours(24));
}

TEST(GossipCodec, DamagedGossipNeverDecodesWithoutASender)
{
  EXPECT_FALSE(DecodeGossip(""));
  EXPECT_FALSE(DecodeGossip("GET / HTTP/1.1"));
  EXPECT_TRUE(rc::check([] {
    const auto damage = *rc::gen::container<std::vector<text_mutation>>(
      rc::gen::construct<text_mutation>(rc::gen::inRange<std::size_t>(0, 80),
                                        rc::gen::inRange<std::size_t>(0, 4),
                                        rc::gen::arbitrary<std::string>()));
    const auto read = DecodeGossip(Mutate(EncodeGossip(Sample()), damage));
    RC_ASSERT(!read || !read->mSender.mVm.Empty());
  }));
}

} // namespace
} // namespace sapphirespar::wire
