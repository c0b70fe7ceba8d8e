// Sends a request to an upstream and relays the stream or the single answer.
#include "sapphirespar/router/attempt.hpp"

#include "sapphirespar/router/attempt_watchdog.hpp"
#include "sapphirespar/wire/sse_splitter.hpp"

#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kUnavailable = 503;

// Longest gap between two events of a stream that has begun.
constexpr milliseconds kProgressLimit{ 5000 };
// Lower bound of the time limit for the first event, for short targets.
constexpr milliseconds kMinFirstEventLimit{ 1000 };
// The first event may take this many times its target. After that, another
// attempt is better than waiting.
constexpr int kFirstTokenTargetFactor = 2;
// Timeout of a single read. It is long because the watchdog enforces progress,
// and because a paused request sends nothing.
constexpr milliseconds kReadTimeout{ std::chrono::hours(1) };

// Returns the time left until aTime, at least one millisecond.
milliseconds
TimeUntil(steady_time aTime)
{
  const auto left = aTime - steady_clock::now();
  return std::max(std::chrono::duration_cast<milliseconds>(left),
                  milliseconds(1));
}

policy::progress_limits
LimitsOf(const call& aCall)
{
  // Silence ends an attempt early only if another one may follow.
  if (!aCall.mStream || !aCall.mClass->mIdempotent) {
    return { TimeUntil(aCall.mQueued.mAnswerBy), kProgressLimit };
  }
  const steady_duration target = aCall.mClass->mFirstTokenTarget;
  return { std::max<steady_duration>(target * kFirstTokenTargetFactor,
                                     kMinFirstEventLimit),
           kProgressLimit };
}

wire::http_headers
AnswerHeaders(const call& aCall, const wire::http_response& aHead)
{
  wire::http_headers headers;
  const auto type = aHead.Header("Content-Type");
  if (!type.empty()) {
    headers.push_back({ "Content-Type", std::string(type) });
  }
  headers.push_back({ "X-Request-Id", aCall.mId.mText });
  headers.push_back({ "X-Outcome", std::string(ToText(outcome::Done)) });
  return headers;
}

// Headers of a stream. They omit X-Outcome, because the outcome is known only
// at the end of the stream.
wire::http_headers
StreamHeaders(const call& aCall)
{
  return { { "Content-Type", "text/event-stream" },
           { "Cache-Control", "no-store" },
           { "X-Request-Id", aCall.mId.mText } };
}

// Whether the result proves that the attempt did not run the request.
bool
IsProvablyNotRun(attempt_end aEnd)
{
  return aEnd == attempt_end::NotSent || aEnd == attempt_end::Refused;
}

// One attempt in progress.
class attempt
{
public:
  attempt(const call& aCall,
          attempt_kind aKind,
          attempt_context aContext,
          relay_state& aState)
    : mCall(aCall)
    , mKind(aKind)
    , mContext(aContext)
    , mReply(aContext.mReply)
    , mState(aState)
  {
  }

  asio::awaitable<attempt_result> Run(wire::endpoint aTarget)
  {
    // A request that is not idempotent continues after its caller has
    // disconnected, so that the caller can still query its outcome.
    const watchdog_options options{ mReply,
                                    mAbort,
                                    mContext.mPauses.Register(mCall.mId),
                                    mCall.mClass->mIdempotent,
                                    LimitsOf(mCall) };
    mWatchdog.emplace(co_await asio::this_coro::executor, options);
    auto result = co_await SendAndRelay(std::move(aTarget));
    mWatchdog->Stop();
    mContext.mPauses.Unregister(mCall.mId);
    co_return result;
  }

private:
  asio::awaitable<attempt_result> SendAndRelay(wire::endpoint aTarget)
  {
    const auto choice = mCall.mClass->mOnce == at_most_once_mode::None
                          ? wire::connection_choice::Pooled
                          : wire::connection_choice::Fresh;
    auto opened = co_await mContext.mClient.Open(
      aTarget, MakeRequest(), kReadTimeout, choice, mAbort);
    if (!opened) {
      co_return Fail(opened.error());
    }
    auto& stream = *opened.value();
    const auto status = stream.Head().mStatus;
    if (status == kTooManyRequests || status == kUnavailable) {
      co_return End(attempt_end::Refused, std::to_string(status));
    }
    const bool notResumed = mKind == attempt_kind::Resume && status != kOk;
    if (status >= kFirstServerError || notResumed) {
      co_return End(attempt_end::Broken, std::to_string(status));
    }
    if (mCall.mStream && status == kOk) {
      co_return co_await RelayEvents(stream);
    }
    co_return co_await RelayBody(stream);
  }

  wire::http_request MakeRequest() const
  {
    auto request = mCall.mForward;
    if (mKind == attempt_kind::Resume) {
      request.mTarget = "/v1/requests/" + mCall.mId.mText +
                        "/continue?from=" + std::to_string(mState.mEventsSent);
      request.mBody.clear();
    }
    request.mHeaders.push_back({ "X-Request-Id", mCall.mId.mText });
    request.mHeaders.push_back(
      { "traceparent", FormatTraceparent(mCall.mTrace) });
    return request;
  }

