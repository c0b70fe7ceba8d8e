// Admission, attempts, retries and final answers of forwarded requests.
#include "sapphirespar/gateway/forward.hpp"

#include "forward_state.hpp"
#include "placement.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/policy/retry.hpp"
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>
#include <cstdio>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// An unknown route or key is refused with a final status (404 or 401) only
// while the routing is newer than this. The time covers a failed read and the
// read after it.
constexpr milliseconds kFreshRoutingAge{ 2500 };

// Maximum number of upstreams tried for one request, including those that could
// not be reached.
constexpr std::size_t kMaximumTargets = 4;

// Retry-After values, long enough for another read of the store. The longer one
// is for keys that can't be verified and for pools without a usable upstream.
constexpr milliseconds kRetrySoon{ 500 };
constexpr milliseconds kRetryLater{ 1000 };

// Timers may fire this much early.
constexpr milliseconds kTimerTolerance{ 5 };

// During shutdown a request is accepted only if it can finish before the
// process ends: these are the times that the longest streams and plain answers
// take.
constexpr milliseconds kLongestStream{ 5000 };
constexpr milliseconds kLongestPlainAnswer{ 500 };

// Retry-After during shutdown. It is short, because the caller retries at
// another gateway.
constexpr milliseconds kRetryElsewhere{ 20 };

// An answer that the gateway makes itself instead of relaying an upstream's.
struct refusal_answer
{
  unsigned mStatus = 503;
  std::string_view mReason;
  // Zero if a retry would not help.
  milliseconds mRetryAfter{ 0 };
};

std::string
ToSeconds(milliseconds aTime)
{
  std::array<char, 32> text{};
  constexpr double kMsPerSecond = 1000;
  const int size =
    std::snprintf(text.data(),
                  text.size(),
                  "%.3f",
                  static_cast<double>(aTime.count()) / kMsPerSecond);
  return { text.data(), static_cast<std::size_t>(std::max(size, 0)) };
}

wire::http_response
ToResponse(const refusal_answer& aRefusal)
{
  wire::http_response response;
  response.mStatus = aRefusal.mStatus;
  response.mHeaders = { { "Content-Type", "text/plain" } };
  if (aRefusal.mRetryAfter > milliseconds::zero()) {
    response.mHeaders.push_back(
      { "Retry-After", ToSeconds(aRefusal.mRetryAfter) });
  }
  response.mBody = std::string(aRefusal.mReason) + "\n";
  return response;
}

template<class Duration>
std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

class request_forwarder
{
public:
  request_forwarder(const forward_services& aServices,
                    const wire::http_request& aRequest,
                    wire::http_reply& aReply)
    : mServices(aServices)
    , mReply(aReply)
    , mForwarded(aRequest)
  {
  }

  asio::awaitable<void> Run()
  {
    mForwarded.mInfo =
      mServices.mProtocol.mReadRequest(mForwarded.mRequest.mHeaders);
    mRoutingAge = mServices.mRouting.Age(mArrivalBootTime);
    auto refusal = Admit();
    if (!refusal) {
      mReply.OnCallerDisconnect([this] { OnCallerDisconnect(); });
      refusal = co_await RunAttempts();
      mReply.OnCallerDisconnect(nullptr);
    }
    if (refusal && !mProgress.mCallerGone) {
      mStatus = refusal->mStatus;
      mOutcome = refusal->mReason;
      mRetryAfter = refusal->mRetryAfter;
      co_await mReply.Send(ToResponse(*refusal));
    }
    RecordRequest();
  }

private:
  void OnCallerDisconnect()
  {
    mProgress.mCallerGone = true;
    if (mProgress.mAbort) {
      mProgress.mAbort->Abort();
    }
  }

