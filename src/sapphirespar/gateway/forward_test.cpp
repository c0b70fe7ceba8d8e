// Tests of forwarding: what callers and upstreams receive when either of them
// succeeds, fails, disconnects or times out.
#include "forward_fixture_test.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <thread>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class forward_test : public forward_fixture
{
protected:
  // An upstream that answers with this status and body.
  static upstream_handler Answers(unsigned aStatus, std::string aBody)
  {
    return [=](const wire::http_request& aRequest,
               wire::http_reply& aReply) -> asio::awaitable<void> {
      co_await aReply.Send(SignedAnswer(aRequest, aStatus, aBody));
    };
  }

  // An upstream that states that it did not run the request.
  static upstream_handler Refuses()
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
  static upstream_handler Disconnects()
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

TEST_F(forward_test, RelaysAnAnswerUnchanged)
{
  Publish();
  AddUpstream("a", Answers(200, "body"));
  const auto answer = SendRequest("/once/x?y=1");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, "body");
  EXPECT_EQ(answer.Header(kTestSigned), "yes");
}

TEST_F(forward_test, SendsTheExpectedUpstreamAndTheTimeLeft)
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
  const auto answer =
    SendRequest("/once/x", { { std::string(kTestDeadline), "700" } });
  EXPECT_TRUE(answer.mBody.starts_with("/once/x a ")) << answer.mBody;
  const auto left = std::stoi(answer.mBody.substr(10));
  EXPECT_GT(left, 200);
  EXPECT_LE(left, 700);
}

// The process is paused while it connects to the upstream, which would work on
// the request after its caller has left.
TEST_F(forward_test, Fault_PausePastLease_Request_Dispatch_TheTimeLeftIsCurrent)
{
  Publish();
  auto pause = 500ms;
  mRefreshLoads = [&] {
    asio::post(mContext, [&] { std::this_thread::sleep_for(pause); });
  };
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                const std::string left(aRequest.Header(kTestDeadline));
                co_await aReply.Send(SignedAnswer(aRequest, 200, left));
              });
  const auto answer =
    SendRequest("/once/x", { { std::string(kTestDeadline), "700" } });
  ASSERT_EQ(answer.mStatus, 200U);
  EXPECT_LE(std::stoi(answer.mBody), 200);
  pause = 900ms;
  mUpstreamClient->DropIdle({ "127.0.0.1", mServers.back()->Port() });
  EXPECT_EQ(
    SendRequest("/once/x", { { std::string(kTestDeadline), "700" } }).mStatus,
    503U);
  EXPECT_EQ(mArrivals["a"], 1U);
}

TEST_F(forward_test, RefusesUnknownRoutesAndKeys)
{
  EXPECT_EQ(SendRequest("/once/x").mStatus, 503U) << "without a routing";
  Publish();
  AddUpstream("a", Answers(200, "body"));
  EXPECT_EQ(SendRequest("/none/x").mStatus, 404U);
  EXPECT_EQ(SendRequest("/once/x", { { std::string(kTestKey), "k2" } }).mStatus,
            401U);
  mRoutes[2].mPublic = true;
  Publish(2);
  EXPECT_EQ(SendRequest("/once/x", { { std::string(kTestKey), "k2" } }).mStatus,
            200U);
  EXPECT_EQ(Arrivals(), 1U);
}

// Requests got 401 although no key was asked for.
TEST_F(forward_test, NeedsNoKeyIfTheRoutingUsesNone)
{
  mUsesKeys = false;
  Publish();
  AddUpstream("a", Answers(200, "body"));
  EXPECT_EQ(SendRequest("/once/x", { { std::string(kTestKey), "k2" } }).mStatus,
            200U);
  mUsesKeys = true;
  Publish(2);
  EXPECT_EQ(SendRequest("/once/x", { { std::string(kTestKey), "k2" } }).mStatus,
            401U);
}

