// Tests attempts against an upstream on loopback: broken and resumed streams,
// refusals, timeouts, and callers that disconnect.
#include "sapphirespar/router/attempt.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

// Records everything that is sent to the caller.
class recording_reply : public wire::http_reply
{
public:
  asio::awaitable<bool> Send(wire::http_response aResponse) override
  {
    mStarted = true;
    mText += aResponse.mBody;
    co_return !mDisconnected;
  }
  asio::awaitable<bool> Begin(unsigned,
                              wire::http_headers,
                              std::string_view aFirst) override
  {
    ++mBegun;
    mStarted = true;
    mText += aFirst;
    co_return !mDisconnected;
  }
  asio::awaitable<bool> Write(std::string_view aBytes) override
  {
    mText += aBytes;
    co_return !mDisconnected;
  }
  asio::awaitable<bool> Finish(std::string_view aLast) override
  {
    mText += aLast;
    mFinished = true;
    co_return !mDisconnected;
  }
  bool Started() const override { return mStarted; }
  bool CallerDisconnected() override { return mDisconnected; }
  void OnCallerDisconnect(std::function<void()>) override {}
  std::string RemoteAddress() const override { return {}; }

  std::string mText;
  unsigned mBegun = 0;
  bool mStarted = false;
  bool mFinished = false;
  bool mDisconnected = false;
};

wire::http_headers
EventHeaders()
{
  return { { "Content-Type", "text/event-stream" } };
}

class attempt_fixture : public testing::Test
{
protected:
  attempt_fixture()
  {
    const std::array workers{ &mContext };
    mServer = std::make_unique<wire::http_server>(
      mContext,
      workers,
      wire::http_server_settings{},
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        return Answer(aRequest, aReply);
      });
    mClass.mFirstTokenTarget = 100ms;
    mCall.mId = { "request-1" };
    mCall.mClass = &mClass;
    mCall.mStream = true;
    mCall.mForward.mMethod = "POST";
    mCall.mQueued.mAnswerBy = std::chrono::steady_clock::now() + 1h;
    mUpstream.mAddress = "127.0.0.1";
    mUpstream.mPort = mServer->Port();
  }

  // The path selects the behaviour: /refuse answers 503, /silent never answers,
  // /late sends the rest of a stream after the limit on its first event, and
  // /break closes the stream after two events. All other paths send the
  // rest of that stream.
  asio::awaitable<void> Answer(const wire::http_request& aRequest,
                               wire::http_reply& aReply)
  {
    mTargets.push_back(aRequest.mTarget);
    if (aRequest.mTarget == "/refuse") {
      wire::http_response busy;
      busy.mStatus = 503;
      co_await aReply.Send(std::move(busy));
      co_return;
    }
    if (aRequest.mTarget == "/silent") {
      asio::steady_timer forever(co_await asio::this_coro::executor, 1h);
      co_await forever.async_wait(asio::use_awaitable);
      co_return;
    }
    if (aRequest.mTarget == "/late") {
      asio::steady_timer silence(co_await asio::this_coro::executor, 1500ms);
      co_await silence.async_wait(asio::use_awaitable);
    }
    co_await aReply.Begin(200, EventHeaders());
    if (aRequest.mTarget == "/break") {
      co_await aReply.Write("data: one\n\ndata: two\n\ndata: thr");
      co_return;
    }
    co_await aReply.Write("data: three\n\ndata: [DONE]\n\n");
    co_await aReply.Finish();
  }

  attempt_result Run(std::string aTarget, attempt_kind aKind)
  {
    mCall.mForward.mTarget = std::move(aTarget);
    const attempt_context context{ mClient, mReply, mPauses };
    std::optional<attempt_result> result;
    asio::co_spawn(mContext,
                   RunAttempt(mCall, mUpstream, aKind, context, mState),
                   [&](std::exception_ptr aError, attempt_result aResult) {
                     EXPECT_FALSE(aError);
                     result = std::move(aResult);
                   });
    // A context that has run out of work stays stopped until it is restarted.
    mContext.restart();
    while (!result && mContext.run_one() > 0) {
    }
    return result.value();
  }

  asio::io_context mContext;
  wire::http_client mClient{ mContext.get_executor(), {} };
  std::unique_ptr<wire::http_server> mServer;
  request_class mClass;
  call mCall;
  upstream_spec mUpstream;
  recording_reply mReply;
  pause_registry mPauses;
  relay_state mState;
  std::vector<std::string> mTargets;
};

TEST_F(attempt_fixture,
       Fault_CrashAfter_Request_Stream_AResumedStreamRepeatsNothing)
{
  const auto broken = Run("/break", attempt_kind::Start);
  EXPECT_EQ(broken.mEnd, attempt_end::Broken);
  EXPECT_EQ(mReply.mText, "data: one\n\ndata: two\n\n");
  EXPECT_FALSE(mReply.mFinished);
  const auto resumed = Run("/break", attempt_kind::Resume);
  EXPECT_EQ(resumed.mEnd, attempt_end::Complete);
  EXPECT_EQ(mTargets.back(), "/v1/requests/request-1/continue?from=2");
  EXPECT_EQ(mReply.mText,
            "data: one\n\ndata: two\n\ndata: three\n\ndata: [DONE]\n\n");
  EXPECT_EQ(mReply.mBegun, 1U);
  EXPECT_TRUE(mReply.mFinished);
}

TEST_F(attempt_fixture, ABusyUpstreamHasNotRunTheRequest)
{
  EXPECT_EQ(Run("/refuse", attempt_kind::Start).mEnd, attempt_end::Refused);
  EXPECT_FALSE(mReply.mStarted);
}

TEST_F(attempt_fixture, ADisconnectedCallerEndsAnUnansweredAttempt)
{
  mReply.mDisconnected = true;
  EXPECT_EQ(Run("/silent", attempt_kind::Start).mEnd, attempt_end::CallerLeft);
}

TEST_F(attempt_fixture,
       Fault_SilentInbound_Request_Stream_ASilentUpstreamTimesOut)
{
  EXPECT_EQ(Run("/silent", attempt_kind::Start).mEnd, attempt_end::TimedOut);
  EXPECT_FALSE(mReply.mStarted);
}

TEST_F(attempt_fixture, AStreamThatMayRunOnlyOnceWaitsForASilentUpstream)
{
  mClass.mIdempotent = false;
  EXPECT_EQ(Run("/late", attempt_kind::Start).mEnd, attempt_end::Complete);
  EXPECT_EQ(mReply.mText, "data: three\n\ndata: [DONE]\n\n");
}

TEST_F(attempt_fixture, AStreamThatMayRunOnlyOnceEndsAtItsDeadline)
{
  mClass.mIdempotent = false;
  mCall.mQueued.mAnswerBy = std::chrono::steady_clock::now() + 200ms;
  EXPECT_EQ(Run("/silent", attempt_kind::Start).mEnd, attempt_end::TimedOut);
}

TEST_F(attempt_fixture, ARequestToAnUnreachableUpstreamIsNotSent)
{
  mServer->Drain();
  mContext.poll();
  EXPECT_EQ(Run("/break", attempt_kind::Start).mEnd, attempt_end::NotSent);
}

} // namespace
} // namespace sapphirespar::router