  // Sets the request's route, account, priority, deadlines and pool. Returns a
  // refusal if the request must not be forwarded.
  std::optional<refusal_answer> Admit()
  {
    mForwarded.mRouting = mServices.mRouting.Table();
    if (!mForwarded.mRouting) {
      return refusal_answer{ 503, "no_routing_yet", kRetrySoon };
    }
    const bool fresh = mRoutingAge && *mRoutingAge < kFreshRoutingAge;
    const auto path = wire::SplitTarget(mForwarded.mRequest.mTarget).mPath;
    mForwarded.mRoute =
      mForwarded.mRouting->Match(mForwarded.mRequest.Header("Host"), path);
    if (mForwarded.mRoute == nullptr) {
      return fresh ? refusal_answer{ 404, "no_such_route" }
                   : refusal_answer{ 503, "routing_stale", kRetrySoon };
    }
    mForwarded.mPriority =
      mForwarded.mRouting->PriorityOf(*mForwarded.mRoute, nullptr);
    if (!mForwarded.mRoute->mPublic) {
      if (const auto refusal = CheckKey(fresh)) {
        return refusal;
      }
    }
    if (MayBeCutOff()) {
      return refusal_answer{ 503, "leaving", kRetryElsewhere };
    }
    const auto timeout = mForwarded.mRoute->mTimeout;
    const auto deadline = mForwarded.mInfo.mDeadline.value_or(timeout);
    mForwarded.mDeadline = mForwarded.mArrived + timeout;
    mForwarded.mCallerDeadline = mForwarded.mArrived + deadline;
    ChoosePool();
    return std::nullopt;
  }

  // Whether this process may end before the answer is complete.
  bool MayBeCutOff() const
  {
    const auto left = mServices.mTimeToStop();
    const auto needed =
      mForwarded.mRoute->mStreams ? kLongestStream : kLongestPlainAnswer;
    return left && *left < needed;
  }

  std::optional<refusal_answer> CheckKey(bool aFresh)
  {
    const auto* account = mForwarded.mRouting->FindKey(mForwarded.mInfo.mKey);
    if (account == nullptr) {
      return aFresh ? refusal_answer{ 401, "unknown_key" }
                    : refusal_answer{ 503, "routing_stale", kRetrySoon };
    }
    if (!mServices.mRouting.IsConfirmedWithin(mArrivalBootTime,
                                              mServices.mKeyFreshness)) {
      return refusal_answer{ 503, "key_not_proved", kRetryLater };
    }
    mForwarded.mAccount = account->mId;
    mForwarded.mPriority =
      mForwarded.mRouting->PriorityOf(*mForwarded.mRoute, account);
    return std::nullopt;
  }

  void ChoosePool()
  {
    mForwarded.mPool =
      policy::ChoosePool(*mForwarded.mRoute, mServices.mDraw());
    const auto* pool = mForwarded.mRouting->FindPool(mForwarded.mPool);
    if (pool != nullptr) {
      mForwarded.mEngine = pool->mEngine;
    }
    mServices.mRetries.CountRequest(mForwarded.mPool, mForwarded.mArrived);
  }

  // Tries upstreams until the request is answered or no retry is allowed.
  // Returns a refusal if the caller still needs an answer.
  asio::awaitable<std::optional<refusal_answer>> RunAttempts()
  {
    while (true) {
      auto target = PlaceRequest(mServices, mForwarded, mTried);
      if (!target) {
        co_return MakeRefusal("no_upstream", kRetryLater);
      }
      if (const auto refusal = CheckWait(*target)) {
        co_return refusal;
      }
      mTried.push_back(target->mUpstream);
      if (mForwarded.mEngine) {
        const auto& figures = mServices.mModels.Of(mForwarded.mPool).Figures();
        mServices.mPrefill.Add(
          target->mInteractive,
          policy::PrefillMs(figures, target->mPrefillTokens),
          steady_clock::now());
      }
      const auto begun = steady_clock::now();
      auto result =
        co_await RunAttempt(mServices, mForwarded, *target, mReply, mProgress);
      RecordAttempt(*target, result, begun);
      const bool finished = result.mEnd == attempt_end::Relayed ||
                            result.mEnd == attempt_end::CallerDisconnected;
      if (finished || mProgress.mCallerGone) {
        mStatus = result.mStatus;
        mOutcome = ToText(result.mEnd);
        co_return std::nullopt;
      }
      if (!MayTryAgain(result)) {
        co_return co_await FinishUnanswered(std::move(result));
      }
      if (result.mStaleConnection) {
        // The same upstream may be tried again, once.
        mTried.pop_back();
        mProgress.mFreshConnection = true;
      }
    }
  }

