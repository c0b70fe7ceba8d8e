// Understanding, admitting and answering forwarded requests.
#include "sapphirespar/gateway/forward.hpp"

#include "forward_state.hpp"
#include "placement.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/policy/engine_choice.hpp"
#include "sapphirespar/policy/retry.hpp"
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>
#include <cstdio>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// An unknown route or key is refused for good only while the routing is known
// to be this new; longer than a failed read and the one after it.
constexpr milliseconds kFreshRouting{ 2500 };

// Connections that may fail before the request is given up.
constexpr std::size_t kMostTargets = 4;

// When a caller is told to come back: after a gateway's start, and when no
// upstream can be used. Long enough for another read of the store.
constexpr milliseconds kComeBackSoon{ 500 };
constexpr milliseconds kComeBackLater{ 1000 };

// Timers may fire this much early.
constexpr milliseconds kTimerGrain{ 5 };

// While the gateway is leaving, work is begun only if it ends before the
// process does: the longest streams take about as long, plain answers a moment.
constexpr milliseconds kLongStream{ 5000 };
constexpr milliseconds kPlainAnswer{ 500 };

// A caller that comes back at once goes to another gateway.
constexpr milliseconds kComeBackElsewhere{ 20 };

// Why a request is answered here rather than by an upstream.
struct refusal_answer
{
  unsigned mStatus = 503;
  std::string_view mReason;
  // Zero if a later try would not help.
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

class forwarding
{
public:
  forwarding(const forward_services& aServices,
             const wire::http_request& aRequest,
             wire::http_reply& aReply)
    : mServices(aServices)
    , mReply(aReply)
    , mForwarded(aRequest)
  {
  }

  asio::awaitable<void> Run()
  {
    mForwarded.mFacts =
      mServices.mProtocol.mReadRequest(mForwarded.mRequest.mHeaders);
    mRoutingAge = mServices.mRouting.Age(mArrivedBoot);
    auto refusal = Admit();
    if (!refusal) {
      mReply.OnCallerGone([this] { OnCallerGone(); });
      refusal = co_await Attempts();
      mReply.OnCallerGone(nullptr);
    }
    if (refusal && !mProgress.mCallerGone) {
      mStatus = refusal->mStatus;
      mOutcome = refusal->mReason;
      mRetryAfter = refusal->mRetryAfter;
      co_await mReply.Send(ToResponse(*refusal));
    }
    Report();
  }

private:
  void OnCallerGone()
  {
    mProgress.mCallerGone = true;
    if (mProgress.mAbort) {
      mProgress.mAbort->Abort();
    }
  }

  // Fills in who sends what where; refuses what may not be forwarded.
  std::optional<refusal_answer> Admit()
  {
    mForwarded.mRouting = mServices.mRouting.Table();
    if (!mForwarded.mRouting) {
      return refusal_answer{ 503, "no_routing_yet", kComeBackSoon };
    }
    const bool fresh = mRoutingAge && *mRoutingAge < kFreshRouting;
    const auto path = wire::SplitTarget(mForwarded.mRequest.mTarget).mPath;
    mForwarded.mRoute =
      mForwarded.mRouting->Match(mForwarded.mRequest.Header("Host"), path);
    if (mForwarded.mRoute == nullptr) {
      return fresh ? refusal_answer{ 404, "no_such_route" }
                   : refusal_answer{ 503, "routing_stale", kComeBackSoon };
    }
    mForwarded.mPriority =
      mForwarded.mRouting->PriorityOf(*mForwarded.mRoute, nullptr);
    if (!mForwarded.mRoute->mPublic) {
      if (const auto refusal = CheckKey(fresh)) {
        return refusal;
      }
    }
    if (WouldBeCut()) {
      return refusal_answer{ 503, "leaving", kComeBackElsewhere };
    }
    const auto timeout = mForwarded.mRoute->mTimeout;
    const auto deadline = mForwarded.mFacts.mDeadline.value_or(timeout);
    mForwarded.mDue = mForwarded.mArrived + timeout;
    mForwarded.mCallerDue = mForwarded.mArrived + deadline;
    ChoosePool();
    return std::nullopt;
  }

  // Whether this process may end before the answer does.
  bool WouldBeCut() const
  {
    const auto left = mServices.mTimeToStop();
    const auto needed =
      mForwarded.mRoute->mStreams ? kLongStream : kPlainAnswer;
    return left && *left < needed;
  }

