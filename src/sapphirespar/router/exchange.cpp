// Serves exchanges: admission, at-most-once guard, slots, attempts and the
// final answer.
#include "sapphirespar/router/exchange.hpp"

#include "sapphirespar/router/one_shot.hpp"
#include "sapphirespar/router/refusal_response.hpp"

#include <boost/asio/this_coro.hpp>

#include <xxhash.h>

#include <random>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Maximum number of attempts at different upstreams for one request.
constexpr unsigned kMaxAttempts = 3;
// Maximum number of times that a stream is resumed at the engine that broke it
// off.
constexpr unsigned kMaxResumes = 2;

// Returns true with the given probability.
bool
Chance(double aProbability)
{
  thread_local std::minstd_rand generator{ std::random_device{}() };
  return std::bernoulli_distribution(aProbability)(generator);
}

// Whether the caller needs no further attempt.
bool
IsFinished(const attempt_result& aResult)
{
  return aResult.mEnd == attempt_end::Complete ||
         aResult.mEnd == attempt_end::CallerLeft;
}

// Returns a refusal with the reason of the last attempt and the outcome of all
// attempts together.
refusal
RefusalAfter(const attempt_result& aResult, bool aMayHaveRun)
{
  constexpr milliseconds kRetryAfter{ 1000 };
  refusal refused;
  refused.mReason = aResult.mEnd == attempt_end::TimedOut
                      ? refusal_reason::UpstreamTimeout
                      : refusal_reason::UpstreamFailed;
  refused.mOutcome = aMayHaveRun ? outcome::Unknown : outcome::NotRun;
  refused.mDetail = aResult.mDetail;
  refused.mRetryAfter = aMayHaveRun ? milliseconds(0) : kRetryAfter;
  return refused;
}

// One parsed request while it is being served.
class exchange
{
public:
  exchange(const exchange_services& aServices,
           wire::http_client& aClient,
           wire::http_reply& aReply,
           call& aCall)
    : mHooks(aServices.mHooks)
    , mServices(aServices)
    , mClient(aClient)
    , mReply(aReply)
    , mCall(aCall)
    , mReport(aServices.mSinks, aCall)
  {
  }

  asio::awaitable<void> Serve()
  {
    // Not a conditional expression, because g++ 12 destroys the value of a
    // co_await inside one twice.
    exchange_result end;
    if (mCall.mClass->mOnce == at_most_once_mode::None) {
      end = co_await AdmitAndServe();
    } else {
      end = co_await ServeAtMostOnce();
    }
    co_await Answer(end);
    mReport.ReportEnd(end, mState.mFirstSent);
  }

private:
  // Consults the at-most-once guard before admission and queueing, so that a
  // key whose request has run is never answered with "not run".
  asio::awaitable<exchange_result> ServeAtMostOnce()
  {
    const auto answer = std::make_shared<one_shot<ledger::dispatch_decision>>(
      co_await asio::this_coro::executor);
    const auto key = OnceKey();
    mHooks.mOnce.mBegin(MakeOnceRequest(key),
                        [answer](ledger::dispatch_decision aDecision) {
                          answer->Set(aDecision);
                        });
    std::optional<ledger::dispatch_decision> decision;
    while (!decision) {
      constexpr milliseconds kWait{ 1000 };
      decision = co_await answer->Wait(kWait);
    }
    if (!decision->mMayDispatch) {
      mReport.AddEvent("repeated", ToText(decision->mRefusal.mOutcome));
      co_return co_await AnswerRepeated(std::move(*decision));
    }
    mReport.AddEvent("claimed", mCall.mIdempotencyKey);
    mState.mKeepAnswer = true;
    auto end = co_await AdmitAndServe();
    mHooks.mOnce.mFinished(key, OutcomeOf(end), mState.mAnswer);
    co_return end;
  }

  // Returns the outcome of the request, whether or not its caller is still
  // connected.
  outcome OutcomeOf(const exchange_result& aResult) const
  {
    if (aResult.mComplete || mState.mAnswer) {
      return outcome::Done;
    }
    if (aResult.mCallerLeft) {
      return mState.mMayHaveRun ? outcome::Unknown : outcome::NotRun;
    }
    return aResult.mRefusal.mOutcome;
  }

