// Tests of encoding and decoding messages about streams.
#include "sapphirespar/wire/stream_codec.hpp"

#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/wire/gossip_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;

stream_message
Sample()
{
  stream_message message;
  message.mTold = { { 0xffffffffffffffffULL, 2, 3, 4000ms }, { 5, 6, 7, 0ms } };
  message.mAsked = { 8, 0xfffffffffffffff0ULL };
  message.mUnknown = { 9 };
  message.mSeen = { { 10, 0xfffffffffffffff1ULL } };
  message.mSeenAll = true;
  message.mSpan = 65s;
  return message;
}

TEST(StreamCodec, KeepsEveryField)
{
  EXPECT_EQ(DecodeStreamMessage(EncodeStreamMessage(Sample())), Sample());
  EXPECT_EQ(DecodeStreamMessage(EncodeStreamMessage({})), stream_message{});
}

TEST(StreamCodec, GossipAndStreamMessagesAreNotTakenForEachOther)
{
  gossip_state state;
  state.mSender = { { "vm-1" }, 77 };
  const auto gossip = EncodeGossip(state);
  EXPECT_FALSE(IsStreamMessage(gossip));
  EXPECT_FALSE(DecodeStreamMessage(gossip));
  EXPECT_FALSE(DecodeGossip(EncodeStreamMessage(Sample())));
}

TEST(StreamCodec, NegativeTimesBecomeZero)
{
  auto message = Sample();
  message.mTold[0].mLeft = -5ms;
  const auto read = DecodeStreamMessage(EncodeStreamMessage(message));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->mTold[0].mLeft, 0ms);
}

TEST(StreamCodec, SurvivesDamage)
{
  EXPECT_TRUE(rc::check([] {
    const auto damage = *rc::gen::container<std::vector<text_mutation>>(
      rc::gen::construct<text_mutation>(rc::gen::inRange<std::size_t>(0, 80),
                                        rc::gen::inRange<std::size_t>(0, 4),
                                        rc::gen::arbitrary<std::string>()));
    const auto read =
      DecodeStreamMessage(Mutate(EncodeStreamMessage(Sample()), damage));
    // The macro evaluates both sides of an "or".
    const bool sound =
      !read || std::ranges::all_of(read->mTold, [](const auto& aTold) {
        return aTold.mLeft >= 0ms;
      });
    RC_ASSERT(sound);
  }));
}

} // namespace
} // namespace sapphirespar::wire
