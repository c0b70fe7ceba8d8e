// The claimant's side of claims: asks the owner of a key's shard, and the
// holder of a claim that stands in the way.
#pragma once

#include "claim_keeper.hpp"
#include "fate_asker.hpp"
#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::ledger {

enum class claim_end
{
  // This attempt, and no other, may run.
  Granted,
  // Another attempt has run to its end.
  Done,
  // Another attempt may have run or may be running.
  Unknown,
  // The claim could not be decided in time.
  Undecided,
};

// An attempt to claim a key.
struct claim_attempt
{
  std::string mKey;
  request_id mAttempt;
  // Earlier attempts of this process that have not run and never will.
  std::vector<request_id> mReleased;
};

using claim_end_callback = std::function<void(claim_end)>;

// Whether a process can no longer answer, as far as aBoard knows.
bool IsGone(const blackboard& aBoard, const process_id& aProcess);

class claim_client
{
public:
  claim_client(const blackboard& aBoard,
               peer_network& aPeers,
               timer_service& aTimers,
               claim_keeper& aKeeper,
               fate_asker& aFates,
               const at_most_once_settings& aSettings);

  void Claim(claim_attempt aAttempt, claim_end_callback aDone);
  void OnAnswer(const claim_answer& aAnswer);

  // Tells the owner of the key's shard how a claimed attempt ended.
  void Finished(claim_finished aEnd);

private:
  struct claiming
  {
    claim_attempt mAttempt;
    claim_end_callback mDone;
    steady_time mDeadline{};
    // The foreign or own attempt that gave the key up.
    request_id mGivenUp;
    timer_subscription mResend;
  };

  // The vm that owns the shard of a key.
  vm_id OwnerOf(const std::string& aKey) const;
  void Send(const request_id& aAttempt);
  void Resend(const request_id& aAttempt);
  void OnTaken(const request_id& aAttempt, const claim_answer& aAnswer);
  void OnFate(const request_id& aAttempt,
              const request_id& aHeld,
              std::optional<outcome> aFate);
  void Retake(const request_id& aAttempt, const request_id& aHeld);
  void End(const request_id& aAttempt, claim_end aEnd);

  const blackboard& mBoard;
  const process_id mSelf;
  peer_network& mPeers;
  timer_service& mTimers;
  claim_keeper& mKeeper;
  fate_asker& mFates;
  const at_most_once_settings mSettings;
  std::map<request_id, claiming> mClaims;
};

} // namespace sapphirespar::ledger