  ledger::idempotency_key OnceKey() const
  {
    return { mCall.mAccount->mId, mCall.mIdempotencyKey };
  }

  ledger::dispatch_request MakeOnceRequest(ledger::idempotency_key aKey) const
  {
    const auto content =
      mCall.mForward.mMethod + mCall.mForward.mTarget + mCall.mForward.mBody;
    ledger::dispatch_request request;
    request.mMode = mCall.mClass->mOnce;
    request.mKey = std::move(aKey);
    request.mContentHash = XXH3_64bits(content.data(), content.size());
    request.mFirstAttempt = mCall.mFirstAttempt;
    return request;
  }

  // Answers a request whose key has been used before.
  asio::awaitable<exchange_result> AnswerRepeated(
    ledger::dispatch_decision aDecision)
  {
    exchange_result end;
    end.mRefusal = aDecision.mRefusal;
    if (!aDecision.mAnswer) {
      co_return end;
    }
    wire::http_response response;
    response.mStatus = aDecision.mAnswer->mStatus;
    response.mBody = aDecision.mAnswer->mBody;
    response.mHeaders = { { "Content-Type", aDecision.mAnswer->mContentType },
                          { "X-Request-Id", mCall.mId.mText },
                          { "X-Outcome", std::string(ToText(outcome::Done)) },
                          { "Idempotent-Replayed", "true" } };
    end.mComplete = co_await mReply.Send(std::move(response));
    end.mCallerLeft = !end.mComplete;
    co_return end;
  }

  asio::awaitable<exchange_result> AdmitAndServe()
  {
    if (auto refused = mHooks.mAdmit(mCall)) {
      exchange_result end;
      end.mRefusal = std::move(*refused);
      co_return end;
    }
    auto end = co_await ServeAttempts();
    mHooks.mReleaseAdmission(mCall);
    co_return end;
  }

  asio::awaitable<exchange_result> ServeAttempts()
  {
    exchange_result end;
    for (unsigned count = 1; count <= kMaxAttempts; ++count) {
      auto slot = co_await AcquireSlot();
      if (auto* refused = std::get_if<refusal>(&slot)) {
        // After a failed attempt, the attempt's refusal is more informative
        // than that of the queue.
        end.mRefusal = count == 1 ? std::move(*refused) : end.mRefusal;
        co_return end;
      }
      if (std::holds_alternative<caller_left>(slot)) {
        end.mCallerLeft = true;
        co_return end;
      }
      const auto result = co_await UseSlot(std::get<upstream_id>(slot));
      end.mComplete = result.mEnd == attempt_end::Complete;
      end.mCallerLeft = result.mEnd == attempt_end::CallerLeft;
      if (IsFinished(result)) {
        co_return end;
      }
      end.mRefusal = RefusalAfter(result, mState.mMayHaveRun);
      if (DecideRetry(count, false) != policy::retry_action::Retry) {
        co_return end;
      }
    }
    co_return end;
  }

  asio::awaitable<acquire_result> AcquireSlot()
  {
    const auto begin = steady_clock::now();
    auto span = mReport.StartChildSpan("queue");
    const std::function<bool()> callerGone = [this] {
      return mReply.CallerDisconnected();
    };
    auto slot =
      co_await mServices.mDispatcher.Acquire(mCall.mQueued, callerGone);
    const auto* upstream = std::get_if<upstream_id>(&slot);
    mReport.ReportQueueWait(steady_clock::now() - begin);
    mReport.FinishSpan(std::move(span), upstream == nullptr);
    mReport.AddEvent("slot", upstream != nullptr ? upstream->mText : "none");
    co_return slot;
  }

  // Sends the request to an upstream, resumes a broken stream if the engine
  // can, and releases the slot.
  asio::awaitable<attempt_result> UseSlot(upstream_id aUpstream)
  {
    attempt_result result;
    const auto* target = mCall.mSnapshot->Upstream(aUpstream);
    if (target == nullptr) {
      result.mDetail = "the upstream is no longer declared";
    } else {
      result = co_await RunAttemptAt(*target, attempt_kind::Start);
    }
    for (unsigned count = 1; count <= kMaxResumes; ++count) {
      if (IsFinished(result) || !CanResume(target) ||
          DecideRetry(count, true) != policy::retry_action::Resume) {
        break;
      }
      result = co_await RunAttemptAt(*target, attempt_kind::Resume);
    }
    ReleaseSlot(result);
    mCall.mQueued.mExcluded.push_back(std::move(aUpstream));
    co_return result;
  }

