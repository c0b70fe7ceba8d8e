// The state of at_most_once_guard: the table of keys whose requests this
// process has decided about, and the clients that query other processes about
// all other keys.
#pragma once

#include "claim_client.hpp"
#include "claim_server.hpp"
#include "idempotency_table.hpp"
#include "outcome_client.hpp"
#include "sapphirespar/ledger/token.hpp"

#include <memory>
#include <set>
#include <string>

namespace sapphirespar::ledger {

// Convert a key with its account to and from its form in peer messages.
std::string WireKey(const idempotency_key& aKey);
idempotency_key ReadWireKey(std::string_view aText);

dispatch_decision AllowDispatch();
dispatch_decision RefuseDispatch(refusal_reason aReason,
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
  void NoteStoreEra(store_era aEra);
  at_most_once_counts Counts() const { return mTable.Counts(); }

private:
  dispatch_decision DecideForEntry(const dispatch_request& aRequest,
                                   const idempotency_entry& aEntry) const;
  void EndEntry(idempotency_entry& aEntry, entry_state aState);
  void OnOutcomeQuery(const process_id& aFrom, const outcome_query& aQuery);

  // Tokens; see at_most_once_tokens.cpp.
  void BeginToken(const dispatch_request& aRequest,
                  const token_fields& aToken,
                  const dispatch_callback& aDone);
  dispatch_decision BeginOwnToken(const dispatch_request& aRequest,
                                  const token_fields& aToken);
  void QueryIssuer(const dispatch_request& aRequest,
                   const process_id& aIssuer,
                   const dispatch_callback& aDone);
  outcome CloseToken(const idempotency_key& aKey, const token_fields& aToken);
  steady_time ExpiryOf(const token_fields& aToken) const;

  // Claims; see at_most_once_claims.cpp.
  void BeginClaim(const dispatch_request& aRequest,
                  const dispatch_callback& aDone);
  dispatch_decision OnClaimResult(const dispatch_request& aRequest,
                                  const request_id& aAttempt,
                                  claim_result aResult);
  outcome OutcomeOfClaim(const idempotency_key& aKey,
                         const request_id& aAttempt);
  void OnClaimRequest(const process_id& aFrom, const claim_request& aRequest);
  void OnClaimFinished(const idempotency_key& aKey,
                       const idempotency_entry& aEntry);

  // Restores of the store; see at_most_once_restores.cpp.
  void OnClaimFinished(const process_id& aFrom, const claim_finished& aEnd);
  void ReportClaims();
  void OnReportAnswer(const claim_answer& aAnswer);
  void SendComplete();
  bool HaveAllReported() const;
  bool MayGetReports() const;

  void Sweep();

  const blackboard& mBoard;
  const process_id mSelf;
  peer_network& mPeers;
  timer_service& mTimers;
  const at_most_once_settings mSettings;
  const token_issuer mIssuer;
  idempotency_table mTable;
  outcome_client mOutcomeClient;
  claim_server mClaimServer;
  claim_client mClaimClient;
  timer_subscription mSweep;

  const steady_time mStartedAt;
  // The latest era of the store, when this process learned of it, and whether
  // that was a rise that it has seen itself.
  store_era mEra = 0;
  steady_time mEraAt{};
  bool mSawRestore = false;
  // The processes that may have held claims when the store was restored, and
  // those that have reported all of theirs since.
  std::set<process_id> mClaimants;
  std::set<process_id> mReported;
  // Attempts of this process whose claims an owner has found in the store since
  // the last restore.
  std::set<request_id> mConfirmed;
  // Whether the claims of this process are still to be reported.
  bool mIsReporting = false;
  timer_subscription mReportTimer;
};

} // namespace sapphirespar::ledger
