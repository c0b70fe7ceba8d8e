// The claimant's side of claims: sends a claim to the owner of the key's shard
// and, if the key is taken, queries the outcome from the holder of that claim.
#pragma once

#include "claim_server.hpp"
#include "outcome_client.hpp"
#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::ledger {

enum class claim_result
{
  // Only this attempt may run.
  Granted,
  // Another attempt has run to its end.
  Done,
  // Another attempt may have run or may be running.
  Unknown,
  // The claim was refused or timed out.
  Undecided,
};

// An attempt to claim a key.
struct claim_attempt
{
  std::string mKey;
  request_id mAttempt;
  // Earlier attempts of this process that have not run and will never run.
  std::vector<request_id> mReleased;
  // The caller states that it has not sent the key before.
  bool mFirstAttempt = false;
};

using claim_result_callback = std::function<void(claim_result)>;

// Returns whether a process is dead, replaced by a later incarnation, or not a
// member, as far as aBoard shows.
bool IsTerminated(const blackboard& aBoard, const process_id& aProcess);

class claim_client
{
public:
  claim_client(const blackboard& aBoard,
               peer_network& aPeers,
               timer_service& aTimers,
               claim_server& aClaimServer,
               outcome_client& aOutcomeClient,
               const at_most_once_settings& aSettings);

  void Claim(claim_attempt aAttempt, claim_result_callback aDone);
  void OnAnswer(const claim_answer& aAnswer);

  // Reports the outcome of a claimed attempt to the owner of the key's shard.
  void Finished(claim_finished aEnd);

  // Reports a claim of this process to the owner after a restore of the store,
  // and asks whether it is in the store. The answer comes to aDone or, from
  // another process, as a message.
  void Report(const claim_finished& aClaim, claim_callback aDone);

private:
  struct pending_claim
  {
    claim_attempt mAttempt;
    claim_result_callback mDone;
    steady_time mDeadline{};
    // The attempt, of this or another process, that holds the claim but will
    // never run, so that this claim may replace it. Empty if there is none.
    request_id mReleasedAttempt;
    timer_subscription mResend;
  };

  // Returns the live VM that owns the shard of a key.
  vm_id OwnerOf(const std::string& aKey) const;
  void Send(const request_id& aAttempt);
  void Resend(const request_id& aAttempt);
  void OnTaken(const request_id& aAttempt, const claim_answer& aAnswer);
  void OnOutcome(const request_id& aAttempt,
                 const request_id& aHolderAttempt,
                 std::optional<outcome> aOutcome);
  void ClaimReleased(const request_id& aAttempt,
                     const request_id& aHolderAttempt);
  void Complete(const request_id& aAttempt, claim_result aResult);

  const blackboard& mBoard;
  const process_id mSelf;
  peer_network& mPeers;
  timer_service& mTimers;
  claim_server& mClaimServer;
  outcome_client& mOutcomeClient;
  const at_most_once_settings mSettings;
  std::map<request_id, pending_claim> mPendingClaims;
};

} // namespace sapphirespar::ledger
