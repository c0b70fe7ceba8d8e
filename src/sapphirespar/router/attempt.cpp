// Attempts: opening the upstream, relaying events or a whole answer.
#include "sapphirespar/router/attempt.hpp"

#include "sapphirespar/router/sse_splitter.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned kOk = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kServerErrors = 500;
constexpr unsigned kUnavailable = 503;

// Longest silence between two events of a stream that has begun.
constexpr milliseconds kProgressTimeout{ 5000 };
// The first event may take at least this long, however near the target.
constexpr milliseconds kShortestHeadTimeout{ 1000 };

milliseconds
Until(steady_time aTime)
{
  const auto left = aTime - steady_clock::now();
  return std::max(std::chrono::duration_cast<milliseconds>(left),
                  milliseconds(1));
}

// Until when the upstream must have begun its answer.
milliseconds
HeadTimeout(const call& aCall)
{
  const auto byAnswer = Until(aCall.mQueued.mAnswerBy);
  if (!aCall.mStream) {
    return byAnswer;
  }
  const auto byTarget =
    std::max(aCall.mClass->mFirstTokenTarget, kShortestHeadTimeout);
  return std::min(byAnswer, byTarget);
}

attempt_end
EndOf(const wire::wire_error& aError)
{
  if (aError.mKind == wire::wire_error_kind::Cancelled) {
    return attempt_end::CallerLeft;
  }
  if (!aError.mBytesWritten) {
    return attempt_end::NotSent;
  }
  return aError.mKind == wire::wire_error_kind::Timeout ? attempt_end::TimedOut
                                                        : attempt_end::Broken;
}

// Reads the rest of a body within aLimit.
asio::awaitable<wire::wire_result<std::string>>
ReadRest(wire::http_stream& aStream, steady_time aLimit)
{
  std::string body;
  while (true) {
    auto piece = co_await aStream.Read(Until(aLimit));
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      co_return body;
    }
    body += piece.value();
  }
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

// Headers of a stream, whose outcome is known only at its end.
wire::http_headers
StreamHeaders(const call& aCall)
{
  return { { "Content-Type", "text/event-stream" },
           { "Cache-Control", "no-store" },
           { "X-Request-Id", aCall.mId.mText } };
}

// Ends a call as soon as its caller has gone. Looks now and then, so that an
// upstream that sends nothing is left as well.
class caller_watch : public std::enable_shared_from_this<caller_watch>
{
public:
  caller_watch(asio::any_io_executor aExecutor,
               wire::http_reply& aReply,
               wire::call_abort_ptr aAbort)
    : mTimer(aExecutor)
    , mReply(&aReply)
    , mAbort(std::move(aAbort))
  {
  }

  void Start()
  {
    mTimer.expires_after(kCallerCheck);
    mTimer.async_wait([self = shared_from_this()](const auto& aError) {
      if (aError || self->mReply == nullptr) {
        return;
      }
      if (self->mReply->CallerGone()) {
        self->mAbort->Abort();
        return;
      }
      self->Start();
    });
  }

  void Stop()
  {
    mReply = nullptr;
    mTimer.cancel();
  }

private:
  static constexpr milliseconds kCallerCheck{ 200 };

  asio::steady_timer mTimer;
  // Null once the attempt has ended.
  wire::http_reply* mReply;
  wire::call_abort_ptr mAbort;
};

// The state of one attempt while it runs.
class attempt
{
public:
  attempt(const call& aCall, wire::http_reply& aReply, relay_state& aState)
    : mCall(aCall)
    , mReply(aReply)
    , mState(aState)
  {
  }

