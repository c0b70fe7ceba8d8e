// State that the attempts for one forwarded request share. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/answer_classifier.hpp"
#include "sapphirespar/gateway/forward.hpp"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// A decoded request that has been admitted.
struct forwarded_request
{
  explicit forwarded_request(const wire::http_request& aRequest)
    : mRequest(aRequest)
  {
  }

  const wire::http_request& mRequest;
  request_info mInfo;
  // Owns the route that mRoute points at.
  routing_ptr mRouting;
  const route* mRoute = nullptr;
  // Unset on routes that need no key.
  std::optional<account_id> mAccount;
  unsigned mPriority = 0;
  std::string mPool;
  // Unset for a plain service.
  std::optional<engine_traits> mEngine;
  const steady_time mArrived = std::chrono::steady_clock::now();
  // End of the route's timeout, by which the complete answer is due.
  steady_time mDeadline{};
  // When the caller stops waiting.
  steady_time mCallerDeadline{};
};

// Progress of a request across its attempts.
struct relay_progress
{
  // Aborts the call in progress when the caller disconnects.
  wire::call_abort_ptr mAbort;
  bool mCallerGone = false;
  // Further attempts use new connections, because a kept one was stale.
  bool mFreshConnection = false;
  // Number of attempts that sent any byte of the request to an upstream.
  unsigned mSends = 0;
  // Whether any upstream may have run the request. Never reset to false.
  bool mMayHaveRun = false;
  // Of a stream: whether any of it was sent to the caller, and its last event.
  bool mBegun = false;
  std::string mLastEventId;
  // When the first event, or the complete answer, was sent to the caller.
  std::optional<steady_time> mFirstSent;
};

enum class attempt_end
{
  // The complete answer was sent to the caller.
  Relayed,
  CallerDisconnected,
  // No byte of the request was sent to the upstream.
  NotSent,
  // The upstream stated that it did not run the request.
  NotRun,
  // The upstream answered with an error, which is in mFailure.
  Failed,
  // The answer is lost. The upstream may have run the request.
  Broken,
  // Like Broken, but because a read timed out.
  TimedOut,
};

// Returns the name used in logs, such as "not_sent".
std::string_view ToText(attempt_end aEnd);

struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  unsigned mStatus = 0;
  // The error answer of a Failed attempt, ready to be sent to the caller.
  std::optional<wire::http_response> mFailure;
  // Claims the memory of mFailure; null without it.
  std::shared_ptr<answer_claim> mFailureClaim;
  bool mReusedConnection = false;
  // A kept connection ended before any byte of an answer arrived; see
  // wire_error.
  bool mStaleConnection = false;
  // Unset if no answer arrived.
  std::optional<wire::body_framing> mFraming;
  // Bytes of a stream after its last complete event.
  std::size_t mUnfinishedBytes = 0;
  std::string mDetail;
};

// The upstream chosen for an attempt, the predictions for it, and its timeouts.
struct attempt_target
{
  upstream_ptr mUpstream;
  // Predicted time until the first event, and the part of it spent waiting for
  // other requests.
  double mPredictedMs = 0;
  double mQueueingMs = 0;
  // Occupied share, from 0 to 1, of the slots on engines for requests of this
  // kind.
  double mSlotsTaken = 0;
  // Prompt tokens that the engine will have to prefill.
  double mPrefillTokens = 0;
  // Whether the request is interactive, as used for the split of engines.
  bool mInteractive = false;
  // The shared segments, which the upstream will have cached by the time of the
  // first event, their tokens, and how many of these are known to be cached
  // there already. mShared points into the request.
  std::span<const prompt_segment> mShared;
  double mSharedTokens = 0;
  double mCachedTokens = 0;
  // Counts the request's load on the upstream while the attempt lasts.
  std::unique_ptr<load_reservation> mReservation;
  // Maximum wait for the first event and between events.
  std::chrono::milliseconds mFirstEventTimeout{ 0 };
  std::chrono::milliseconds mGapTimeout{ 0 };
};

// Sends the request to one upstream and relays its answer, or as much of it as
// arrives.
asio::awaitable<attempt_result> RunAttempt(const forward_services& aServices,
                                           const forwarded_request& aForwarded,
                                           const attempt_target& aTarget,
                                           wire::http_reply& aReply,
                                           relay_progress& aProgress);

// Returns the time left until aTime; zero if it has passed.
std::chrono::milliseconds LeftUntil(steady_time aTime);

} // namespace sapphirespar::gateway
