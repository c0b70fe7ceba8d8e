// Tests of a gateway that has lost its path to all upstreams, while another
// gateway still reaches them: its callers are served.
#include "forward_fixture_test.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// From when on after a cut the callers of a cut-off gateway are served.
constexpr auto kContact = 3s;

// What connections to the upstreams of a cut-off gateway do.
enum class cut_kind
{
  Refused,
  Hangs,
  Reset,
};

asio::awaitable<void>
ResetAll(asio::ip::tcp::acceptor aAcceptor)
{
  while (true) {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    socket.set_option(asio::socket_base::linger(true, 0));
  }
}

class forward_cut_off_test
  : public forward_fixture
  , public testing::WithParamInterface<cut_kind>
{
protected:
  // Adds three upstreams that the fixture's gateway can't reach, and a second
  // gateway that reaches them.
  void SetUp() override
  {
    mServices->mKeyFreshness = 60s;
    Publish();
    for (const auto* id : { "a", "b", "c" }) {
      asio::ip::tcp::acceptor acceptor(mContext);
      acceptor.open(asio::ip::tcp::v4());
      acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
      AddEntry(id, acceptor.local_endpoint().port());
      if (GetParam() == cut_kind::Hangs) {
        acceptor.listen(0);
        FillBacklog(acceptor.local_endpoint());
        mHanging.push_back(std::move(acceptor));
      } else if (GetParam() == cut_kind::Reset) {
        acceptor.listen();
        asio::co_spawn(mContext, ResetAll(std::move(acceptor)), asio::detached);
      }
    }
    StartHelper();
  }

  // Further connections are neither accepted nor refused.
  void FillBacklog(const asio::ip::tcp::endpoint& aEndpoint)
  {
    constexpr int kConnections = 4;
    for (int count = 0; count < kConnections; ++count) {
      mFillers.emplace_back(mContext);
      mFillers.back().async_connect(aEndpoint, [](auto) {});
    }
  }

  // The helper knows one upstream, which handles all requests.
  void StartHelper()
  {
    const std::array workers{ &mContext };
    mServers.push_back(std::make_unique<wire::http_server>(
      mContext,
      workers,
      wire::http_server_settings{},
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        ++mArrivals["upstream"];
        return mHandler(aRequest, aReply);
      }));
    upstream_entry entry;
    entry.mId = { "upstream" };
    entry.mPool = "pool";
    entry.mAddress = "127.0.0.1";
    entry.mPort = mServers.back()->Port();
    entry.mSlots = 4;
    mHelperUpstreams.ApplyList({ &entry, 1 }, list_completeness::Complete);
    const auto& own = *mServices;
    mHelperServices.reset(
      new forward_services{ own.mProtocol,
                            own.mRouting,
                            mHelperUpstreams,
                            mHelperRetries,
                            own.mPrefill,
                            own.mSplit,
                            own.mModels,
                            own.mKinds,
                            own.mCrashGuard,
                            own.mRateGuard,
                            own.mBrittleGuard,
                            own.mStreams,
                            mHelperReach,
                            own.mClient,
                            own.mMetrics,
                            [] {},
                            [] { return 2U; },
                            [this] { return mHelpersOfHelper; },
                            [] { return 0.5; },
                            [] { return std::nullopt; },
                            {} });
    mServers.push_back(std::make_unique<wire::http_server>(
      mContext,
      workers,
      wire::http_server_settings{},
      [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
        ++mArrivals["helper"];
        return ServeForward(*mHelperServices, aRequest, aReply);
      }));
    mHelpers = { { "127.0.0.1", mServers.back()->Port() } };
  }

  // Sends requests of all kinds for as long as the gateway may need to notice.
  void LetItNotice(std::chrono::milliseconds aTime = kContact)
  {
    const auto end = steady_clock::now() + aTime;
    for (int count = 0; steady_clock::now() < end; ++count) {
      SendRequest("/safe/" + std::to_string(count),
                  { { std::string(kTestDeadline), "500" } },
                  "GET");
    }
    mArrivals.clear();
  }

  // The answer to a request, and how long it took.
  std::pair<wire::http_response, steady_duration> Timed(
    const std::string& aPath,
    wire::http_headers aMore = {})
  {
    const auto start = steady_clock::now();
    auto answer = SendRequest(aPath, std::move(aMore));
    return { std::move(answer), steady_clock::now() - start };
  }

  upstream_handler mHandler =
    [](const wire::http_request& aRequest,
       wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
  };
  upstream_directory mHelperUpstreams;
  policy::fleet_retry_budget mHelperRetries{
    { 0, 1000, std::chrono::seconds(10) }
  };
  reach_monitor mHelperReach{ mTimers,
                              mMetrics,
                              { MakeConnectHook(mContext.get_executor()),
                                [this] { return mHelperUpstreams.Members(); },
                                [] {} } };
  std::vector<entry_point> mHelpersOfHelper;
  std::vector<asio::ip::tcp::acceptor> mHanging;
  std::deque<asio::ip::tcp::socket> mFillers;
  std::unique_ptr<forward_services> mHelperServices;
};

