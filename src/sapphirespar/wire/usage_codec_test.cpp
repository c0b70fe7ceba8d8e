// Tests of encoding and decoding usage counts.
#include "sapphirespar/wire/usage_codec.hpp"

#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/wire/gossip_codec.hpp"
#include "sapphirespar/wire/stream_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <vector>

namespace sapphirespar::wire {
namespace {

usage_message
Sample()
{
  return { { { "vm-1" }, 77 },
           353445120,
           true,
           { { { "anna" }, 412 }, { { "berta" }, 0 } } };
}

TEST(UsageCodec, KeepsEveryField)
{
  EXPECT_EQ(DecodeUsageMessage(EncodeUsageMessage(Sample())), Sample());
}

TEST(UsageCodec, OtherDatagramsAreNotTakenForCounts)
{
  gossip_state state;
  state.mSender = { { "vm-1" }, 77 };
  const auto counts = EncodeUsageMessage(Sample());
  EXPECT_FALSE(IsUsageMessage(EncodeGossip(state)));
  EXPECT_FALSE(IsUsageMessage(EncodeStreamMessage({})));
  EXPECT_FALSE(IsStreamMessage(counts));
  EXPECT_FALSE(DecodeGossip(counts));
}

TEST(UsageCodec, SurvivesDamage)
{
  EXPECT_TRUE(rc::check([] {
    const auto damage = *rc::gen::container<std::vector<text_mutation>>(
      rc::gen::construct<text_mutation>(rc::gen::inRange<std::size_t>(0, 60),
                                        rc::gen::inRange<std::size_t>(0, 4),
                                        rc::gen::arbitrary<std::string>()));
    const auto read =
      DecodeUsageMessage(Mutate(EncodeUsageMessage(Sample()), damage));
    RC_ASSERT(!read || !read->mSender.mVm.Empty());
  }));
}

} // namespace
} // namespace sapphirespar::wire
