// Tests of the peer codec: every message kind survives a round trip, and
// malformed input is an error.
#include "sapphirespar/wire/peer_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace sapphirespar::wire {
namespace {

// Returns one message of each kind with every field set.
std::vector<peer_message>
OneOfEachKind()
{
  heartbeat heartbeatMessage;
  heartbeatMessage.mSender = { { "vm-1" }, 7 };
  heartbeatMessage.mSequence = 9;
  heartbeatMessage.mLeaving = true;
  heartbeatMessage.mBundle = { 3, 4 };
  heartbeatMessage.mPools = { { "model-a", 8, 3, 2 } };
  heartbeatMessage.mDemands = { { { "cooperative" }, 1.5 } };
  heartbeatMessage.mHeard = { { { "vm-2" }, 1 } };
  heartbeatMessage.mHeardIsComplete = true;
  heartbeatMessage.mLost = { { { "vm-3" }, 2 } };
  heartbeatMessage.mContact = { { "cesis" }, "10.0.0.1", 8080, 9090 };
  heartbeatMessage.mStoreEra = 9;
  slot_request slot;
  slot.mRequest = { "r" };
  slot.mClass = { "confirmation" };
  slot.mAccount = { "buyer" };
  slot.mPool = "/ledger";
  slot.mPromptTokens = 100;
  slot.mMaximumTokens = 4000000000U;
  slot.mPrefixHash = 0xffffffffffffffffULL;
  slot.mFirstTokenDueMs = -5;
  slot.mAnswerDueMs = 30000;
  slot.mExcluded = { { "ledger-1" } };
  return { heartbeatMessage,
           bundle_request{ { 1, 2 } },
           bundle_push{ { 1, 2 }, std::string("\0signed", 7) },
           slot,
           slot_grant{ { "r" }, { "u" } },
           slot_waiting{ { "r" } },
           slot_refusal{ { "r" }, refusal_reason::TooLate, 250 },
           slot_release{ { "r" }, { "u" }, true, 12, 34, 56 },
           slot_holding{ slot, { "u" } },
           slot_pause{ { "r" }, true },
           claim_request{ "key", { { "vm-1" }, 7 }, { "r" }, { "s" }, true },
           claim_answer{ "key",
                         { "r" },
                         claim_verdict::Taken,
                         { { "vm-2" }, 1 },
                         { "s" },
                         outcome::Done },
           claim_finished{ "key", { "r" }, outcome::Done },
           outcome_query{ "key", { "r" } },
           outcome_answer{ "key", { "r" }, outcome::NotRun } };
}

TEST(PeerCodec, EveryKindSurvivesARoundTrip)
{
  const auto messages = OneOfEachKind();
  ASSERT_EQ(messages.size(), std::variant_size_v<peer_message>);
  for (const auto& message : messages) {
    const auto bytes = EncodePeerMessage(message);
    const auto decoded = DecodePeerMessage(bytes);
    ASSERT_TRUE(decoded.has_value()) << message.index();
    EXPECT_EQ(decoded.value().index(), message.index());
    // Equal bytes mean that no field was lost.
    EXPECT_EQ(EncodePeerMessage(decoded.value()), bytes) << message.index();
  }
}

TEST(PeerCodec, FieldsArriveAsTheyWereSent)
{
  const auto messages = OneOfEachKind();
  const auto decoded = DecodePeerMessage(EncodePeerMessage(messages[0]));
  const auto& heartbeatMessage = std::get<heartbeat>(decoded.value());
  EXPECT_EQ(heartbeatMessage.mSender, (process_id{ { "vm-1" }, 7 }));
  EXPECT_TRUE(heartbeatMessage.mLeaving);
  EXPECT_EQ(heartbeatMessage.mBundle, (bundle_version{ 3, 4 }));
  EXPECT_EQ(heartbeatMessage.mPools.at(0).mQueued, 2U);
  EXPECT_TRUE(heartbeatMessage.mHeardIsComplete);
  EXPECT_DOUBLE_EQ(heartbeatMessage.mDemands.at(0).mRequestsPerSecond, 1.5);
  EXPECT_EQ(heartbeatMessage.mLost.at(0).mVm.mText, "vm-3");
  EXPECT_EQ(heartbeatMessage.mContact.mPeerPort, 9090);
  EXPECT_EQ(heartbeatMessage.mStoreEra, 9U);
  const auto slot = DecodePeerMessage(EncodePeerMessage(messages[3]));
  const auto& request = std::get<slot_request>(slot.value());
  EXPECT_EQ(request.mMaximumTokens, 4000000000U);
  EXPECT_EQ(request.mPrefixHash, 0xffffffffffffffffULL);
  EXPECT_EQ(request.mFirstTokenDueMs, -5);
}

TEST(PeerCodec, TruncatedMessagesAreMalformed)
{
  for (const auto& message : OneOfEachKind()) {
    const auto bytes = EncodePeerMessage(message);
    const auto decoded =
      DecodePeerMessage(std::string_view(bytes).substr(0, bytes.size() - 1));
    ASSERT_FALSE(decoded.has_value()) << message.index();
    EXPECT_EQ(decoded.error(), codec_error::Malformed);
  }
}

TEST(PeerCodec, NumbersOutsideAnEnumerationAreRefused)
{
  const auto unknown = static_cast<refusal_reason>(1000);
  const auto decoded =
    DecodePeerMessage(EncodePeerMessage(slot_refusal{ { "r" }, unknown, 0 }));
  ASSERT_FALSE(decoded.has_value());
  EXPECT_EQ(decoded.error(), codec_error::BadValue);
}

TEST(PeerCodec, RandomBytesNeverCrash)
{
  EXPECT_TRUE(rc::check([](const std::string& aBytes) {
    const auto decoded = DecodePeerMessage(aBytes);
    const auto hello = DecodeHello(aBytes);
    RC_TAG(decoded.has_value() || hello.has_value());
  }));
}

TEST(PeerCodec, HelloSurvivesARoundTrip)
{
  const process_id sender{ { "vm-1" }, 12345678901234ULL };
  EXPECT_EQ(DecodeHello(EncodeHello(sender)).value(), sender);
  EXPECT_FALSE(DecodeHello(EncodeHello({})).has_value());
}

} // namespace
} // namespace sapphirespar::wire
