// Tests of sound upstreams that fall silent within an answer and go on: the
// caller gets the whole answer, whatever becomes of other attempts.
#include "forward_fixture_test.hpp"

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

// Longer than a stream may be silent before another upstream is tried, by less
// than two of them may work on a request.
constexpr auto kStreamSilence = 1150ms;
// The same for a plain answer.
constexpr auto kPlainSilence = 700ms;

// Sends an event, is silent, and sends the last event.
asio::awaitable<void>
SendWithSilence(const wire::http_request& aRequest, wire::http_reply& aReply)
{
  co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
  co_await Sleep(kStreamSilence);
  co_await aReply.Finish(kSecondEvent);
}

// Sends a plain answer after a silence.
asio::awaitable<void>
AnswerAfterSilence(const wire::http_request& aRequest, wire::http_reply& aReply)
{
  co_await Sleep(kPlainSilence);
  wire::http_response response;
  response.mHeaders = { { std::string(kTestId),
                          std::string(aRequest.Header(kTestId)) },
                        { std::string(kTestSigned), "yes" } };
  response.mBody = "body";
  co_await aReply.Send(std::move(response));
}

// States that it did not run the request.
asio::awaitable<void>
Refuse(const wire::http_request&, wire::http_reply& aReply)
{
  wire::http_response response;
  response.mStatus = 503;
  response.mHeaders.push_back({ std::string(kTestNotRun), "1" });
  co_await aReply.Send(std::move(response));
}

asio::awaitable<void>
Disconnect(const wire::http_request&, wire::http_reply&)
{
  co_return;
}

class forward_silent_upstream_test : public forward_fixture
{
protected:
  // Adds two upstreams; the first request that reaches either of them is
  // handled by aFirst, all others by aOthers.
  void AddPair(upstream_handler aFirst, upstream_handler aOthers)
  {
    const auto handler =
      [this, aFirst, aOthers](const wire::http_request& aRequest,
                              wire::http_reply& aReply) {
        return mArrivals["a"] + mArrivals["b"] == 1 ? aFirst(aRequest, aReply)
                                                    : aOthers(aRequest, aReply);
      };
    AddUpstream("a", handler);
    AddUpstream("b", handler);
  }

  unsigned Arrivals() { return mArrivals["a"] + mArrivals["b"]; }

  void ExpectWholeStream(const std::string& aPath)
  {
    const auto answer = SendRequest(aPath);
    EXPECT_EQ(answer.mStatus, 200U);
    EXPECT_EQ(answer.mBody, kFirstEvent + kSecondEvent);
  }
};

TEST_F(forward_silent_upstream_test, AStreamGoesOnIfTheOtherUpstreamRefuses)
{
  Publish();
  AddPair(SendWithSilence, Refuse);
  ExpectWholeStream("/resume/x");
}

TEST_F(forward_silent_upstream_test, AStreamGoesOnIfTheOtherUpstreamBreaks)
{
  Publish();
  AddPair(SendWithSilence, Disconnect);
  ExpectWholeStream("/resume/x");
}

// Answers with a failure in the form of a stream.
upstream_handler
FailWith(unsigned aStatus)
{
  return [aStatus](const wire::http_request& aRequest,
                   wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Begin(
      aStatus, EventHeaders(aRequest), "id: 9\ndata: failure\n\n");
    co_await aReply.Finish({});
  };
}

TEST_F(forward_silent_upstream_test, AFailureIsNotJoinedToTheStreamOfAnother)
{
  Publish();
  for (const unsigned status : { 302U, 404U, 409U, 500U }) {
    SCOPED_TRACE(status);
    mEntries.clear();
    mArrivals.clear();
    AddPair(SendWithSilence, FailWith(status));
    ExpectWholeStream("/resume/x");
    EXPECT_EQ(Arrivals(), 2U);
  }
}