  // A stream is resumed only if the caller has received part of it. Otherwise a
  // new attempt at another upstream is better.
  bool CanResume(const upstream_spec* aTarget) const
  {
    return aTarget != nullptr && mCall.mStream && mState.mEventsSent > 0 &&
           aTarget->mKind == upstream_kind::Engine;
  }

  asio::awaitable<attempt_result> RunAttemptAt(const upstream_spec& aTarget,
                                               attempt_kind aKind)
  {
    auto span = mReport.StartChildSpan("upstream");
    span.mAttributes.push_back({ "upstream", aTarget.mId.mText });
    const attempt_context context{ mClient, mReply, mServices.mPauses };
    auto result = co_await RunAttempt(mCall, aTarget, aKind, context, mState);
    mHooks.mOnAttemptEnded(mCall, aTarget.mId, result);
    mReport.FinishSpan(std::move(span), result.mEnd != attempt_end::Complete);
    mReport.ReportAttempt(aTarget.mId, result);
    co_return result;
  }

  policy::retry_action DecideRetry(unsigned aAttempts,
                                   bool aResumeOffered) const
  {
    policy::failed_attempt failed;
    failed.mIdempotent = mCall.mClass->mIdempotent;
    failed.mBytesWritten = mState.mMayHaveRun;
    failed.mSentToCaller = mState.mEventsSent > 0;
    failed.mResumeOffered = aResumeOffered;
    failed.mAttempts = aAttempts;
    failed.mAnswerBy = mCall.mQueued.mAnswerBy;
    return mHooks.mDecideRetry(failed).mAction;
  }

  void ReleaseSlot(const attempt_result& aResult)
  {
    policy::completion completion;
    completion.mRequest = mCall.mId;
    completion.mSucceeded = aResult.mEnd == attempt_end::Complete;
    completion.mTokens = aResult.mEventsSent;
    completion.mFirstToken = aResult.mFirstToken;
    completion.mTotal = aResult.mTotal;
    mServices.mDispatcher.Finish(completion);
  }

  // Sends the refusal, unless the caller has its answer or has disconnected. A
  // stream that has begun gets an error event and no regular end of stream.
  asio::awaitable<void> Answer(const exchange_result& aResult)
  {
    if (aResult.mComplete || aResult.mCallerLeft) {
      co_return;
    }
    if (!mReply.Started()) {
      co_await mReply.Send(RefusalResponse(aResult.mRefusal, mCall.mId));
      co_return;
    }
    const auto event =
      "data: " + RefusalJson(aResult.mRefusal, mCall.mId) + "\n\n";
    co_await mReply.Write(event);
  }

  const exchange_hooks& mHooks;
  const exchange_services& mServices;
  wire::http_client& mClient;
  wire::http_reply& mReply;
  call& mCall;
  exchange_report mReport;
  relay_state mState;
};

} // namespace

asio::awaitable<void>
ServeExchange(const exchange_services& aServices,
              wire::http_client& aClient,
              const wire::http_request& aRequest,
              wire::http_reply& aReply)
{
  const auto id = NewRequestId();
  auto parsed =
    ParseCall(aRequest, aServices.mSnapshots.Load(), id, steady_clock::now());
  if (const auto* refused = std::get_if<refusal>(&parsed)) {
    ReportParseRefusal(aServices.mSinks, id, *refused);
    co_await aReply.Send(RefusalResponse(*refused, id));
    co_return;
  }
  auto& parsedCall = std::get<call>(parsed);
  if (aRequest.Header("traceparent").empty()) {
    parsedCall.mTrace.mSampled = Chance(aServices.mTraceSample);
  }
  exchange run(aServices, aClient, aReply, parsedCall);
  co_await run.Serve();
}

} // namespace sapphirespar::router
