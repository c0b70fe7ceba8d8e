// Tests of the HTTP client and server against each other on loopback.
#include "sapphirespar/base/mutation.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <stdexcept>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;

constexpr auto kTimeout = 10s;

// A function, because g++ 12 miscompiles braced lists in co_await expressions.
http_headers
PlainText()
{
  return { { "Content-Type", "text/plain" } };
}

// Echoes the body, except that /stream returns a chunked body and /broken a
// truncated one.
asio::awaitable<void>
Answer(const http_request& aRequest, http_reply& aReply)
{
  if (aRequest.mTarget == "/stream" || aRequest.mTarget == "/broken") {
    co_await aReply.Begin(200, PlainText());
    co_await aReply.Write("one ");
    co_await aReply.Write("two");
    if (aRequest.mTarget == "/stream") {
      co_await aReply.Finish();
    }
    co_return;
  }
  if (aRequest.mTarget == "/throw") {
    throw std::runtime_error("no answer");
  }
  http_response response;
  response.mHeaders.push_back({ "X-Method", aRequest.mMethod });
  response.mBody = aRequest.mBody;
  co_await aReply.Send(std::move(response));
}

class http_exchange : public testing::Test
{
protected:
  http_exchange()
  {
    http_server_settings settings;
    settings.mLimits = [this] { return mLimits; };
    settings.mMakeErrorResponse = [](unsigned aStatus,
                                     std::string_view aReason) {
      return JsonResponse(aStatus,
                          "{\"reason\":\"" + std::string(aReason) + "\"}");
    };
    const std::array workers{ &mContext };
    mServer = std::make_unique<http_server>(
      mContext,
      workers,
      settings,
      [this](const http_request& aRequest, http_reply& aReply) {
        ++mAnswered;
        return Answer(aRequest, aReply);
      });
    mClient = std::make_unique<http_client>(mContext.get_executor(),
                                            http_client_settings{});
  }

  endpoint Server() const { return { "127.0.0.1", mServer->Port() }; }

  void Run(asio::awaitable<void> aWork)
  {
    asio::co_spawn(mContext, std::move(aWork), [&](std::exception_ptr aError) {
      EXPECT_FALSE(aError);
      mContext.stop();
    });
    mContext.run();
  }

  // Sends raw bytes and returns everything that the server sends until it
  // closes the connection.
  asio::awaitable<std::string> SendRaw(std::string aBytes)
  {
    std::vector<std::string> whole{ std::move(aBytes) };
    co_return co_await SendPieces(std::move(whole));
  }

  // The same with pauses between the pieces.
  asio::awaitable<std::string> SendPieces(std::vector<std::string> aPieces)
  {
    asio::ip::tcp::socket socket(mContext);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                         mServer->Port());
    co_await socket.async_connect(remote, asio::use_awaitable);
    asio::steady_timer timer(mContext);
    for (const auto& piece : aPieces) {
      co_await asio::async_write(
        socket, asio::buffer(piece), asio::use_awaitable);
      timer.expires_after(std::chrono::milliseconds(5));
      co_await timer.async_wait(asio::use_awaitable);
    }
    // Signals the end of the request, so that the server does not wait for
    // more.
    boost::system::error_code error;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    std::string answer;
    co_await asio::async_read(socket,
                              asio::dynamic_buffer(answer),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return answer;
  }

  http_limits mLimits{ .mBodyBytes = 1000 };
  // Requests that the server has read.
  unsigned mAnswered = 0;
  asio::io_context mContext;
  std::unique_ptr<http_server> mServer;
  std::unique_ptr<http_client> mClient;
};

// An assertion of the parser ended the process.
TEST_F(http_exchange, AnEmptyChunkedBodyMayArriveInPieces)
{
  const std::string head =
    "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string answer;
  Run([&]() -> asio::awaitable<void> {
    std::vector<std::string> pieces{ head, "0\r\n", "\r", "\n" };
    answer = co_await SendPieces(std::move(pieces));
  }());
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer;
  EXPECT_EQ(mAnswered, 1U);
}

