// At most once: decides whether this process may dispatch a request of a class
// that is not idempotent, and tells the fate of those sent before.
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

// An idempotency key as its account sent it. Two accounts never share a key.
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
  // Hash of all that is asked for; tells a retry from another request that
  // reuses the key.
  std::uint64_t mContentHash = 0;
  // The caller states that it has never sent this key before, and gives up
  // this answer should it send the key again meanwhile.
  bool mFirstAttempt = false;
};

// A whole answer, kept for a caller that lost its copy.
struct stored_answer
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

using stored_answer_ptr = std::shared_ptr<const stored_answer>;

struct dispatch_decision
{
  // This process may dispatch the request, once, and owes a Finished.
  bool mMayDispatch = false;
  // Otherwise what the caller is told.
  refusal mRefusal;
  // Set with outcome Done if the first run's answer is still here.
  stored_answer_ptr mAnswer;
};

using dispatch_callback = std::function<void(dispatch_decision)>;

struct at_most_once_settings
{
  // A token that old is no longer run.
  std::chrono::seconds mTokenLifetime{ 3600 };
  // How long a fate stays known here after the request's end.
  std::chrono::seconds mFateRetention{ 600 };
  // Requests known at a time; more are refused.
  std::size_t mTableLimit = 100000;
  // Answers kept in all, and the largest one kept.
  std::size_t mAnswerBytes = 8 * 1024 * 1024;
  std::size_t mAnswerLimitBytes = 64 * 1024;
  // Between two sends of one question to a peer, and until it is given up.
  std::chrono::milliseconds mResendInterval{ 200 };
  std::chrono::milliseconds mFateTimeout{ 1000 };
  std::chrono::milliseconds mClaimTimeout{ 3000 };
  // What callers are told to wait.
  std::chrono::milliseconds mRetryAfter{ 1000 };
};

struct at_most_once_counts
{
  std::size_t mKnown = 0;
  std::size_t mRunning = 0;
  std::size_t mAnswerBytes = 0;
};

// Lives on the control thread. Callbacks may be called before Begin returns.
class at_most_once_guard
{
public:
  // The blackboard, whose mSelf must be set, tells who is alive.
  at_most_once_guard(const blackboard& aBoard,
                     platform_api& aPlatform,
                     peer_network& aPeers,
                     timer_service& aTimers,
                     at_most_once_settings aSettings = {});
  ~at_most_once_guard();
  at_most_once_guard(const at_most_once_guard&) = delete;
  at_most_once_guard& operator=(const at_most_once_guard&) = delete;

  // Returns a token that only this process will ever run.
  std::string IssueToken(const account_id& aAccount) const;

  // Decides about one request. Ask before any other refusal of the request,
  // so that "not run" is never said of a key that has run.
  void Begin(dispatch_request aRequest, dispatch_callback aDone);

  // The request that was let run has ended. NotRun lets a retry of the key run
  // and must only be said if nothing was sent to an upstream.
  void Finished(const idempotency_key& aKey,
                outcome aOutcome,
                stored_answer_ptr aAnswer = nullptr);

  // Takes claim_request, claim_answer, claim_finished, outcome_query and
  // outcome_answer; returns false for any other message.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  at_most_once_counts Counts() const;

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::ledger
