// Exchanges: admission, at-most-once, slots, attempts and the final answer.
#include "sapphirespar/router/exchange.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/router/answer.hpp"
#include "sapphirespar/router/one_shot.hpp"

#include <boost/asio/this_coro.hpp>

#include <xxhash.h>

#include <algorithm>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using std::chrono::system_clock;

constexpr unsigned kMostAttempts = 3;

// How a request ended for its caller.
struct exchange_end
{
  bool mWhole = false;
  bool mCallerLeft = false;
  // Holds unless the answer was whole.
  refusal mRefusal;
};

double
ToMilliseconds(steady_duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

// Whether another attempt can neither repeat work that must not be repeated
// nor text that the caller already has.
bool
IsRetrySafe(const call& aCall, const attempt_result& aResult)
{
  switch (aResult.mEnd) {
    case attempt_end::NotSent:
    case attempt_end::Refused:
      return true;
    case attempt_end::Broken:
    case attempt_end::TimedOut:
      return aCall.mClass->mIdempotent && aResult.mEventsSent == 0;
    case attempt_end::Whole:
    case attempt_end::CallerLeft:
      break;
  }
  return false;
}

refusal
RefusalAfter(const attempt_result& aResult)
{
  refusal refused;
  const bool timedOut = aResult.mEnd == attempt_end::TimedOut;
  refused.mReason =
    timedOut ? refusal_reason::UpstreamTimeout : refusal_reason::UpstreamFailed;
  const bool notRun = aResult.mEnd == attempt_end::NotSent ||
                      aResult.mEnd == attempt_end::Refused;
  refused.mOutcome = notRun ? outcome::NotRun : outcome::Unknown;
  refused.mDetail = aResult.mDetail;
  constexpr milliseconds kRetryAfter{ 1000 };
  refused.mRetryAfter = notRun ? kRetryAfter : milliseconds(0);
  return refused;
}

class exchange
{
public:
  exchange(const exchange_services& aServices,
           wire::http_client& aClient,
           wire::http_reply& aReply)
    : mServices(aServices)
    , mClient(aClient)
    , mReply(aReply)
  {
  }

  asio::awaitable<void> Serve(const wire::http_request& aRequest)
  {
    const auto id = NewRequestId();
    auto parsed =
      ParseCall(aRequest, mServices.mSnapshots.Load(), id, mArrival);
    if (auto* refused = std::get_if<refusal>(&parsed)) {
      CountRefusal("none", *refused);
      LogEvent(log_level::Info,
               "request_refused",
               { { "request", id.mText },
                 { "code", ToText(refused->mReason) },
                 { "detail", refused->mDetail } });
      co_await mReply.Send(RefusalResponse(*refused, id));
      co_return;
    }
    mCall = std::move(std::get<call>(parsed));
    mSpan = StartSpan("request", mCall.mTrace, system_clock::now());
    mCall.mTrace = mSpan.mContext;
    // Not a conditional expression: g++ 12 destroys the value of a co_await
    // in one twice.
    exchange_end end;
    if (mCall.mClass->mOnce == once_mode::None) {
      end = co_await ServeAdmitted();
    } else {
      end = co_await ServeOnce();
    }
    co_await Answer(end);
    Report(end);
  }

private:
  // Asks the at-most-once guard before anything else, so that "not run" is
  // never said of a key that has run.
  asio::awaitable<exchange_end> ServeOnce()
  {
    const auto answer = std::make_shared<one_shot<ledger::once_verdict>>(
      co_await asio::this_coro::executor);
    const auto key = OnceKey();
    mServices.mOnce.mBegin(
      MakeOnceRequest(key),
      [answer](ledger::once_verdict aVerdict) { answer->Set(aVerdict); });
    std::optional<ledger::once_verdict> verdict;
    while (!verdict) {
      constexpr milliseconds kWait{ 1000 };
      verdict = co_await answer->Wait(kWait);
    }
    if (!verdict->mRun) {
      co_return co_await AnswerRepeated(std::move(*verdict));
    }
    mKeepAnswer = true;
    auto end = co_await ServeAdmitted();
    mServices.mOnce.mFinished(key, FateOf(end), mState.mAnswer);
    co_return end;
  }

  // What is true of the request, whether or not its caller is still there.
  outcome FateOf(const exchange_end& aEnd) const
  {
    if (aEnd.mWhole || mState.mAnswer) {
      return outcome::Done;
    }
    return aEnd.mCallerLeft ? mFateIfLeft : aEnd.mRefusal.mOutcome;
  }

  ledger::once_key OnceKey() const
  {
    return { mCall.mAccount->mId, mCall.mIdempotencyKey };
  }

  ledger::once_request MakeOnceRequest(ledger::once_key aKey) const
  {
    const auto content =
      mCall.mForward.mMethod + mCall.mForward.mTarget + mCall.mForward.mBody;
    ledger::once_request request;
    request.mMode = mCall.mClass->mOnce;
    request.mKey = std::move(aKey);
    request.mContentHash = XXH3_64bits(content.data(), content.size());
    request.mFirstAttempt = mCall.mFirstAttempt;
    return request;
  }

  // Answers a request whose key has been used before.
  asio::awaitable<exchange_end> AnswerRepeated(ledger::once_verdict aVerdict)
  {
    exchange_end end;
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
    end.mWhole = co_await mReply.Send(std::move(response));
    end.mCallerLeft = !end.mWhole;
    co_return end;
  }

  asio::awaitable<exchange_end> ServeAdmitted()
  {
    if (auto refused = mServices.mAdmit(mCall)) {
      exchange_end end;
      end.mRefusal = std::move(*refused);
      co_return end;
    }
    auto end = co_await ServeAttempts();
    mServices.mLeft(mCall);
    co_return end;
  }

  asio::awaitable<exchange_end> ServeAttempts()
  {
    exchange_end end;
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
      const auto result = co_await AttemptAt(std::get<upstream_id>(slot));
      end.mWhole = result.mEnd == attempt_end::Whole;
      end.mCallerLeft = result.mEnd == attempt_end::CallerLeft;
      if (end.mWhole || end.mCallerLeft) {
        mFateIfLeft = outcome::Unknown;
        co_return end;
      }
      end.mRefusal = RefusalAfter(result);
      const bool inTime = steady_clock::now() < mCall.mQueued.mAnswerBy;
      if (!inTime || !IsRetrySafe(mCall, result)) {
        co_return end;
      }
    }
    co_return end;
  }

  asio::awaitable<slot_answer> AcquireSlot()
  {
    auto span = StartSpan("queue", mCall.mTrace, system_clock::now());
    const auto begin = steady_clock::now();
    const std::function<bool()> callerGone = [this] {
      return mReply.CallerGone();
    };
    auto slot =
      co_await mServices.mDispatcher.Acquire(mCall.mQueued, callerGone);
    mServices.mMetrics.Observe("sapphirespar_queue_wait_ms",
                               { { "class", mCall.mClass->mId.mText } },
                               steady_clock::now() - begin);
    span.mFailed = !std::holds_alternative<upstream_id>(slot);
    FinishSpan(std::move(span));
    co_return slot;
  }

  asio::awaitable<attempt_result> AttemptAt(upstream_id aUpstream)
  {
    attempt_result result;
    const auto* target = mCall.mSnapshot->Upstream(aUpstream);
    auto span = StartSpan("upstream", mCall.mTrace, system_clock::now());
    span.mAttributes.push_back({ "upstream", aUpstream.mText });
    if (target != nullptr) {
      mState.mKeepAnswer = mKeepAnswer;
      result = co_await RunAttempt(mCall, *target, mClient, mReply, mState);
    } else {
      result.mDetail = "the upstream is no longer declared";
    }
    GiveBack(result);
    mServices.mObserve(aUpstream, result);
    LogAttempt(aUpstream, result);
    span.mFailed = result.mEnd != attempt_end::Whole;
    FinishSpan(std::move(span));
    mCall.mQueued.mExcluded.push_back(std::move(aUpstream));
    co_return result;
  }

  void GiveBack(const attempt_result& aResult)
  {
    policy::completion completion;
    completion.mRequest = mCall.mId;
    completion.mSucceeded = aResult.mEnd == attempt_end::Whole;
    completion.mTokens = aResult.mEventsSent;
    completion.mFirstToken = aResult.mFirstToken;
    completion.mTotal = aResult.mTotal;
    mServices.mDispatcher.Finish(completion);
  }

  void LogAttempt(const upstream_id& aUpstream, const attempt_result& aResult)
  {
    mServices.mMetrics.Count(
      "sapphirespar_attempts_total",
      { { "upstream", aUpstream.mText }, { "end", ToText(aResult.mEnd) } });
    if (aResult.mEnd == attempt_end::Whole) {
      return;
    }
    LogEvent(log_level::Warning,
             "attempt_failed",
             { { "request", mCall.mId.mText },
               { "upstream", aUpstream.mText },
               { "end", ToText(aResult.mEnd) },
               { "events_sent", aResult.mEventsSent },
               { "detail", aResult.mDetail } });
  }

  // Sends the refusal, unless the caller has its answer or has left. A stream
  // that has begun ends with an error event and without its proper end.
  asio::awaitable<void> Answer(const exchange_end& aEnd)
  {
    if (aEnd.mWhole || aEnd.mCallerLeft) {
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

  void CountRefusal(std::string_view aClass, const refusal& aRefusal)
  {
    mServices.mMetrics.Count("sapphirespar_requests_total",
                             { { "class", aClass },
                               { "outcome", ToText(aRefusal.mOutcome) },
                               { "code", ToText(aRefusal.mReason) } });
  }

  void Report(const exchange_end& aEnd)
  {
    const auto& name = mCall.mClass->mId.mText;
    if (aEnd.mWhole || aEnd.mCallerLeft) {
      mServices.mMetrics.Count(
        "sapphirespar_requests_total",
        { { "class", name },
          { "outcome", aEnd.mWhole ? "done" : "caller_left" },
          { "code", "" } });
    } else {
      CountRefusal(name, aEnd.mRefusal);
    }
    const auto first = mState.mFirstSent.value_or(steady_clock::now());
    if (aEnd.mWhole) {
      mServices.mMetrics.Observe(
        "sapphirespar_first_token_ms", { { "class", name } }, first - mArrival);
    }
    const std::string_view code = aEnd.mWhole ? "done"
                                  : aEnd.mCallerLeft
                                    ? "caller_left"
                                    : ToText(aEnd.mRefusal.mReason);
    LogEvent(log_level::Info,
             "request",
             { { "request", mCall.mId.mText },
               { "class", name },
               { "account", mCall.mAccount->mId.mText },
               { "end", code },
               { "total_ms", ToMilliseconds(steady_clock::now() - mArrival) },
               { "trace", mCall.mTrace.mTraceId } });
    mSpan.mFailed = !aEnd.mWhole;
    mSpan.mAttributes.push_back({ "class", name });
    mSpan.mAttributes.push_back({ "end", std::string(code) });
    FinishSpan(std::move(mSpan));
  }

  void FinishSpan(trace_span aSpan)
  {
    if (!mCall.mTrace.mSampled) {
      return;
    }
    aSpan.mEnd = system_clock::now();
    aSpan.mAttributes.push_back({ "request", mCall.mId.mText });
    mServices.mSpans.Add(std::move(aSpan));
  }

  const exchange_services& mServices;
  wire::http_client& mClient;
  wire::http_reply& mReply;
  const steady_time mArrival = steady_clock::now();
  call mCall;
  trace_span mSpan;
  relay_state mState;
  // Whether the answer is kept for a caller that loses its copy.
  bool mKeepAnswer = false;
  // What is true of a request whose caller left: nothing was sent until the
  // first attempt.
  outcome mFateIfLeft = outcome::NotRun;
};

} // namespace

asio::awaitable<void>
ServeExchange(const exchange_services& aServices,
              wire::http_client& aClient,
              const wire::http_request& aRequest,
              wire::http_reply& aReply)
{
  exchange run(aServices, aClient, aReply);
  co_await run.Serve(aRequest);
}

} // namespace sapphirespar::router
