// Tests of forwarding: what callers get and what upstreams are sent, for each
// way in which either may behave.
#include "forward_world_test.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

asio::awaitable<void>
Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

wire::http_headers
EventHeaders(const wire::http_request& aRequest)
{
  return { { "Content-Type", "text/event-stream" },
           { std::string(kTestId), std::string(aRequest.Header(kTestId)) },
           { std::string(kTestSigned), "yes" } };
}

class forwards : public forward_world
{
protected:
  // An upstream that answers with this status and body.
  static upstream_script Answers(unsigned aStatus, std::string aBody)
  {
    return [=](const wire::http_request& aRequest,
               wire::http_reply& aReply) -> asio::awaitable<void> {
      co_await aReply.Send(SignedAnswer(aRequest, aStatus, aBody));
    };
  }

  // An upstream that says that it did not run the request.
  static upstream_script Sheds()
  {
    return [](const wire::http_request&,
              wire::http_reply& aReply) -> asio::awaitable<void> {
      wire::http_response response;
      response.mStatus = 503;
      response.mHeaders.push_back({ std::string(kTestNotRun), "1" });
      co_await aReply.Send(std::move(response));
    };
  }

  // An upstream that reads the request and closes the connection.
  static upstream_script Breaks()
  {
    return [](const wire::http_request&,
              wire::http_reply&) -> asio::awaitable<void> { co_return; };
  }

  unsigned Arrivals() const
  {
    unsigned sum = 0;
    for (const auto& [id, count] : mArrivals) {
      sum += count;
    }
    return sum;
  }
};

TEST_F(forwards, PassesAnAnswerOnUnchanged)
{
  Publish();
  AddUpstream("a", Answers(200, "body"));
  const auto answer = Ask("/once/x?y=1");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, "body");
  EXPECT_EQ(answer.Header(kTestSigned), "yes");
}

TEST_F(forwards, TellsTheUpstreamWhoIsMeantAndWhatTimeIsLeft)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                const std::string seen =
                  aRequest.mTarget + " " +
                  std::string(aRequest.Header(kTestExpected)) + " " +
                  std::string(aRequest.Header(kTestDeadline));
                co_await aReply.Send(SignedAnswer(aRequest, 200, seen));
              });
  const auto answer = Ask("/once/x", { { std::string(kTestDeadline), "700" } });
  EXPECT_TRUE(answer.mBody.starts_with("/once/x a ")) << answer.mBody;
  const auto left = std::stoi(answer.mBody.substr(10));
  EXPECT_GT(left, 200);
  EXPECT_LE(left, 700);
}

TEST_F(forwards, RefusesWhatItMayNotForward)
{
  EXPECT_EQ(Ask("/once/x").mStatus, 503U) << "without a routing";
  Publish();
  AddUpstream("a", Answers(200, "body"));
  EXPECT_EQ(Ask("/none/x").mStatus, 404U);
  EXPECT_EQ(Ask("/once/x", { { std::string(kTestKey), "k2" } }).mStatus, 401U);
  mRoutes[2].mPublic = true;
  Publish(2);
  EXPECT_EQ(Ask("/once/x", { { std::string(kTestKey), "k2" } }).mStatus, 200U);
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(forwards, RefusesKeysOnceTheRoutingIsNotProvedAnyMore)
{
  routing_config config;
  config.mVersion = 1;
  config.mRoutes = mRoutes;
  config.mAccounts = { { { "anna" }, { "k1" }, {} } };
  mRouting.Apply(std::make_shared<policy::route_table>(std::move(config)),
                 BootNow() - 6s);
  AddUpstream("a", Answers(200, "body"));
  const auto answer = Ask("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  // Nor is it known any more that a route or a key does not exist.
  EXPECT_EQ(Ask("/none/x").mStatus, 503U);
  EXPECT_EQ(Ask("/once/x", { { std::string(kTestKey), "k2" } }).mStatus, 503U);
  EXPECT_EQ(Arrivals(), 0U);
}

TEST_F(forwards, NeverRepeatsWhatMayHaveRun)
{
  Publish();
  AddUpstream("a", Breaks());
  AddUpstream("b", Breaks());
  EXPECT_EQ(Ask("/once/x").mStatus, 502U);
  EXPECT_EQ(Ask("/stream/x").mStatus, 502U);
  EXPECT_EQ(Arrivals(), 2U);
}

TEST_F(forwards, RepeatsElsewhereWhatMayBeRepeated)
{
  Publish();
  AddUpstream("a", Breaks());
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(Ask("/safe/x").mBody, "body");
  EXPECT_EQ(Ask("/resume/x").mBody, "body");
}

TEST_F(forwards, RepeatsElsewhereWhatWasNotRun)
{
  Publish();
  AddUpstream("a", Sheds());
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(Ask("/once/x").mBody, "body");
}

TEST_F(forwards, SendsToNoMoreUpstreamsThanTheRouteAllows)
{
  mRoutes[2].mMaximumAttempts = 1;
  Publish();
  AddUpstream("a", Sheds());
  AddUpstream("b", Sheds());
  AddUpstream("c", Sheds());
  const auto answer = Ask("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  EXPECT_EQ(Arrivals(), 1U);
  EXPECT_EQ(Ask("/safe/x").mStatus, 503U);
  EXPECT_EQ(Arrivals(), 3U);
}

TEST_F(forwards, StopsRepeatingWhenTheBudgetIsSpent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddUpstream("a", Sheds());
  AddUpstream("b", Sheds());
  EXPECT_EQ(Ask("/safe/x").mStatus, 503U);
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(forwards, TriesAnotherUpstreamWhereNothingWasSent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddUpstream("a", Answers(200, "gone"));
  mServers.clear();
  mEntries.back().mPort = 1;
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(Ask("/once/x").mBody, "body");
  EXPECT_EQ(Ask("/once/x").mBody, "body");
}

TEST_F(forwards, PromisesNothingThatTheUpstreamDidNotPromise)
{
  Publish();
  AddUpstream("a", Answers(503, "busy"));
  const auto answer = Ask("/once/x");
  EXPECT_EQ(answer.mStatus, 502U);
  EXPECT_TRUE(answer.Header(kTestSigned).empty());
}

TEST_F(forwards, TakesNoSuccessWithoutItsSignature)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request&,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                wire::http_response response;
                response.mBody = "whose?";
                co_await aReply.Send(std::move(response));
              });
  EXPECT_EQ(Ask("/once/x").mStatus, 502U);
}

TEST_F(forwards, PassesAFailureOnWhereNoOtherUpstreamIsLeft)
{
  Publish();
  AddUpstream("a", Answers(500, "broken"));
  const auto answer = Ask("/once/x");
  EXPECT_EQ(answer.mStatus, 500U);
  EXPECT_EQ(answer.mBody, "broken");
}

TEST_F(forwards, AnswersWhenTheRoutesTimeIsUp)
{
  mRoutes[2].mTimeout = 100ms;
  Publish();
  AddUpstream(
    "a",
    [](const wire::http_request&, wire::http_reply&) -> asio::awaitable<void> {
      co_await Sleep(3000ms);
    });
  const auto begun = std::chrono::steady_clock::now();
  EXPECT_EQ(Ask("/once/x").mStatus, 504U);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, 1500ms);
}

