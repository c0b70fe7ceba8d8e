// At-most-once execution: decides whether this process may dispatch a request
// of a non-idempotent class, and reports the outcome of earlier requests with
// the same idempotency key.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sapphirespar::ledger {

// An idempotency key as the account sent it. Equal texts from two accounts are
// different keys.
struct idempotency_key
{
  account_id mAccount;
  std::string mText;

  auto operator<=>(const idempotency_key&) const = default;
};

struct dispatch_request
{
  at_most_once_mode mMode = at_most_once_mode::None;
  idempotency_key mKey;
  // Hash of the request's content. Distinguishes a retry from a different
  // request that reuses the key.
  std::uint64_t mContentHash = 0;
  // The caller states that it has not sent this key before. If it sends the key
  // again before the answer arrives, it must ignore this answer.
  bool mFirstAttempt = false;
};

// A complete answer, stored for callers that retry because they lost it.
struct stored_answer
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

using stored_answer_ptr = std::shared_ptr<const stored_answer>;

struct dispatch_decision
{
  // This process may dispatch the request once, and must then call Finished.
  bool mMayDispatch = false;
  // The refusal for the caller if the request may not be dispatched.
  refusal mRefusal;
  // The answer of the first dispatch. Set with outcome Done if this process
  // still stores it.
  stored_answer_ptr mAnswer;
};

using dispatch_callback = std::function<void(dispatch_decision)>;

struct at_most_once_settings
{
  // A token older than this is refused.
  std::chrono::seconds mTokenLifetime{ 3600 };
  // How long this process keeps the outcome of a request after its end.
  std::chrono::seconds mOutcomeRetention{ 600 };
  // Maximum number of keys in the table. Requests with further keys are
  // refused.
  std::size_t mMaxEntries = 100000;
  // Limits in bytes on all stored answers together and on one stored answer.
  std::size_t mMaxTotalAnswerBytes = 8 * 1024 * 1024;
  std::size_t mMaxAnswerBytes = 64 * 1024;
  // Time between two sends of an unanswered message to a peer.
  std::chrono::milliseconds mResendInterval{ 200 };
  // Timeouts of an outcome query and of a claim, including all resends.
  std::chrono::milliseconds mOutcomeTimeout{ 1000 };
  std::chrono::milliseconds mClaimTimeout{ 3000 };
  // The retry delay that refusals give to callers.
  std::chrono::milliseconds mRetryAfter{ 1000 };
};

// Keys in the table, keys among them whose request has not ended, and the size
// of the stored answers.
struct at_most_once_counts
{
  std::size_t mKeys = 0;
  std::size_t mRunning = 0;
  std::size_t mAnswerBytes = 0;
};

// Used on the control thread only. Callbacks may be called before Begin
// returns.
class at_most_once_guard
{
public:
  // aBoard lists the members; its mSelf must be set. All objects given by
  // reference outlive the guard.
  at_most_once_guard(const blackboard& aBoard,
                     platform_api& aPlatform,
                     peer_network& aPeers,
                     timer_service& aTimers,
                     at_most_once_settings aSettings = {});
  ~at_most_once_guard();
  at_most_once_guard(const at_most_once_guard&) = delete;
  at_most_once_guard& operator=(const at_most_once_guard&) = delete;

  // Returns a token whose request only this process may dispatch.
  std::string IssueToken(const account_id& aAccount) const;

  // Decides whether a request may be dispatched. Call it before the request can
  // be refused for another reason; otherwise "not run" could be reported for a
  // key whose request has run.
  void Begin(dispatch_request aRequest, dispatch_callback aDone);

  // Reports the end of a request that Begin allowed. NotRun allows a retry with
  // the same key, so report it only if nothing was sent to an upstream.
  void Finished(const idempotency_key& aKey,
                outcome aOutcome,
                stored_answer_ptr aAnswer = nullptr);

  // Reports an era of the platform's store, told by an answer or by a peer.
  // When it rises, the store has lost its latest claims; this process then
  // writes those it knows of again and reports its own to their owners.
  void NoteStoreEra(store_era aEra);

  // Handles claim_request, claim_answer, claim_finished, outcome_query and
  // outcome_answer; returns false for any other message.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  at_most_once_counts Counts() const;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::ledger