  // Refuses a request for an engine if the predicted wait is too long. Only a
  // request that has not been sent to any upstream is refused.
  std::optional<refusal_answer> CheckWait(const attempt_target& aTarget)
  {
    if (!mForwarded.mEngine || mProgress.mSends > 0) {
      return std::nullopt;
    }
    policy::expected_wait wait;
    wait.mFirstEvent =
      milliseconds(static_cast<std::int64_t>(aTarget.mPredictedMs));
    wait.mQueueing =
      milliseconds(static_cast<std::int64_t>(aTarget.mQueueingMs));
    wait.mSlotsTaken = aTarget.mSlotsTaken;
    wait.mInteractive = aTarget.mInteractive;
    wait.mTarget = mForwarded.mRoute->mTargetLatency;
    wait.mPatience = std::min({ CallerPatience(*mForwarded.mRoute),
                                LeftUntil(mForwarded.mDeadline),
                                LeftUntil(mForwarded.mCallerDeadline) });
    const auto retryAfter = policy::CheckWaitLimit(wait, mServices.mDraw());
    if (!retryAfter) {
      return std::nullopt;
    }
    constexpr double kPercent = 100;
    LogEvent(log_level::Info,
             "wait_refused",
             { { "request", mForwarded.mInfo.mId },
               { "upstream", aTarget.mUpstream->mEntry.mId.mText },
               { "predicted_ms", wait.mFirstEvent.count() },
               { "queueing_ms", wait.mQueueing.count() },
               { "slots_taken_percent",
                 static_cast<int>(kPercent * wait.mSlotsTaken) },
               { "others_running", aTarget.mUpstream->mPeerLoad.mRunning } });
    return refusal_answer{ 503, "too_long_a_wait", *retryAfter };
  }

  bool MayTryAgain(const attempt_result& aResult)
  {
    const auto now = steady_clock::now();
    if (mTried.size() >= kMaximumTargets) {
      return false;
    }
    const auto& route = *mForwarded.mRoute;
    policy::failed_attempt failed;
    failed.mIdempotent = route.mIdempotent;
    failed.mBytesWritten = aResult.mEnd != attempt_end::NotSent;
    failed.mRejectedByUpstream = aResult.mEnd == attempt_end::NotRun;
    failed.mSentToCaller = mProgress.mBegun;
    failed.mResumeOffered =
      mProgress.mBegun && route.mResumable && !mProgress.mLastEventId.empty();
    failed.mAttempts = mProgress.mSends;
    failed.mMaximumAttempts = route.mMaximumAttempts;
    failed.mAnswerBy =
      std::min(mForwarded.mDeadline, mForwarded.mCallerDeadline);
    const auto take = [&] {
      return mServices.mRetries.TryTake(
        mForwarded.mPool, mServices.mGateways(), now);
    };
    return policy::DecideRetry(failed, take, now).mAction !=
           policy::retry_action::GiveUp;
  }

  // Ends a request whose last attempt failed. Returns a refusal if the caller
  // still needs an answer.
  asio::awaitable<std::optional<refusal_answer>> FinishUnanswered(
    attempt_result aResult)
  {
    mStatus = aResult.mStatus;
    mOutcome = ToText(aResult.mEnd);
    if (mProgress.mBegun) {
      // The caller has part of the answer. Closing the connection shows that it
      // is incomplete.
      co_return std::nullopt;
    }
    if (aResult.mFailure) {
      co_await mReply.Send(std::move(*aResult.mFailure));
      co_return std::nullopt;
    }
    const bool late = LeftUntil(mForwarded.mDeadline) <= kTimerTolerance;
    if (late && mProgress.mMayHaveRun) {
      co_return refusal_answer{ 504, "timeout" };
    }
    co_return MakeRefusal(ToText(aResult.mEnd), kRetrySoon);
  }

