// The guard's state: the table of known keys, and the ways to ask about
// unknown ones.
#pragma once

#include "claim_client.hpp"
#include "claim_keeper.hpp"
#include "fate_asker.hpp"
#include "once_table.hpp"
#include "sapphirespar/ledger/token.hpp"

#include <memory>
#include <string>

namespace sapphirespar::ledger {

// A key with its account as it travels between processes.
std::string WireKey(const idempotency_key& aKey);
idempotency_key ReadWireKey(std::string_view aText);

dispatch_decision RunVerdict();
dispatch_decision RefusalVerdict(refusal_reason aReason,
                                 outcome aOutcome,
                                 std::string aDetail,
                                 std::chrono::milliseconds aRetryAfter = {});

class at_most_once_guard::state : public std::enable_shared_from_this<state>
{
public:
  state(const blackboard& aBoard,
        platform_api& aPlatform,
        peer_network& aPeers,
        timer_service& aTimers,
        const at_most_once_settings& aSettings);

  void Begin(const dispatch_request& aRequest, const dispatch_callback& aDone);
  void Finished(const idempotency_key& aKey,
                outcome aOutcome,
                stored_answer_ptr aAnswer);
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  std::string IssueToken(const account_id& aAccount) const;
  at_most_once_counts Counts() const { return mTable.Counts(); }

private:
  dispatch_decision VerdictOn(const dispatch_request& aRequest,
                              const once_entry& aEntry) const;
  void EndEntry(once_entry& aEntry, entry_state aState);
  void OnFateRequest(const process_id& aFrom, const outcome_query& aQuestion);

  // Tokens.
  void BeginToken(const dispatch_request& aRequest,
                  const token_fields& aToken,
                  const dispatch_callback& aDone);
  dispatch_decision BeginOwnToken(const dispatch_request& aRequest,
                                  const token_fields& aToken);
  void AskIssuer(const dispatch_request& aRequest,
                 const process_id& aIssuer,
                 const dispatch_callback& aDone);
  outcome CloseToken(const idempotency_key& aKey, const token_fields& aToken);
  steady_time ExpiryOf(const token_fields& aToken) const;

  // Claims.
  void BeginClaim(const dispatch_request& aRequest,
                  const dispatch_callback& aDone);
  dispatch_decision OnClaimEnd(const dispatch_request& aRequest,
                               const request_id& aAttempt,
                               claim_end aEnd);
  outcome FateOfClaim(const idempotency_key& aKey, const request_id& aAttempt);
  void OnClaimRequest(const process_id& aFrom, const claim_request& aRequest);
  void OnClaimFinished(const idempotency_key& aKey, const once_entry& aEntry);

  void Sweep();

  const blackboard& mBoard;
  const process_id mSelf;
  peer_network& mPeers;
  timer_service& mTimers;
  const at_most_once_settings mSettings;
  const token_issuer mIssuer;
  once_table mTable;
  fate_asker mFates;
  claim_keeper mKeeper;
  claim_client mClaims;
  timer_subscription mSweep;
};

} // namespace sapphirespar::ledger