// A shutdown waits for requests in progress. One that is still being read would
// otherwise be cut off without an answer.
TEST_F(http_exchange, ARequestIsInProgressFromItsFirstByte)
{
  std::size_t during = 0;
  std::size_t after = 1;
  Run([&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket socket(mContext);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                         mServer->Port());
    co_await socket.async_connect(remote, asio::use_awaitable);
    asio::steady_timer timer(mContext, 20ms);
    co_await timer.async_wait(asio::use_awaitable);
    EXPECT_EQ(mServer->RequestsInProgress(), 0U);
    const std::string half = "POST /echo HTTP/1.1\r\nHost: h\r\n";
    co_await asio::async_write(socket, asio::buffer(half), asio::use_awaitable);
    timer.expires_after(20ms);
    co_await timer.async_wait(asio::use_awaitable);
    during = mServer->RequestsInProgress();
    socket.close();
    timer.expires_after(20ms);
    co_await timer.async_wait(asio::use_awaitable);
    after = mServer->RequestsInProgress();
  }());
  EXPECT_EQ(during, 1U);
  EXPECT_EQ(after, 0U);
}

// The check runs after connecting: for a new connection as for an idle one.
TEST_F(http_exchange, ARefusedCallSendsNothing)
{
  Run([this]() -> asio::awaitable<void> {
    const std::array choices{ connection_choice::Fresh,
                              connection_choice::Pooled };
    for (const auto choice : choices) {
      http_request first{ "POST", "/echo", {}, "hello" };
      const auto response =
        co_await mClient->Fetch(Server(), std::move(first), kTimeout);
      EXPECT_TRUE(response.has_value());
      const auto answered = mAnswered;
      unsigned checks = 0;
      const send_check refuse = [&checks](http_request&) {
        ++checks;
        return false;
      };
      http_request request{ "POST", "/echo", {}, "hello" };
      const auto refused = co_await mClient->Open(
        Server(), std::move(request), kTimeout, choice, nullptr, refuse);
      EXPECT_FALSE(refused.has_value());
      if (refused.has_value()) {
        co_return;
      }
      EXPECT_EQ(checks, 1U);
      EXPECT_EQ(refused.error().mKind, wire_error_kind::Cancelled);
      EXPECT_FALSE(refused.error().mBytesWritten);
      // The next call is answered, so the server has read what came before.
      http_request last{ "POST", "/echo", {}, "again" };
      const auto next =
        co_await mClient->Fetch(Server(), std::move(last), kTimeout);
      EXPECT_EQ(next.value().mBody, "again");
      EXPECT_EQ(mAnswered, answered + 1);
    }
  }());
}

// An answer that changes the decision may arrive while the call connects.
TEST_F(http_exchange, ACallIsCheckedAfterConnecting)
{
  Run([this]() -> asio::awaitable<void> {
    bool allowed = true;
    const send_check check = [&allowed](http_request&) { return allowed; };
    // Runs once the call below has begun to connect.
    asio::post(mContext, [&allowed] { allowed = false; });
    http_request request{ "POST", "/echo", {}, "hello" };
    const auto refused = co_await mClient->Open(Server(),
                                                std::move(request),
                                                kTimeout,
                                                connection_choice::Fresh,
                                                nullptr,
                                                check);
    EXPECT_FALSE(refused.has_value());
    EXPECT_EQ(mAnswered, 0U);
  }());
}

TEST_F(http_exchange, ReusesAConnectionForWholeResponses)
{
  Run([this]() -> asio::awaitable<void> {
    for (int round = 0; round < 3; ++round) {
      http_request request{ "POST", "/echo", {}, "hello" };
      const auto response =
        co_await mClient->Fetch(Server(), std::move(request), kTimeout);
      EXPECT_TRUE(response.has_value());
      EXPECT_EQ(response.value().mBody, "hello");
      EXPECT_EQ(response.value().Header("x-method"), "POST");
    }
  }());
}

TEST_F(http_exchange, StreamsABodyToItsEnd)
{
  Run([this]() -> asio::awaitable<void> {
    http_request request{ "GET", "/stream", {}, {} };
    auto stream =
      co_await mClient->Open(Server(), std::move(request), kTimeout);
    EXPECT_TRUE(stream.has_value());
    std::string text;
    while (true) {
      const auto piece = co_await stream.value()->Read(kTimeout);
      EXPECT_TRUE(piece.has_value());
      if (piece.value().empty()) {
        break;
      }
      text += piece.value();
    }
    EXPECT_EQ(text, "one two");
  }());
}