TEST_F(forward_test, RefusesKeysWhenTheRoutingIsStale)
{
  routing_config config;
  config.mVersion = 1;
  config.mRoutes = mRoutes;
  config.mAccounts = { { { "anna" }, { "k1" }, {} } };
  mRouting.Apply(std::make_shared<policy::route_table>(std::move(config)),
                 BootNow() - 6s);
  AddUpstream("a", Answers(200, "body"));
  const auto answer = SendRequest("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  // Stale routing can't prove that a route or a key does not exist either.
  EXPECT_EQ(SendRequest("/none/x").mStatus, 503U);
  EXPECT_EQ(SendRequest("/once/x", { { std::string(kTestKey), "k2" } }).mStatus,
            503U);
  EXPECT_EQ(Arrivals(), 0U);
}

TEST_F(forward_test, NeverRetriesANonIdempotentRequestThatMayHaveRun)
{
  Publish();
  AddUpstream("a", Disconnects());
  AddUpstream("b", Disconnects());
  EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
  EXPECT_EQ(SendRequest("/stream/x").mStatus, 502U);
  EXPECT_EQ(Arrivals(), 2U);
}

// The loads of other gateways are added up only when a request needs them.
TEST_F(forward_test, PlacesARequestByTheLatestLoadsOfOtherGateways)
{
  Publish();
  AddUpstream("busy", Answers(200, "body"));
  AddUpstream("idle", Answers(200, "body"));
  mRefreshLoads = [this] {
    policy::upstream_load load;
    load.mRunning = 50;
    for (const auto& member : mUpstreams.Members("pool")) {
      if (member->mEntry.mId.mText == "busy") {
        mUpstreams.SetPeerLoads({ { member->mKey, load } });
      }
    }
  };
  for (int request = 0; request < 6; ++request) {
    EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  }
  EXPECT_EQ(mArrivals["idle"], 6U);
}

TEST_F(forward_test, RetriesIdempotentRequestsAtAnotherUpstream)
{
  Publish();
  AddUpstream("a", Disconnects());
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
  EXPECT_EQ(SendRequest("/resume/x").mBody, "body");
}

TEST_F(forward_test, RetriesARequestThatDidNotRunAtAnotherUpstream)
{
  Publish();
  AddUpstream("a", Refuses());
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(SendRequest("/once/x").mBody, "body");
}

TEST_F(forward_test, SendsToNoMoreUpstreamsThanTheRouteAllows)
{
  mRoutes[2].mMaximumAttempts = 1;
  Publish();
  AddUpstream("a", Refuses());
  AddUpstream("b", Refuses());
  AddUpstream("c", Refuses());
  const auto answer = SendRequest("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  EXPECT_EQ(Arrivals(), 1U);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  EXPECT_EQ(Arrivals(), 3U);
}

TEST_F(forward_test, StopsRetryingWhenTheBudgetIsSpent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddUpstream("a", Refuses());
  AddUpstream("b", Refuses());
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  EXPECT_EQ(Arrivals(), 1U);
}

TEST_F(forward_test, TriesAnotherUpstreamAfterAFailedConnection)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  AddUpstream("a", Answers(200, "gone"));
  mServers.clear();
  mEntries.back().mPort = 1;
  AddUpstream("b", Answers(200, "body"));
  EXPECT_EQ(SendRequest("/once/x").mBody, "body");
  EXPECT_EQ(SendRequest("/once/x").mBody, "body");
}

TEST_F(forward_test, NeverRelaysA503WithoutANotRunStatement)
{
  Publish();
  AddUpstream("a", Answers(503, "busy"));
  const auto answer = SendRequest("/once/x");
  EXPECT_EQ(answer.mStatus, 502U);
  EXPECT_TRUE(answer.Header(kTestSigned).empty());
}

TEST_F(forward_test, RejectsSuccessWithoutSignature)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request&,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                wire::http_response response;
                response.mBody = "whose?";
                co_await aReply.Send(std::move(response));
              });
  EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
}

TEST_F(forward_test, RelaysAFailureIfNoOtherUpstreamIsLeft)
{
  Publish();
  AddUpstream("a", Answers(500, "broken"));
  for (const auto* path : { "/once/x", "/safe/x" }) {
    const auto answer = SendRequest(path);
    EXPECT_EQ(answer.mStatus, 500U) << path;
    EXPECT_EQ(answer.mBody, "broken") << path;
  }
}