  // Reads the body up to its end.
  asio::awaitable<wire::wire_result<std::string>> ReadBody(
    wire::http_stream& aStream)
  {
    std::string body;
    while (true) {
      auto piece = co_await aStream.Read(kReadTimeout);
      if (!piece) {
        co_return piece.error();
      }
      if (piece.value().empty()) {
        co_return body;
      }
      body += piece.value();
    }
  }

  asio::awaitable<attempt_result> RelayBody(wire::http_stream& aStream)
  {
    auto body = co_await ReadBody(aStream);
    if (!body) {
      co_return Fail(body.error());
    }
    wire::http_response response;
    response.mStatus = aStream.Head().mStatus;
    response.mHeaders = AnswerHeaders(mCall, aStream.Head());
    response.mBody = std::move(body).value();
    NoteSent(1);
    KeepAnswer(response);
    const bool sent = co_await mReply.Send(std::move(response));
    co_return End(sent ? attempt_end::Complete : attempt_end::CallerLeft, {});
  }

  void KeepAnswer(const wire::http_response& aResponse)
  {
    if (!mState.mKeepAnswer) {
      return;
    }
    auto kept = std::make_shared<ledger::stored_answer>();
    kept->mStatus = aResponse.mStatus;
    kept->mContentType = aResponse.Header("Content-Type");
    kept->mBody = aResponse.mBody;
    mState.mAnswer = std::move(kept);
  }

  asio::awaitable<attempt_result> RelayEvents(wire::http_stream& aStream)
  {
    wire::sse_splitter splitter;
    while (true) {
      auto piece = co_await aStream.Read(kReadTimeout);
      if (!piece) {
        co_return Fail(piece.error());
      }
      if (piece.value().empty()) {
        co_return End(attempt_end::Broken, "ended without [DONE]");
      }
      const auto events = splitter.Feed(piece.value());
      if (events.mBytes.empty()) {
        continue;
      }
      // The upstream is not at fault while the caller reads slowly.
      mWatchdog->SetSuspended(true);
      if (!co_await SendEvents(events)) {
        co_return End(attempt_end::CallerLeft, {});
      }
      mWatchdog->SetSuspended(false);
      mWatchdog->NoteProgress();
      if (events.mDone) {
        // Reads to the end, so that the connection returns to the client's
        // pool.
        co_await aStream.Read(kProgressLimit);
        const bool sent = co_await mReply.Finish();
        co_return End(sent ? attempt_end::Complete : attempt_end::CallerLeft,
                      {});
      }
    }
  }

  asio::awaitable<bool> SendEvents(const wire::sse_events& aEvents)
  {
    if (!mReply.Started()) {
      const bool begun = co_await mReply.Begin(kOk, StreamHeaders(mCall));
      if (!begun) {
        co_return false;
      }
    }
    NoteSent(aEvents.mCount);
    co_return co_await mReply.Write(aEvents.mBytes);
  }

  void NoteSent(unsigned aEvents)
  {
    const auto now = steady_clock::now();
    if (aEvents > 0 && mResult.mEventsSent == 0) {
      mResult.mFirstToken = now - mStart;
    }
    if (aEvents > 0 && !mState.mFirstSent) {
      mState.mFirstSent = now;
    }
    mResult.mEventsSent += aEvents;
    mState.mEventsSent += aEvents;
  }

  attempt_result Fail(const wire::wire_error& aError)
  {
    const auto reason = mWatchdog->Reason();
    if (reason == abort_reason::CallerLeft) {
      return End(attempt_end::CallerLeft, {});
    }
    if (!aError.mBytesWritten) {
      return End(attempt_end::NotSent, aError.mDetail);
    }
    const bool timedOut = reason == abort_reason::Stalled ||
                          aError.mKind == wire::wire_error_kind::Timeout;
    return End(timedOut ? attempt_end::TimedOut : attempt_end::Broken,
               timedOut ? "no progress" : aError.mDetail);
  }

  attempt_result End(attempt_end aEnd, std::string aDetail)
  {
    mResult.mEnd = aEnd;
    mState.mMayHaveRun = mState.mMayHaveRun || !IsProvablyNotRun(aEnd);
    mResult.mDetail = std::move(aDetail);
    mResult.mTotal = steady_clock::now() - mStart;
    return mResult;
  }

  const call& mCall;
  attempt_kind mKind;
  attempt_context mContext;
  wire::http_reply& mReply;
  relay_state& mState;
  // Empty until Run.
  std::optional<attempt_watchdog> mWatchdog;
  const wire::call_abort_ptr mAbort = std::make_shared<wire::call_abort>();
  const steady_time mStart = steady_clock::now();
  attempt_result mResult;
};

} // namespace

std::string_view
ToText(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Complete:
      return "whole";
    case attempt_end::CallerLeft:
      return "caller_left";
    case attempt_end::NotSent:
      return "not_sent";
    case attempt_end::Refused:
      return "refused";
    case attempt_end::Broken:
      return "broken";
    case attempt_end::TimedOut:
      break;
  }
  return "timed_out";
}

asio::awaitable<attempt_result>
RunAttempt(const call& aCall,
           const upstream_spec& aTarget,
           attempt_kind aKind,
           attempt_context aContext,
           relay_state& aState)
{
  attempt run(aCall, aKind, aContext, aState);
  wire::endpoint target;
  target.mAddress = aTarget.mAddress;
  target.mPort = aTarget.mPort;
  co_return co_await run.Run(std::move(target));
}

} // namespace sapphirespar::router