  asio::awaitable<attempt_result> Run(wire::endpoint aTarget,
                                      wire::http_client& aClient)
  {
    const auto watch = std::make_shared<caller_watch>(
      co_await asio::this_coro::executor, mReply, mAbort);
    // A call that must not be repeated runs to its end, so that its caller can
    // still learn how it ended.
    if (mCall.mClass->mIdempotent) {
      watch->Start();
    }
    auto result = co_await Exchange(std::move(aTarget), aClient);
    watch->Stop();
    co_return result;
  }

private:
  asio::awaitable<attempt_result> Exchange(wire::endpoint aTarget,
                                           wire::http_client& aClient)
  {
    const auto choice = mCall.mClass->mOnce == once_mode::None
                          ? wire::connection_choice::Pooled
                          : wire::connection_choice::Fresh;
    auto opened = co_await aClient.Open(
      aTarget, Forward(), HeadTimeout(mCall), choice, mAbort);
    if (!opened) {
      co_return End(EndOf(opened.error()), opened.error().mDetail);
    }
    auto& stream = *opened.value();
    const auto status = stream.Head().mStatus;
    if (status == kTooManyRequests || status == kUnavailable) {
      co_return End(attempt_end::Refused, std::to_string(status));
    }
    if (status >= kServerErrors) {
      co_return End(attempt_end::Broken, std::to_string(status));
    }
    if (mCall.mStream && status == kOk) {
      co_return co_await RelayEvents(stream);
    }
    co_return co_await RelayWhole(stream);
  }

  wire::http_request Forward() const
  {
    auto request = mCall.mForward;
    request.mHeaders.push_back({ "X-Request-Id", mCall.mId.mText });
    request.mHeaders.push_back(
      { "traceparent", FormatTraceparent(mCall.mTrace) });
    return request;
  }

  asio::awaitable<attempt_result> RelayWhole(wire::http_stream& aStream)
  {
    auto body = co_await ReadRest(aStream, mCall.mQueued.mAnswerBy);
    if (!body) {
      co_return End(EndOf(body.error()), body.error().mDetail);
    }
    wire::http_response response;
    response.mStatus = aStream.Head().mStatus;
    response.mHeaders = AnswerHeaders(mCall, aStream.Head());
    response.mBody = std::move(body).value();
    NoteSent(1);
    KeepAnswer(response);
    const bool sent = co_await mReply.Send(std::move(response));
    co_return End(sent ? attempt_end::Whole : attempt_end::CallerLeft, {});
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
    sse_splitter splitter;
    bool first = true;
    while (true) {
      const auto limit = first ? HeadTimeout(mCall) : kProgressTimeout;
      auto piece = co_await aStream.Read(limit);
      if (!piece) {
        co_return End(EndOf(piece.error()), piece.error().mDetail);
      }
      if (piece.value().empty()) {
        co_return End(attempt_end::Broken, "ended without [DONE]");
      }
      const auto events = splitter.Feed(piece.value());
      if (events.mBytes.empty()) {
        continue;
      }
      first = false;
      if (!co_await SendEvents(events)) {
        co_return End(attempt_end::CallerLeft, {});
      }
      if (events.mDone) {
        // Reading to the end lets the connection go back to its pool.
        co_await aStream.Read(kProgressTimeout);
        const bool sent = co_await mReply.Finish();
        co_return End(sent ? attempt_end::Whole : attempt_end::CallerLeft, {});
      }
    }
  }

  asio::awaitable<bool> SendEvents(const sse_events& aEvents)
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

  attempt_result End(attempt_end aEnd, std::string aDetail)
  {
    mResult.mEnd = aEnd;
    mResult.mDetail = std::move(aDetail);
    mResult.mTotal = steady_clock::now() - mStart;
    return mResult;
  }

  const call& mCall;
  wire::http_reply& mReply;
  relay_state& mState;
  const wire::call_abort_ptr mAbort = std::make_shared<wire::call_abort>();
  const steady_time mStart = steady_clock::now();
  attempt_result mResult;
};

} // namespace

std::string_view
ToText(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Whole:
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
           wire::http_client& aClient,
           wire::http_reply& aReply,
           relay_state& aState)
{
  attempt run(aCall, aReply, aState);
  wire::endpoint target;
  target.mAddress = aTarget.mAddress;
  target.mPort = aTarget.mPort;
  co_return co_await run.Run(std::move(target), aClient);
}

} // namespace sapphirespar::router