TEST_F(forward_test, Answers504WhenTheRoutesTimeoutExpires)
{
  mRoutes[2].mTimeout = 100ms;
  Publish();
  AddUpstream(
    "a",
    [](const wire::http_request&, wire::http_reply&) -> asio::awaitable<void> {
      co_await Sleep(3000ms);
    });
  const auto begun = std::chrono::steady_clock::now();
  EXPECT_EQ(SendRequest("/once/x").mStatus, 504U);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, 1500ms);
}

// Sends two events and disconnects in the middle of the third.
upstream_handler
DisconnectsInTheThirdEvent()
{
  return [](const wire::http_request& aRequest,
            wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Begin(200, EventHeaders(aRequest));
    co_await aReply.Write("id: 1\ndata: a\n\n");
    co_await aReply.Write("id: 2\ndata: b\n\nid: 3\nda");
  };
}

TEST_F(forward_test, ABrokenStreamNeverLooksComplete)
{
  Publish();
  AddUpstream("a", DisconnectsInTheThirdEvent());
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 0U);
  EXPECT_EQ(answer.mBody, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

TEST_F(forward_test, ABrokenResumableStreamContinuesAtAnotherUpstream)
{
  Publish();
  const upstream_handler resumes =
    [](const wire::http_request& aRequest,
       wire::http_reply& aReply) -> asio::awaitable<void> {
    if (aRequest.Header(kTestResume).empty()) {
      co_await DisconnectsInTheThirdEvent()(aRequest, aReply);
      co_return;
    }
    EXPECT_EQ(aRequest.Header(kTestResume), "2");
    co_await aReply.Begin(200, EventHeaders(aRequest));
    co_await aReply.Write("id: 3\ndata: c\n\n");
    co_await aReply.Finish();
  };
  AddUpstream("a", resumes);
  AddUpstream("b", resumes);
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody,
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_F(forward_test, AnAnswerToAnEarlierRequestIsSkipped)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                auto foreign = SignedAnswer(aRequest, 200, "not yours");
                foreign.mHeaders[0].mValue = "r0";
                co_await aReply.Send(std::move(foreign));
                co_await aReply.Send(SignedAnswer(aRequest, 200, "yours"));
              });
  EXPECT_EQ(SendRequest("/once/x").mBody, "yours");
  EXPECT_EQ(SendRequest("/once/x").mBody, "yours");
}

TEST_F(forward_test, ADisconnectedCallerAbortsTheUpstreamRequest)
{
  Publish();
  bool stopped = false;
  AddUpstream("a",
              [&](const wire::http_request& aRequest,
                  wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Begin(200, EventHeaders(aRequest));
                for (int left = 200; left > 0 && !stopped; --left) {
                  stopped = aReply.CallerDisconnected();
                  co_await Sleep(5ms);
                }
              });
  Run([](auto* aSelf, bool& aStopped) -> asio::awaitable<void> {
    wire::http_request request{ "POST", "/stream/x", {}, {} };
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    // The timeout closes the connection.
    co_await aSelf->mCaller->Open(aSelf->Gateway(), std::move(request), 50ms);
    for (int left = 100; left > 0 && !aStopped; --left) {
      co_await Sleep(5ms);
    }
  }(this, stopped));
  EXPECT_TRUE(stopped);
}

TEST_F(forward_test, RefusesRequestsThatItsShutdownWouldCutOff)
{
  Publish();
  AddUpstream("a", Answers(200, "body"));
  mTimeToStop = 7000ms;
  EXPECT_EQ(SendRequest("/stream/x").mStatus, 200U);
  mTimeToStop = 4000ms;
  const auto answer = SendRequest("/stream/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_FALSE(answer.Header("Retry-After").empty());
  // A plain request can still finish in time.
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  mTimeToStop = 100ms;
  EXPECT_EQ(SendRequest("/once/x").mStatus, 503U);
}

TEST_F(forward_test, ARequestDuringShutdownIsAnsweredBeforeTheStop)
{
  Publish();
  AddUpstream(
    "a",
    [](const wire::http_request&, wire::http_reply&) -> asio::awaitable<void> {
      co_await Sleep(2000ms);
    });
  mTimeToStop = 600ms;
  const auto begun = std::chrono::steady_clock::now();
  EXPECT_EQ(SendRequest("/once/x").mStatus, 504U);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, *mTimeToStop);
}

} // namespace
} // namespace sapphirespar::gateway