TEST_P(forward_cut_off_test, CallersOfACutOffGatewayAreServed)
{
  LetItNotice();
  for (const auto* path : { "/safe/x", "/once/x" }) {
    for (int count = 0; count < 20; ++count) {
      const auto [answer, took] = Timed(path);
      EXPECT_EQ(answer.mStatus, 200U) << path;
      EXPECT_EQ(answer.mBody, "body") << path;
      EXPECT_EQ(answer.Header(kTestSigned), "yes") << path;
      EXPECT_LT(took, 200ms) << path;
    }
  }
  EXPECT_EQ(mArrivals["upstream"], 40U);
}

TEST_P(forward_cut_off_test, StreamsOfACutOffGatewayArriveAsTheyAreMade)
{
  mHandler = [this](const wire::http_request& aRequest,
                    wire::http_reply& aReply) -> asio::awaitable<void> {
    auto headers = SignedAnswer(aRequest, 200, "").mHeaders;
    headers.push_back({ "Content-Type", "text/event-stream" });
    co_await aReply.Begin(200, std::move(headers), "id: 1\ndata: a\n\n");
    asio::steady_timer timer(mContext, std::chrono::seconds(1));
    co_await timer.async_wait(asio::use_awaitable);
    co_await aReply.Finish("id: 2\ndata: b\n\n");
  };
  LetItNotice();
  const auto read = [this]() -> asio::awaitable<void> {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = "/stream/x";
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    const auto start = steady_clock::now();
    const auto opened =
      co_await mCaller->Open(Gateway(), std::move(request), 10s);
    EXPECT_TRUE(opened.has_value());
    if (!opened) {
      co_return;
    }
    std::string body;
    auto first = co_await opened.value()->Read(10s);
    EXPECT_LT(steady_clock::now() - start, 500ms);
    while (first && !first.value().empty()) {
      body += first.value();
      first = co_await opened.value()->Read(10s);
    }
    EXPECT_EQ(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  };
  Run(read());
}

// Tests that need only one kind of cut.
class forward_refused_path_test : public forward_cut_off_test
{};

TEST_P(forward_refused_path_test, ARequestThatMayHaveRunIsNotPassedOnAgain)
{
  LetItNotice(200ms);
  mHandler = [](const wire::http_request&,
                wire::http_reply&) -> asio::awaitable<void> { co_return; };
  mHelpers.push_back(mHelpers.front());
  EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
  EXPECT_EQ(mArrivals["upstream"], 1U);
  EXPECT_EQ(mArrivals["helper"], 1U);
}

TEST_P(forward_refused_path_test, ARefusalOfTheOtherGatewayIsPassedOn)
{
  LetItNotice(200ms);
  mHelperUpstreams.ApplyList({}, list_completeness::Complete);
  const auto answer = SendRequest("/once/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_EQ(answer.mBody, "no_upstream\n");
  EXPECT_FALSE(answer.Header("Retry-After").empty());
}

TEST_P(forward_refused_path_test, AGatewayThatDoesNotAnswerIsFollowedByAnother)
{
  LetItNotice(200ms);
  mHelpers.push_back({ "127.0.0.1", 1 });
  mHelpers.push_back({ "127.0.0.1", 2 });
  for (int count = 0; count < 10; ++count) {
    EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  }
}

// A refusal is one in whatever form it comes, so that it is not sent on after
// the request may have run.
TEST_P(forward_refused_path_test, ARefusalInTheFormOfAStreamIsARefusal)
{
  LetItNotice(200ms);
  const std::array workers{ &mContext };
  mServers.push_back(std::make_unique<wire::http_server>(
    mContext,
    workers,
    wire::http_server_settings{},
    [this](const wire::http_request& aRequest,
           wire::http_reply& aReply) -> asio::awaitable<void> {
      ++mArrivals["refusing"];
      auto headers = SignedAnswer(aRequest, 503, "").mHeaders;
      headers.push_back({ "Content-Type", "text/event-stream" });
      co_await aReply.Begin(503, std::move(headers), "id: 1\ndata: no\n\n");
      co_await aReply.Finish({});
    }));
  mHelpers.push_back({ "127.0.0.1", mServers.back()->Port() });
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  EXPECT_EQ(mArrivals["refusing"], 1U);
  EXPECT_EQ(mArrivals["helper"], 1U);
}

// The other gateway's upstream fails in the form of a stream.
TEST_P(forward_refused_path_test, AFailureKeepsItsStatusWhenItIsRelayed)
{
  LetItNotice(200ms);
  for (const unsigned status : { 302U, 404U, 500U }) {
    mHandler = [status](const wire::http_request& aRequest,
                        wire::http_reply& aReply) -> asio::awaitable<void> {
      auto headers = SignedAnswer(aRequest, status, "").mHeaders;
      headers.push_back({ "Content-Type", "text/event-stream" });
      co_await aReply.Begin(status, std::move(headers), "id: 1\ndata: no\n\n");
      co_await aReply.Finish({});
    };
    for (const auto* path : { "/resume/x", "/stream/x" }) {
      const auto answer = SendRequest(path);
      EXPECT_EQ(answer.mStatus, status) << path;
      EXPECT_EQ(answer.mBody, "id: 1\ndata: no\n\n") << path;
    }
  }
}

TEST_P(forward_refused_path_test, RequestsAreNotPassedOnInCircles)
{
  LetItNotice(200ms);
  // The helper loses its path too, and its helper is the first gateway.
  mHelperUpstreams.ApplyList(mEntries, list_completeness::Complete);
  mHelpersOfHelper = { { "127.0.0.1", mGateway->Port() } };
  for (int count = 0; count < 5; ++count) {
    EXPECT_EQ(SendRequest("/safe/x").mStatus, 503U);
  }
  EXPECT_TRUE(mHelperReach.IsCutOff());
  EXPECT_EQ(mArrivals["helper"], 5U);
}

TEST_P(forward_refused_path_test, WhatIsLeftOfTheTimeIsPassedOn)
{
  LetItNotice(200ms);
  unsigned deadline = 0;
  mHandler = [&](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
    deadline = static_cast<unsigned>(
      std::stoul(std::string(aRequest.Header(kTestDeadline))));
    co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
  };
  SendRequest("/safe/x", { { std::string(kTestDeadline), "700" } });
  EXPECT_GT(deadline, 500U);
  EXPECT_LE(deadline, 700U);
  // Without one, the route's timeout counts.
  SendRequest("/safe/x");
  EXPECT_GT(deadline, 4500U);
  EXPECT_LE(deadline, 5000U);
}

TEST_P(forward_refused_path_test, ACallerWhoLeavesEndsTheRequestUpstream)
{
  LetItNotice(200ms);
  bool cancelled = false;
  mHandler = [&](const wire::http_request&,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
    aReply.OnCallerDisconnect([&] { cancelled = true; });
    asio::steady_timer timer(mContext, std::chrono::seconds(2));
    co_await timer.async_wait(asio::use_awaitable);
  };
  const auto leave = [this]() -> asio::awaitable<void> {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = "/safe/x";
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    // The call ends, and its connection is closed, after its timeout.
    const auto opened =
      co_await mCaller->Open(Gateway(), std::move(request), 100ms);
    EXPECT_FALSE(opened.has_value());
  };
  Run(leave());
  Pause(300ms);
  EXPECT_TRUE(cancelled);
}

TEST_P(forward_refused_path_test, ARequestGoesStraightAgainOnceThePathIsBack)
{
  LetItNotice(200ms);
  ASSERT_EQ(SendRequest("/safe/x").mStatus, 200U);
  AddUpstream("d",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                co_await aReply.Send(SignedAnswer(aRequest, 200, "direct"));
              });
  for (const auto* id : { "a", "b", "c" }) {
    RemoveEntry(id);
  }
  Pause(1s);
  EXPECT_EQ(SendRequest("/safe/x").mBody, "direct");
}

INSTANTIATE_TEST_SUITE_P(One,
                         forward_refused_path_test,
                         testing::Values(cut_kind::Refused));

class forward_hanging_path_test : public forward_cut_off_test
{};

TEST_P(forward_hanging_path_test, ARefusalDoesNotWaitForTheVerdictOnThePath)
{
  for (const auto& known : mUpstreams.Members()) {
    known->mTurnsAwayUntil = steady_clock::now() + 5s;
  }
  Pause(500ms);
  mReach.Suspect();
  ASSERT_TRUE(mReach.IsProbing());
  const auto [answer, took] = Timed("/safe/x");
  EXPECT_EQ(answer.mStatus, 503U);
  EXPECT_LT(took, 100ms);
}

INSTANTIATE_TEST_SUITE_P(One,
                         forward_hanging_path_test,
                         testing::Values(cut_kind::Hangs));

INSTANTIATE_TEST_SUITE_P(All,
                         forward_cut_off_test,
                         testing::Values(cut_kind::Refused,
                                         cut_kind::Hangs,
                                         cut_kind::Reset));

} // namespace
} // namespace sapphirespar::gateway