// Sends a stream of two events and breaks off within the third.
upstream_script
BreaksOffInTheThirdEvent()
{
  return [](const wire::http_request& aRequest,
            wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Begin(200, EventHeaders(aRequest));
    co_await aReply.Write("id: 1\ndata: a\n\n");
    co_await aReply.Write("id: 2\ndata: b\n\nid: 3\nda");
  };
}

TEST_F(forwards, AStreamThatBreaksOffNeverLooksComplete)
{
  Publish();
  AddUpstream("a", BreaksOffInTheThirdEvent());
  const auto answer = Ask("/stream/x");
  EXPECT_EQ(answer.mStatus, 0U);
  EXPECT_EQ(answer.mBody, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(forwards, AResumableStreamGoesOnElsewhereWhereItBrokeOff)
{
  Publish();
  const upstream_script goesOn =
    [](const wire::http_request& aRequest,
       wire::http_reply& aReply) -> asio::awaitable<void> {
    if (aRequest.Header(kTestResume).empty()) {
      co_await BreaksOffInTheThirdEvent()(aRequest, aReply);
      co_return;
    }
    EXPECT_EQ(aRequest.Header(kTestResume), "2");
    co_await aReply.Begin(200, EventHeaders(aRequest));
    co_await aReply.Write("id: 3\ndata: c\n\n");
    co_await aReply.Finish();
  };
  AddUpstream("a", goesOn);
  AddUpstream("b", goesOn);
  const auto answer = Ask("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_F(forwards, AnAnswerToAnEarlierRequestIsSkipped)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                auto stray = SignedAnswer(aRequest, 200, "not yours");
                stray.mHeaders[0].mValue = "r0";
                co_await aReply.Send(std::move(stray));
                co_await aReply.Send(SignedAnswer(aRequest, 200, "yours"));
              });
  EXPECT_EQ(Ask("/once/x").mBody, "yours");
  EXPECT_EQ(Ask("/once/x").mBody, "yours");
}

TEST_F(forwards, ACallerThatLeavesStopsTheUpstreamsWork)
{
  Publish();
  bool stopped = false;
  AddUpstream("a",
              [&](const wire::http_request& aRequest,
                  wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Begin(200, EventHeaders(aRequest));
                for (int left = 200; left > 0 && !stopped; --left) {
                  stopped = aReply.CallerGone();
                  co_await Sleep(5ms);
                }
              });
  Run([](auto* aSelf, bool& aStopped) -> asio::awaitable<void> {
    wire::http_request request{ "POST", "/stream/x", {}, {} };
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    // Gives up, which closes the connection.
    co_await aSelf->mCaller->Open(aSelf->Gateway(), std::move(request), 50ms);
    for (int left = 100; left > 0 && !aStopped; --left) {
      co_await Sleep(5ms);
    }
  }(this, stopped));
  EXPECT_TRUE(stopped);
}

TEST_F(forwards, BeginsNoStreamThatItsOwnEndWouldCut)
{
  Publish();
  AddUpstream("a", Answers(200, "body"));
  mTimeToStop = 7000ms;
  EXPECT_EQ(Ask("/stream/x").mStatus, 200U);
  mTimeToStop = 4000ms;
  const auto answer = Ask("/stream/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  // Short work still ends in time.
  EXPECT_EQ(Ask("/once/x").mStatus, 200U);
  mTimeToStop = 100ms;
  EXPECT_EQ(Ask("/once/x").mStatus, 503U);
}

} // namespace
} // namespace sapphirespar::gateway
