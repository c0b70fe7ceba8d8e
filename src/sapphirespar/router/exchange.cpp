// Exchanges: admission, at-most-once, slots, attempts and the final answer.
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

// Attempts at different upstreams for one request.
constexpr unsigned kMostAttempts = 3;
// Resumptions of one stream at the engine that broke it off.
constexpr unsigned kMostResumes = 2;

// Returns true with the given probability.
bool
Chance(double aProbability)
{
  thread_local std::minstd_rand generator{ std::random_device{}() };
  return std::bernoulli_distribution(aProbability)(generator);
}

// Whether nothing remains to be done for the caller.
bool
IsOver(const attempt_result& aResult)
{
  return aResult.mEnd == attempt_end::Complete ||
         aResult.mEnd == attempt_end::CallerLeft;
}

// Tells how the last attempt failed and what is true of all of them.
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

// One understood request on its way.
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
    // Not a conditional expression: g++ 12 destroys the value of a co_await
    // in one twice.
    exchange_result end;
    if (mCall.mClass->mOnce == at_most_once_mode::None) {
      end = co_await ServeAdmitted();
    } else {
      end = co_await ServeOnce();
    }
    co_await Answer(end);
    mReport.ReportEnd(end, mState.mFirstSent);
  }

private:
  // Asks the at-most-once guard before anything else, so that "not run" is
  // never said of a key that has run.
  asio::awaitable<exchange_result> ServeOnce()
  {
    const auto answer = std::make_shared<one_shot<ledger::dispatch_decision>>(
      co_await asio::this_coro::executor);
    const auto key = OnceKey();
    mHooks.mOnce.mBegin(
      MakeOnceRequest(key),
      [answer](ledger::dispatch_decision aVerdict) { answer->Set(aVerdict); });
    std::optional<ledger::dispatch_decision> verdict;
    while (!verdict) {
      constexpr milliseconds kWait{ 1000 };
      verdict = co_await answer->Wait(kWait);
    }
    if (!verdict->mMayDispatch) {
      mReport.AddEvent("repeated", ToText(verdict->mRefusal.mOutcome));
      co_return co_await AnswerRepeated(std::move(*verdict));
    }
    mReport.AddEvent("claimed", mCall.mIdempotencyKey);
    mState.mKeepAnswer = true;
    auto end = co_await ServeAdmitted();
    mHooks.mOnce.mFinished(key, FateOf(end), mState.mAnswer);
    co_return end;
  }

  // What is true of the request, whether or not its caller is still there.
  outcome FateOf(const exchange_result& aEnd) const
  {
    if (aEnd.mComplete || mState.mAnswer) {
      return outcome::Done;
    }
    if (aEnd.mCallerLeft) {
      return mState.mMayHaveRun ? outcome::Unknown : outcome::NotRun;
    }
    return aEnd.mRefusal.mOutcome;
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
    ledger::dispatch_decision aVerdict)
  {
    exchange_result end;
    end.mRefusal = aVerdict.mRefusal;
    if (!aVerdict.mAnswer) {
      co_return end;
    }
    wire::http_response response;
    response.mStatus = aVerdict.mAnswer->mStatus;
    response.mBody = aVerdict.mAnswer->mBody;
    response.mHeaders = { { "Content-Type", aVerdict.mAnswer->mContentType },
                          { "X-Request-Id", mCall.mId.mText },
                          { "X-Outcome", std::string(ToText(outcome::Done)) },
                          { "Idempotent-Replayed", "true" } };
    end.mComplete = co_await mReply.Send(std::move(response));
    end.mCallerLeft = !end.mComplete;
    co_return end;
  }

  asio::awaitable<exchange_result> ServeAdmitted()
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
    for (unsigned count = 1; count <= kMostAttempts; ++count) {
      auto slot = co_await AcquireSlot();
      if (auto* refused = std::get_if<refusal>(&slot)) {
        // The refusal of an earlier attempt says more than the queue's.
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
      if (IsOver(result)) {
        co_return end;
      }
      end.mRefusal = RefusalAfter(result, mState.mMayHaveRun);
      if (Decide(count, false) != policy::retry_action::Retry) {
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
      return mReply.CallerGone();
    };
    auto slot =
      co_await mServices.mDispatcher.Acquire(mCall.mQueued, callerGone);
    const auto* upstream = std::get_if<upstream_id>(&slot);
    mReport.ReportQueueWait(steady_clock::now() - begin);
    mReport.FinishSpan(std::move(span), upstream == nullptr);
    mReport.AddEvent("slot", upstream != nullptr ? upstream->mText : "none");
    co_return slot;
  }

  // Runs the request at an upstream, resuming a stream that breaks off where
  // the engine can, and gives the slot back.
  asio::awaitable<attempt_result> UseSlot(upstream_id aUpstream)
  {
    attempt_result result;
    const auto* target = mCall.mSnapshot->Upstream(aUpstream);
    if (target == nullptr) {
      result.mDetail = "the upstream is no longer declared";
    } else {
      result = co_await AttemptAt(*target, attempt_kind::Start);
    }
    for (unsigned count = 1; count <= kMostResumes; ++count) {
      if (IsOver(result) || !CanResume(target) ||
          Decide(count, true) != policy::retry_action::Resume) {
        break;
      }
      result = co_await AttemptAt(*target, attempt_kind::Resume);
    }
    GiveBack(result);
    mCall.mQueued.mExcluded.push_back(std::move(aUpstream));
    co_return result;
  }

  // Only a stream whose caller has part of it is resumed; any other is better
  // begun anew elsewhere.
  bool CanResume(const upstream_spec* aTarget) const
  {
    return aTarget != nullptr && mCall.mStream && mState.mEventsSent > 0 &&
           aTarget->mKind == upstream_kind::Engine;
  }

  asio::awaitable<attempt_result> AttemptAt(const upstream_spec& aTarget,
                                            attempt_kind aKind)
  {
    auto span = mReport.StartChildSpan("upstream");
    span.mAttributes.push_back({ "upstream", aTarget.mId.mText });
    const attempt_context ends{ mClient, mReply, mServices.mPauses };
    auto result = co_await RunAttempt(mCall, aTarget, aKind, ends, mState);
    mHooks.mOnAttemptEnded(mCall, aTarget.mId, result);
    mReport.FinishSpan(std::move(span), result.mEnd != attempt_end::Complete);
    mReport.ReportAttempt(aTarget.mId, result);
    co_return result;
  }

  policy::retry_action Decide(unsigned aAttempts, bool aResumeOffered) const
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

  void GiveBack(const attempt_result& aResult)
  {
    policy::completion completion;
    completion.mRequest = mCall.mId;
    completion.mSucceeded = aResult.mEnd == attempt_end::Complete;
    completion.mTokens = aResult.mEventsSent;
    completion.mFirstToken = aResult.mFirstToken;
    completion.mTotal = aResult.mTotal;
    mServices.mDispatcher.Finish(completion);
  }

  // Sends the refusal, unless the caller has its answer or has left. A stream
  // that has begun ends with an error event and without its proper end.
  asio::awaitable<void> Answer(const exchange_result& aEnd)
  {
    if (aEnd.mComplete || aEnd.mCallerLeft) {
      co_return;
    }
    if (!mReply.Started()) {
      co_await mReply.Send(RefusalResponse(aEnd.mRefusal, mCall.mId));
      co_return;
    }
    const auto event =
      "data: " + RefusalJson(aEnd.mRefusal, mCall.mId) + "\n\n";
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
  auto& understood = std::get<call>(parsed);
  if (aRequest.Header("traceparent").empty()) {
    understood.mTrace.mSampled = Chance(aServices.mTraceSample);
  }
  exchange run(aServices, aClient, aReply, understood);
  co_await run.Serve();
}

} // namespace sapphirespar::router