  // A 503 promises the caller that the request did not run and may be retried,
  // so a request that may have run gets a 502.
  refusal_answer MakeRefusal(std::string_view aReason,
                             milliseconds aRetryAfter) const
  {
    if (mProgress.mMayHaveRun) {
      return { 502, aReason };
    }
    if (const auto left = TimeUntilTaken(mServices, mForwarded.mPool)) {
      return { 503, "all_turn_away", *left };
    }
    return { 503, aReason, aRetryAfter };
  }

  void RecordAttempt(const attempt_target& aTarget,
                     const attempt_result& aResult,
                     steady_time aBegun) const
  {
    const auto& upstream = *aTarget.mUpstream;
    LogEvent(log_level::Info,
             "attempt",
             { { "request", mForwarded.mInfo.mId },
               { "upstream", upstream.mEntry.mId.mText },
               { "end", ToText(aResult.mEnd) },
               { "status", aResult.mStatus },
               { "reused", static_cast<int>(aResult.mReusedConnection) },
               { "predicted_ms", static_cast<int>(aTarget.mPredictedMs) },
               { "took_ms", ToMs(steady_clock::now() - aBegun) },
               { "own_running", upstream.mOwnLoad.mRunning },
               { "others_running", upstream.mPeerLoad.mRunning },
               { "framing",
                 aResult.mFraming ? wire::ToText(*aResult.mFraming) : "none" },
               { "unfinished_bytes", aResult.mUnfinishedBytes },
               { "detail", aResult.mDetail } });
    mServices.mMetrics.Count("gateway_attempts_total",
                             { { "end", ToText(aResult.mEnd) } });
  }

  void RecordRequest() const
  {
    const auto now = steady_clock::now();
    const auto& route = mForwarded.mRoute;
    const std::string_view name = route ? std::string_view(route->mName) : "";
    const auto first = mProgress.mFirstSent.value_or(now);
    LogEvent(
      log_level::Info,
      "request",
      { { "request", mForwarded.mInfo.mId },
        { "route", name },
        { "account", mForwarded.mAccount ? mForwarded.mAccount->mText : "" },
        { "pool", mForwarded.mPool },
        { "priority", mForwarded.mPriority },
        { "tokens", mForwarded.mInfo.mPromptTokens },
        { "outcome", mOutcome },
        { "status", mStatus },
        { "sends", mProgress.mSends },
        { "retry_after_ms", mRetryAfter.count() },
        { "first_ms", ToMs(first - mForwarded.mArrived) },
        { "total_ms", ToMs(now - mForwarded.mArrived) },
        { "routing_version",
          mForwarded.mRouting ? mForwarded.mRouting->Version() : 0 },
        { "routing_age_ms", mRoutingAge ? ToMs(*mRoutingAge) : -1 } });
    mServices.mMetrics.Count("gateway_requests_total",
                             { { "route", name }, { "outcome", mOutcome } });
    mServices.mMetrics.Observe("gateway_first_event_ms",
                               { { "route", name } },
                               first - mForwarded.mArrived);
    mServices.mMetrics.Observe(
      "gateway_request_ms", { { "route", name } }, now - mForwarded.mArrived);
  }

  const forward_services& mServices;
  wire::http_reply& mReply;
  forwarded_request mForwarded;
  const boot_time mArrivalBootTime = BootNow();
  std::optional<boot_clock::duration> mRoutingAge;
  relay_progress mProgress;
  std::vector<upstream_ptr> mTried;

  // Outcome, for the log and the metrics.
  unsigned mStatus = 0;
  std::string_view mOutcome;
  milliseconds mRetryAfter{ 0 };
};

} // namespace

asio::awaitable<void>
ServeForward(const forward_services& aServices,
             const wire::http_request& aRequest,
             wire::http_reply& aReply)
{
  request_forwarder forwarder(aServices, aRequest, aReply);
  co_await forwarder.Run();
}

} // namespace sapphirespar::gateway
