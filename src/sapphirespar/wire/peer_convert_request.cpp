// Converts the messages about slots, claims and outcome queries.
#include "peer_convert.hpp"

#include <string>

namespace sapphirespar::wire {
namespace {

std::string
TextOf(const upstream_id& aId)
{
  return aId.mText;
}

upstream_id
UpstreamOf(const std::string& aText)
{
  return { aText };
}

gen::slot_request
ToWire(const slot_request& aMessage)
{
  gen::slot_request wire;
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_request_class(aMessage.mClass.mText);
  wire.__set_account(aMessage.mAccount.mText);
  wire.__set_pool(aMessage.mPool);
  wire.__set_prompt_tokens(static_cast<std::int32_t>(aMessage.mPromptTokens));
  wire.__set_maximum_tokens(static_cast<std::int32_t>(aMessage.mMaximumTokens));
  wire.__set_prefix_hash(static_cast<std::int64_t>(aMessage.mPrefixHash));
  wire.__set_first_token_due_ms(aMessage.mFirstTokenDueMs);
  wire.__set_answer_due_ms(aMessage.mAnswerDueMs);
  wire.__set_excluded(ConvertAll<std::string>(aMessage.mExcluded, TextOf));
  return wire;
}

} // namespace

void
SetMessage(gen::envelope& aEnvelope, const slot_request& aMessage)
{
  aEnvelope.__set_slot_request_value(ToWire(aMessage));
}

slot_request
FromWire(const gen::slot_request& aWire)
{
  slot_request message;
  message.mRequest = { aWire.request };
  message.mClass = { aWire.request_class };
  message.mAccount = { aWire.account };
  message.mPool = aWire.pool;
  message.mPromptTokens = static_cast<std::uint32_t>(aWire.prompt_tokens);
  message.mMaximumTokens = static_cast<std::uint32_t>(aWire.maximum_tokens);
  message.mPrefixHash = static_cast<std::uint64_t>(aWire.prefix_hash);
  message.mFirstTokenDueMs = aWire.first_token_due_ms;
  message.mAnswerDueMs = aWire.answer_due_ms;
  message.mExcluded = ConvertAll<upstream_id>(aWire.excluded, UpstreamOf);
  return message;
}

void
SetMessage(gen::envelope& aEnvelope, const slot_grant& aMessage)
{
  gen::slot_grant wire;
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_upstream(aMessage.mUpstream.mText);
  aEnvelope.__set_slot_grant_value(wire);
}

slot_grant
FromWire(const gen::slot_grant& aWire)
{
  return { { aWire.request }, { aWire.upstream } };
}

void
SetMessage(gen::envelope& aEnvelope, const slot_waiting& aMessage)
{
  gen::slot_waiting wire;
  wire.__set_request(aMessage.mRequest.mText);
  aEnvelope.__set_slot_waiting_value(wire);
}

slot_waiting
FromWire(const gen::slot_waiting& aWire)
{
  return { { aWire.request } };
}

void
SetMessage(gen::envelope& aEnvelope, const slot_refusal& aMessage)
{
  gen::slot_refusal wire;
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_reason(static_cast<std::int32_t>(aMessage.mReason));
  wire.__set_retry_after_ms(aMessage.mRetryAfterMs);
  aEnvelope.__set_slot_refusal_value(wire);
}

slot_refusal
FromWire(const gen::slot_refusal& aWire)
{
  return { { aWire.request },
           ToEnum(aWire.reason, refusal_reason::NotReady),
           aWire.retry_after_ms };
}

void
SetMessage(gen::envelope& aEnvelope, const slot_release& aMessage)
{
  gen::slot_release wire;
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_upstream(aMessage.mUpstream.mText);
  wire.__set_succeeded(aMessage.mSucceeded);
  wire.__set_tokens(static_cast<std::int32_t>(aMessage.mTokens));
  wire.__set_first_token_ms(aMessage.mFirstTokenMs);
  wire.__set_total_ms(aMessage.mTotalMs);
  aEnvelope.__set_slot_release_value(wire);
}

slot_release
FromWire(const gen::slot_release& aWire)
{
  slot_release message;
  message.mRequest = { aWire.request };
  message.mUpstream = { aWire.upstream };
  message.mSucceeded = aWire.succeeded;
  message.mTokens = static_cast<std::uint32_t>(aWire.tokens);
  message.mFirstTokenMs = aWire.first_token_ms;
  message.mTotalMs = aWire.total_ms;
  return message;
}

void
SetMessage(gen::envelope& aEnvelope, const slot_holding& aMessage)
{
  gen::slot_holding wire;
  wire.__set_request(ToWire(aMessage.mRequest));
  wire.__set_upstream(aMessage.mUpstream.mText);
  aEnvelope.__set_slot_holding_value(wire);
}

slot_holding
FromWire(const gen::slot_holding& aWire)
{
  return { FromWire(aWire.request), { aWire.upstream } };
}

void
SetMessage(gen::envelope& aEnvelope, const slot_pause& aMessage)
{
  gen::slot_pause wire;
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_resume(aMessage.mResume);
  aEnvelope.__set_slot_pause_value(wire);
}

slot_pause
FromWire(const gen::slot_pause& aWire)
{
  return { { aWire.request }, aWire.resume };
}

void
SetMessage(gen::envelope& aEnvelope, const claim_request& aMessage)
{
  gen::claim_request wire;
  wire.__set_key(aMessage.mKey);
  wire.__set_claimant(ToWire(aMessage.mClaimant));
  wire.__set_request(aMessage.mRequest.mText);
  if (!aMessage.mReleased.Empty()) {
    wire.__set_released(aMessage.mReleased.mText);
  }
  if (aMessage.mFirstAttempt) {
    wire.__set_first_attempt(true);
  }
  aEnvelope.__set_claim_request_value(wire);
}

claim_request
FromWire(const gen::claim_request& aWire)
{
  return { aWire.key,
           FromWire(aWire.claimant),
           { aWire.request },
           { aWire.released },
           aWire.first_attempt };
}

void
SetMessage(gen::envelope& aEnvelope, const claim_answer& aMessage)
{
  gen::claim_answer wire;
  wire.__set_key(aMessage.mKey);
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_verdict(static_cast<std::int32_t>(aMessage.mVerdict));
  wire.__set_holder(ToWire(aMessage.mHolder));
  wire.__set_held_request(aMessage.mHeldRequest.mText);
  wire.__set_outcome(static_cast<std::int32_t>(aMessage.mOutcome));
  aEnvelope.__set_claim_answer_value(wire);
}

claim_answer
FromWire(const gen::claim_answer& aWire)
{
  return { aWire.key,
           { aWire.request },
           ToEnum(aWire.verdict, claim_verdict::Refused),
           FromWire(aWire.holder),
           { aWire.held_request },
           ToEnum(aWire.outcome, outcome::Done) };
}

void
SetMessage(gen::envelope& aEnvelope, const claim_finished& aMessage)
{
  gen::claim_finished wire;
  wire.__set_key(aMessage.mKey);
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_outcome(static_cast<std::int32_t>(aMessage.mOutcome));
  aEnvelope.__set_claim_finished_value(wire);
}

claim_finished
FromWire(const gen::claim_finished& aWire)
{
  return { aWire.key, { aWire.request }, ToEnum(aWire.outcome, outcome::Done) };
}

void
SetMessage(gen::envelope& aEnvelope, const outcome_query& aMessage)
{
  gen::fate_request wire;
  wire.__set_key(aMessage.mKey);
  wire.__set_request(aMessage.mRequest.mText);
  aEnvelope.__set_fate_request_value(wire);
}

outcome_query
FromWire(const gen::fate_request& aWire)
{
  return { aWire.key, { aWire.request } };
}

void
SetMessage(gen::envelope& aEnvelope, const outcome_answer& aMessage)
{
  gen::fate_answer wire;
  wire.__set_key(aMessage.mKey);
  wire.__set_request(aMessage.mRequest.mText);
  wire.__set_outcome(static_cast<std::int32_t>(aMessage.mOutcome));
  aEnvelope.__set_fate_answer_value(wire);
}

outcome_answer
FromWire(const gen::fate_answer& aWire)
{
  return { aWire.key, { aWire.request }, ToEnum(aWire.outcome, outcome::Done) };
}

} // namespace sapphirespar::wire