TEST_F(http_exchange, ATruncatedBodyIsAnError)
{
  Run([this]() -> asio::awaitable<void> {
    http_request request{ "GET", "/broken", {}, {} };
    const auto response =
      co_await mClient->Fetch(Server(), std::move(request), kTimeout);
    EXPECT_FALSE(response.has_value());
    EXPECT_EQ(response.error().mKind, wire_error_kind::Read);
    EXPECT_TRUE(response.error().mBytesWritten);
  }());
}

TEST_F(http_exchange, ARequestWhoseHandlerThrowsIsAnswered)
{
  Run([](auto* aSelf) -> asio::awaitable<void> {
    http_request request{ "GET", "/throw", {}, {} };
    const auto answer = co_await aSelf->mClient->Fetch(
      aSelf->Server(), std::move(request), kTimeout);
    EXPECT_TRUE(answer);
    if (answer) {
      EXPECT_EQ(answer.value().mStatus, 500U);
    }
  }(this));
}

TEST_F(http_exchange, ARefusedConnectionProvesThatNothingWasSent)
{
  Run([this]() -> asio::awaitable<void> {
    // The port of a closed acceptor refuses connections.
    asio::ip::tcp::acceptor closed(mContext,
                                   { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = closed.local_endpoint().port();
    closed.close();
    const endpoint closedEndpoint{ "127.0.0.1", port };
    const auto response =
      co_await mClient->Fetch(closedEndpoint, http_request(), kTimeout);
    EXPECT_FALSE(response.has_value());
    EXPECT_EQ(response.error().mKind, wire_error_kind::Connect);
    EXPECT_FALSE(response.error().mBytesWritten);
  }());
}

TEST_F(http_exchange, MalformedAndOversizedRequestsAreAnsweredWithAnError)
{
  Run([this]() -> asio::awaitable<void> {
    const auto malformed = co_await SendRaw("NONSENSE\r\n\r\n");
    EXPECT_NE(malformed.find("400"), std::string::npos) << malformed;
    const auto oversized = co_await SendRaw(
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n");
    EXPECT_NE(oversized.find("413"), std::string::npos) << oversized;
    http_request request{ "POST", "/echo", {}, "still here" };
    const auto response =
      co_await mClient->Fetch(Server(), std::move(request), kTimeout);
    EXPECT_EQ(response.value().mBody, "still here");
  }());
}

RC_GTEST_FIXTURE_PROP(http_exchange,
                      ADamagedRequestIsAnsweredOrClosedAndOthersStillWork,
                      ())
{
  const auto damage = *rc::gen::container<std::vector<text_mutation>>(
    rc::gen::construct<text_mutation>(
      rc::gen::inRange<std::size_t>(0, 120),
      rc::gen::inRange<std::size_t>(0, 10),
      rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::element<std::string>("",
                                      "\r\n",
                                      "\r\n\r\n",
                                      ":",
                                      "-1",
                                      "99999999999999999999",
                                      "Transfer-Encoding: chunked\r\n",
                                      "HTTP/9.9",
                                      "%00"))));
  const auto bytes = Mutate("POST /echo HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 5\r\nX-Class: brief\r\n\r\nhello",
                            damage);
  std::string rawResponse;
  std::string laterBody;
  Run([this, &rawResponse, &laterBody, &bytes]() -> asio::awaitable<void> {
    rawResponse = co_await SendRaw(bytes);
    http_request request{ "POST", "/echo", {}, "still here" };
    const auto response =
      co_await mClient->Fetch(Server(), std::move(request), kTimeout);
    laterBody = response ? response.value().mBody : std::string();
  }());
  RC_ASSERT(rawResponse.empty() || rawResponse.starts_with("HTTP/1."));
  RC_ASSERT(laterBody == "still here");
}

TEST(HttpTarget, SplitsAndFindsQueryValues)
{
  const auto target = SplitTarget("/vms?from=3&wait=10");
  EXPECT_EQ(target.mPath, "/vms");
  EXPECT_EQ(QueryValue(target.mQuery, "wait"), "10");
  EXPECT_EQ(QueryValue(target.mQuery, "none"), "");
}

} // namespace
} // namespace sapphirespar::wire
