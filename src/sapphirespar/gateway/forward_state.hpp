// What the attempts for one forwarded request share. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/answer_judgement.hpp"
#include "sapphirespar/gateway/forward.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// A request after it has been understood and let in.
struct forwarded_request
{
  explicit forwarded_request(const wire::http_request& aRequest)
    : mRequest(aRequest)
  {
  }

  const wire::http_request& mRequest;
  request_facts mFacts;
  // Keeps alive what mRoute points at.
  routing_ptr mRouting;
  const route* mRoute = nullptr;
  // Unset on routes that need no key.
  std::optional<account_id> mAccount;
  unsigned mPriority = 0;
  std::string mPool;
  // Unset for a plain service.
  std::optional<engine_traits> mEngine;
  const steady_time mArrived = std::chrono::steady_clock::now();
  // The final answer is due by then.
  steady_time mDue{};
  // When the caller itself gives up.
  steady_time mCallerDue{};
};

// Changes as attempts go on.
struct relay_progress
{
  // Ends the call in progress, which the caller's leaving does.
  wire::call_abort_ptr mAbort;
  bool mCallerGone = false;
  // Upstreams that any byte of the request went to.
  unsigned mSends = 0;
  // Whether any of them may have run it. Never goes back to false.
  bool mMayHaveRun = false;
  // Of a stream: whether the answer has begun, and its last event.
  bool mBegun = false;
  std::string mLastEventId;
  // Unset before the first event, or the whole answer, has been sent.
  std::optional<steady_time> mFirstSent;
};

enum class attempt_end
{
  // The whole answer has gone to the caller.
  Relayed,
  CallerGone,
  // The upstream was not reached; it has seen nothing of the request.
  NotSent,
  // The upstream said that it did not run the request.
  NotRun,
  // The upstream answered with a failure of its own, which is in mFailure.
  Failed,
  // The upstream may have run the request; its answer is lost.
  Broken,
  // As Broken, because it was silent for too long.
  Silent,
};

// Returns the end as it stands in logs, such as "not_sent".
std::string_view ToText(attempt_end aEnd);

struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  unsigned mStatus = 0;
  // Of a failed answer, as it may be passed on.
  std::optional<wire::http_response> mFailure;
  bool mReusedConnection = false;
  std::string mDetail;
};

// Where an attempt goes and how long it may be silent there.
struct attempt_target
{
  upstream_ptr mUpstream;
  // Until the first event, and the part of it that is spent on other work.
  double mPredictedMs = 0;
  double mQueueingMs = 0;
  // Share of the slots taken on engines for work of this kind.
  double mSlotsTaken = 0;
  // Of an engine: what it will have to read, and for whom.
  double mPrefillTokens = 0;
  bool mInteractive = false;
  // Shared part that the upstream will have read with the first event.
  std::uint64_t mSharedKey = 0;
  // Ends when the attempt does.
  std::unique_ptr<work_ticket> mTicket;
  // Longest wait for the first event and between events.
  std::chrono::milliseconds mFirstPatience{ 0 };
  std::chrono::milliseconds mGapPatience{ 0 };
};

asio::awaitable<attempt_result> RunAttempt(const forward_services& aServices,
                                           const forwarded_request& aForwarded,
                                           const attempt_target& aTarget,
                                           wire::http_reply& aReply,
                                           relay_progress& aProgress);

// Milliseconds left until aTime; zero if it has passed.
std::chrono::milliseconds LeftUntil(steady_time aTime);

} // namespace sapphirespar::gateway
