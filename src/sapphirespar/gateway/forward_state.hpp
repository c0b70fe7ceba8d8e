// State that the attempts for one forwarded request share. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/answer_classifier.hpp"
#include "sapphirespar/gateway/forward.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

class run_move;

// Timers may fire this much early.
inline constexpr std::chrono::milliseconds kTimerTolerance{ 5 };

// A decoded request that has been admitted.
struct forwarded_request
{
  explicit forwarded_request(const wire::http_request& aRequest)
    : mRequest(aRequest)
  {
  }

  const wire::http_request& mRequest;
  request_info mInfo;
  // Identifiers of the parts of the prompt that other prompts may share: all
  // but the last.
  std::vector<std::uint64_t> mSharedParts;
  // The same for requests that ask for the same; see request_fingerprint.hpp.
  std::uint64_t mFingerprint = 0;
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

// Whether the caller takes up a stream that another request began.
inline bool
TakesUpStream(const forwarded_request& aForwarded)
{
  return aForwarded.mRoute->mResumable &&
         !(aForwarded.mInfo.mLastEventId.empty() &&
           aForwarded.mInfo.mResumedId.empty());
}

// The key of the request's stream in stream_versions.
inline std::uint64_t
StreamOf(const forwarded_request& aForwarded)
{
  const auto& info = aForwarded.mInfo;
  return StreamKey(info.mResumedId.empty() ? info.mId : info.mResumedId);
}

inline request_marks
MarksOf(const forwarded_request& aForwarded)
{
  return { aForwarded.mPool, aForwarded.mSharedParts, aForwarded.mFingerprint };
}

// Progress of a request across its attempts.
struct relay_progress
{
  bool mCallerGone = false;
  // Attempts that are writing to the reply.
  unsigned mReplyUses = 0;
  // Further attempts use new connections, because a kept one was stale.
  bool mFreshConnection = false;
  // Number of attempts that have sent any byte of the request to an upstream,
  // or may still do so.
  unsigned mSends = 0;
  // Whether any upstream may have run the request. Never reset to false.
  bool mMayHaveRun = false;
  // Of a stream: whether any of it was sent to the caller, with which status,
  // and the last event. The latter is empty if the stream can't go on after it.
  bool mBegun = false;
  unsigned mStatus = 0;
  std::string mLastEventId;
  // Events of the stream that were sent to the caller.
  unsigned mEvents = 0;
  // The software version at which the stream began, and the only one at which
  // it goes on; see stream_versions. Unset while any version may answer.
  std::optional<std::uint64_t> mSoftware;
  // When the first event, or the complete answer, was sent to the caller.
  std::optional<steady_time> mFirstSent;
};

enum class attempt_end
{
  // The complete answer was sent to the caller.
  Relayed,
  CallerDisconnected,
  // Another attempt has answered instead, and this one was aborted.
  Superseded,
  // No byte of the request was sent to the upstream.
  NotSent,
  // The upstream stated that it did not run the request.
  NotRun,
  // The upstream answered with an error, which is in mFailure.
  Failed,
  // The answer is lost. The upstream may have run the request.
  Broken,
  // Like Broken, but because the route's timeout expired.
  TimedOut,
  // The upstream stopped the run, which can go on elsewhere; see mMove.
  Moved,
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
  std::shared_ptr<memory_claim> mFailureMemory;
  bool mReusedConnection = false;
  // The upstream of an idempotent request whose kept connection ended before
  // any byte of an answer arrived; otherwise null. See wire_error.
  upstream_ptr mStaleUpstream;
  // Unset if no answer arrived.
  std::optional<wire::body_framing> mFraming;
  // Set after Moved only.
  std::shared_ptr<run_move> mMove;
  // Bytes of a stream after its last complete event.
  std::size_t mUnfinishedBytes = 0;
  // Time since the upstream last sent bytes of the answer, or since the start.
  std::chrono::milliseconds mSilence{ 0 };
  // The rate named in the last answer read; see answer_info.
  std::optional<double> mAcceptedRate;
  std::string mDetail;
};

// How long an upstream may send nothing until another one is tried beside it.
struct silence_limits
{
  std::chrono::milliseconds mFirstEvent{ 0 };
  std::chrono::milliseconds mBetweenEvents{ 0 };
};

// The upstream chosen for an attempt, and the predictions for it.
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
  // Unset if the request may not be sent to a second upstream.
  std::optional<silence_limits> mSilence;
  // Whether the attempt may be sent although its upstream limits its rate.
  send_permit mPermit = send_permit::NotNeeded;
  // The run goes on from this copy; unset for a new run.
  std::optional<run_copy> mCopy;
};

// An attempt in progress.
struct running_attempt
{
  attempt_target mTarget;
  const wire::call_abort_ptr mAbort = std::make_shared<wire::call_abort>();
  const steady_time mStarted = std::chrono::steady_clock::now();
  // Since when the attempt has been waiting for its upstream; unset while it
  // writes to the caller and once it has ended.
  std::optional<steady_time> mWaitingSince = mStarted;
  // When its upstream was last found silent; the epoch if never.
  steady_time mSilenceNotedAt{};
  bool mHasEvents = false;
  // Answers to other requests that came before this one's.
  unsigned mForeignAnswers = 0;
  // The event after which the upstream was asked to go on; empty for the start.
  std::string mResumesAfter;
  // Another attempt answers. Nothing of this one may be relayed.
  bool mSuperseded = false;
};

// Called before an attempt relays anything. Returns false if another attempt
// answers the request.
using claim_hook = std::function<bool()>;

// Sends the request to one upstream and relays its answer, or as much of it as
// arrives. A silent upstream is waited for until the route's timeout.
asio::awaitable<attempt_result> RunAttempt(const forward_services& aServices,
                                           const forwarded_request& aForwarded,
                                           running_attempt& aAttempt,
                                           wire::http_reply& aReply,
                                           relay_progress& aProgress,
                                           const claim_hook& aClaim);

// Returns the time left until aTime; zero if it has passed.
std::chrono::milliseconds LeftUntil(steady_time aTime);

} // namespace sapphirespar::gateway