  std::optional<refusal_answer> CheckKey(bool aFresh)
  {
    const auto* account = mForwarded.mRouting->FindKey(mForwarded.mFacts.mKey);
    if (account == nullptr) {
      return aFresh ? refusal_answer{ 401, "unknown_key" }
                    : refusal_answer{ 503, "routing_stale", kComeBackSoon };
    }
    if (!mServices.mRouting.ProvesKeys(mArrivedBoot, mServices.mKeyFreshness)) {
      return refusal_answer{ 503, "key_not_proved", kComeBackLater };
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

  // Tries upstreams until one has answered or none may be tried any more.
  // Returns what is left to say to the caller.
  asio::awaitable<std::optional<refusal_answer>> Attempts()
  {
    while (true) {
      auto target = PlaceRequest(mServices, mForwarded, mTried);
      if (!target) {
        co_return GiveUp("no_upstream", kComeBackLater);
      }
      if (const auto refusal = CheckWait(*target)) {
        co_return refusal;
      }
      mTried.push_back(target->mUpstream);
      if (mForwarded.mEngine) {
        mServices.mPrefill.Add(target->mInteractive,
                               policy::PrefillMs(target->mPrefillTokens),
                               steady_clock::now());
      }
      const auto begun = steady_clock::now();
      auto result =
        co_await RunAttempt(mServices, mForwarded, *target, mReply, mProgress);
      ReportAttempt(*target, result, begun);
      const bool over = result.mEnd == attempt_end::Relayed ||
                        result.mEnd == attempt_end::CallerGone;
      if (over || mProgress.mCallerGone) {
        mStatus = result.mStatus;
        mOutcome = ToText(result.mEnd);
        co_return std::nullopt;
      }
      if (!MayTryAgain(result)) {
        co_return co_await EndWithout(std::move(result));
      }
    }
  }

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
    wait.mPatience = std::min({ FirstEventPatience(*mForwarded.mRoute),
                                LeftUntil(mForwarded.mDue),
                                LeftUntil(mForwarded.mCallerDue) });
    const auto comeBack = policy::CheckWaitLimit(wait, mServices.mDraw());
    if (!comeBack) {
      return std::nullopt;
    }
    constexpr double kPercent = 100;
    LogEvent(log_level::Info,
             "wait_refused",
             { { "request", mForwarded.mFacts.mId },
               { "upstream", aTarget.mUpstream->mEntry.mId.mText },
               { "predicted_ms", wait.mFirstEvent.count() },
               { "queueing_ms", wait.mQueueing.count() },
               { "slots_taken_percent",
                 static_cast<int>(kPercent * wait.mSlotsTaken) },
               { "others_running", aTarget.mUpstream->mOthers.mRunning } });
    return refusal_answer{ 503, "too_long_a_wait", *comeBack };
  }

  bool MayTryAgain(const attempt_result& aResult)
  {
    const auto now = steady_clock::now();
    if (mTried.size() >= kMostTargets) {
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
    failed.mAnswerBy = std::min(mForwarded.mDue, mForwarded.mCallerDue);
    const auto take = [&] {
      return mServices.mRetries.TryTake(
        mForwarded.mPool, mServices.mGateways(), now);
    };
    return policy::DecideRetry(failed, take, now).mAction !=
           policy::retry_action::GiveUp;
  }

  // The last attempt failed and there will be no other.
  asio::awaitable<std::optional<refusal_answer>> EndWithout(
    attempt_result aResult)
  {
    mStatus = aResult.mStatus;
    mOutcome = ToText(aResult.mEnd);
    if (mProgress.mBegun) {
      // The caller has a part; closing the connection tells that it is one.
      co_return std::nullopt;
    }
    if (aResult.mFailure) {
      co_await mReply.Send(std::move(*aResult.mFailure));
      co_return std::nullopt;
    }
    const bool late = LeftUntil(mForwarded.mDue) <= kTimerGrain;
    if (late && mProgress.mMayHaveRun) {
      co_return refusal_answer{ 504, "timeout" };
    }
    co_return GiveUp(ToText(aResult.mEnd), kComeBackSoon);
  }

  refusal_answer GiveUp(std::string_view aReason,
                        milliseconds aRetryAfter) const
  {
    if (mProgress.mMayHaveRun) {
      return { 502, aReason };
    }
    return { 503, aReason, aRetryAfter };
  }

  void ReportAttempt(const attempt_target& aTarget,
                     const attempt_result& aResult,
                     steady_time aBegun) const
  {
    const auto& upstream = *aTarget.mUpstream;
    LogEvent(log_level::Info,
             "attempt",
             { { "request", mForwarded.mFacts.mId },
               { "upstream", upstream.mEntry.mId.mText },
               { "end", ToText(aResult.mEnd) },
               { "status", aResult.mStatus },
               { "reused", static_cast<int>(aResult.mReusedConnection) },
               { "predicted_ms", static_cast<int>(aTarget.mPredictedMs) },
               { "took_ms", ToMs(steady_clock::now() - aBegun) },
               { "own_running", upstream.mOwn.mRunning },
               { "others_running", upstream.mOthers.mRunning },
               { "detail", aResult.mDetail } });
    mServices.mMetrics.Count("gateway_attempts_total",
                             { { "end", ToText(aResult.mEnd) } });
  }

  void Report() const
  {
    const auto now = steady_clock::now();
    const auto& route = mForwarded.mRoute;
    const std::string_view name = route ? std::string_view(route->mName) : "";
    const auto first = mProgress.mFirstSent.value_or(now);
    LogEvent(
      log_level::Info,
      "request",
      { { "request", mForwarded.mFacts.mId },
        { "route", name },
        { "account", mForwarded.mAccount ? mForwarded.mAccount->mText : "" },
        { "pool", mForwarded.mPool },
        { "priority", mForwarded.mPriority },
        { "tokens", mForwarded.mFacts.mPromptTokens },
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
  const boot_time mArrivedBoot = BootNow();
  std::optional<boot_clock::duration> mRoutingAge;
  relay_progress mProgress;
  std::vector<upstream_ptr> mTried;

  // For the report.
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
  forwarding run(aServices, aRequest, aReply);
  co_await run.Run();
}

} // namespace sapphirespar::gateway