TEST_F(forward_silent_upstream_test, AFailureDoesNotEndABrokenStreamAsComplete)
{
  Publish();
  for (const unsigned status : { 302U, 404U, 500U }) {
    SCOPED_TRACE(status);
    mEntries.clear();
    mArrivals.clear();
    AddPair(
      [](const wire::http_request& aRequest,
         wire::http_reply& aReply) -> asio::awaitable<void> {
        co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
      },
      FailWith(status));
    // The connection ends without the end of the answer.
    EXPECT_EQ(SendRequest("/resume/x").mStatus, 0U);
  }
}

TEST_F(forward_silent_upstream_test, AStreamGoesOnIfTheRetryBudgetIsSpent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddPair(SendWithSilence, Refuse);
  ExpectWholeStream("/resume/x");
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(forward_silent_upstream_test, AStreamThatCannotBeResumedGoesOn)
{
  mRoutes[0].mIdempotent = true;
  Publish();
  AddPair(SendWithSilence, Refuse);
  ExpectWholeStream("/stream/x");
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(forward_silent_upstream_test, AStreamGoesOnBesideAChangeOfTheRouting)
{
  Publish();
  AddPair(
    [this](const wire::http_request& aRequest,
           wire::http_reply& aReply) -> asio::awaitable<void> {
      co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
      Publish(2);
      co_await Sleep(kStreamSilence);
      co_await aReply.Finish(kSecondEvent);
    },
    Refuse);
  ExpectWholeStream("/resume/x");
}

TEST_F(forward_silent_upstream_test, AStreamGoesOnWhileTheOtherUpstreamIsSlow)
{
  Publish();
  bool aborted = false;
  AddPair(SendWithSilence,
          [&](const wire::http_request&,
              wire::http_reply& aReply) -> asio::awaitable<void> {
            for (int left = 600; left > 0 && !aborted; --left) {
              co_await Sleep(5ms);
              aborted = aReply.CallerDisconnected();
            }
          });
  ExpectWholeStream("/resume/x");
  EXPECT_EQ(Arrivals(), 2U);
  // Lets the upstream notice the end of its connection.
  Run(Sleep(50ms));
  EXPECT_TRUE(aborted);
}

TEST_F(forward_silent_upstream_test, AnUpstreamThatStaysSilentIsReplaced)
{
  Publish();
  bool aborted = false;
  AddPair(
    [&](const wire::http_request& aRequest,
        wire::http_reply& aReply) -> asio::awaitable<void> {
      co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
      for (int left = 800; left > 0 && !aborted; --left) {
        co_await Sleep(5ms);
        aborted = aReply.CallerDisconnected();
      }
    },
    [](const wire::http_request& aRequest,
       wire::http_reply& aReply) -> asio::awaitable<void> {
      EXPECT_EQ(aRequest.Header(kTestResume), "1");
      co_await aReply.Begin(200, EventHeaders(aRequest), kSecondEvent);
      co_await aReply.Finish();
    });
  ExpectWholeStream("/resume/x");
  Run(Sleep(50ms));
  EXPECT_TRUE(aborted);
}

TEST_F(forward_silent_upstream_test, APlainAnswerComesIfTheOtherUpstreamRefuses)
{
  Publish();
  AddPair(AnswerAfterSilence, Refuse);
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
}

TEST_F(forward_silent_upstream_test, APlainAnswerComesIfTheRetryBudgetIsSpent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddPair(AnswerAfterSilence, Refuse);
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
}

// The only upstream is silent, so that nothing at all comes from upstreams.
TEST_F(forward_silent_upstream_test, AShortSilenceIsNotTakenForALostPath)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await Sleep(kStreamSilence);
                co_await AnswerAfterSilence(aRequest, aReply);
              });
  mHelpers = { { "127.0.0.1", 1 } };
  for (const auto* path : { "/safe/x", "/once/x" }) {
    EXPECT_EQ(SendRequest(path).mStatus, 200U) << path;
    EXPECT_FALSE(mReach.IsCutOff());
  }
  EXPECT_EQ(mArrivals["a"], 2U);
}

} // namespace
} // namespace sapphirespar::gateway
