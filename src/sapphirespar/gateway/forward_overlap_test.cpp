// Tests of attempts beside a silent upstream: the use of the reply, retries,
// health, and how long two upstreams work on one request.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <stdexcept>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

// Answers nothing for longer than any route's timeout here, or until the
// caller leaves.
asio::awaitable<void>
Hang(const wire::http_request&, wire::http_reply& aReply)
{
  for (int left = 1600; left > 0 && !aReply.CallerDisconnected(); --left) {
    co_await Sleep(5ms);
  }
}

// Uses of a reply, which outlive it.
struct reply_uses
{
  bool mHandlerReturned = false;
  int mWritesPending = 0;
  int mUsesAfterReturn = 0;
};

// A reply whose writes take some time, as to a caller that reads slowly.
class slow_reply : public wire::http_reply
{
public:
  slow_reply(reply_uses& aUses, std::chrono::milliseconds aWriteTime)
    : mUses(aUses)
    , mWriteTime(aWriteTime)
  {
  }

  asio::awaitable<bool> Send(wire::http_response) override
  {
    co_return co_await Use();
  }
  asio::awaitable<bool> Begin(unsigned,
                              wire::http_headers,
                              std::string_view) override
  {
    co_return co_await Use();
  }
  asio::awaitable<bool> Write(std::string_view) override
  {
    co_return co_await Use();
  }
  asio::awaitable<bool> Finish(std::string_view) override
  {
    co_return co_await Use();
  }
  bool Started() const override { return false; }
  bool CallerDisconnected() override { return false; }
  void OnCallerDisconnect(std::function<void()> aOnDisconnect) override
  {
    mOnDisconnect = std::move(aOnDisconnect);
  }
  std::string RemoteAddress() const override { return {}; }

  void Disconnect()
  {
    if (mOnDisconnect) {
      mOnDisconnect();
    }
  }

private:
  asio::awaitable<bool> Use()
  {
    mUses.mUsesAfterReturn += mUses.mHandlerReturned ? 1 : 0;
    ++mUses.mWritesPending;
    co_await Sleep(mWriteTime);
    --mUses.mWritesPending;
    co_return true;
  }

  reply_uses& mUses;
  std::chrono::milliseconds mWriteTime;
  std::function<void()> mOnDisconnect;
};

class forward_overlap_test : public forward_fixture
{
protected:
  static wire::http_request MakeRequest(std::string aPath)
  {
    wire::http_request request;
    request.mMethod = "POST";
    request.mTarget = std::move(aPath);
    request.mHeaders = { { "Host", "h" },
                         { std::string(kTestKey), "k1" },
                         { std::string(kTestId), "r1" } };
    return request;
  }

  static asio::awaitable<void> Answer(const wire::http_request& aRequest,
                                      wire::http_reply& aReply)
  {
    co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
  }

  // Adds an upstream at a port where nothing listens.
  void AddClosedUpstream(const std::string& aId)
  {
    asio::ip::tcp::acceptor acceptor(
      mContext, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto port = acceptor.local_endpoint().port();
    acceptor.close();
    AddEntry(aId, port);
  }
};

// http_server destroys the reply and the connection once the handler returned.
TEST_F(forward_overlap_test,
       TheHandlerReturnsAfterTheLastWriteToACallerThatLeft)
{
  Publish();
  AddUpstream("a", Answer);
  reply_uses uses;
  slow_reply reply(uses, 300ms);
  const auto request = MakeRequest("/safe/x");
  int pendingAtReturn = -1;
  const auto serve = [&]() -> asio::awaitable<void> {
    co_await ServeForward(*mServices, request, reply);
    pendingAtReturn = uses.mWritesPending;
    uses.mHandlerReturned = true;
    co_await Sleep(500ms);
  };
  const auto leave = [&]() -> asio::awaitable<void> {
    while (uses.mWritesPending == 0) {
      co_await Sleep(1ms);
    }
    reply.Disconnect();
  };
  asio::co_spawn(mContext, leave(), [](const std::exception_ptr&) {});
  Run(serve());
  EXPECT_EQ(pendingAtReturn, 0);
}

// Under valgrind or AddressSanitizer: the write that was cut short must not
// touch the reply, which is gone.
TEST_F(forward_overlap_test, ACallerMayLeaveAmidAnAnswerThatItDoesNotRead)
{
  Publish();
  AddUpstream("a",
              [](const wire::http_request& aRequest,
                 wire::http_reply& aReply) -> asio::awaitable<void> {
                constexpr std::size_t kMoreThanBuffersHold = 12'000'000;
                co_await aReply.Send(SignedAnswer(
                  aRequest, 200, std::string(kMoreThanBuffersHold, 'x')));
              });
  const auto call = [&]() -> asio::awaitable<void> {
    asio::ip::tcp::socket socket(mContext);
    co_await socket.async_connect(
      { asio::ip::make_address("127.0.0.1"), Gateway().mPort },
      asio::use_awaitable);
    const std::string request = "POST /safe/x HTTP/1.1\r\nHost: h\r\n"
                                "Key: k1\r\nId: r1\r\n"
                                "Content-Length: 0\r\n\r\n";
    co_await asio::async_write(
      socket, asio::buffer(request), asio::use_awaitable);
    co_await Sleep(1000ms);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    co_await Sleep(500ms);
  };
  Run(call());
}

TEST_F(forward_overlap_test, NoAttemptUsesTheReplyAfterTheHandlerFailed)
{
  Publish();
  const auto slow = [](const wire::http_request& aRequest,
                       wire::http_reply& aReply) -> asio::awaitable<void> {
    co_await Sleep(700ms);
    co_await aReply.Send(SignedAnswer(aRequest, 200, "body"));
  };
  AddUpstream("a", slow);
  AddUpstream("b", slow);
  int placements = 0;
  mRefreshLoads = [&] {
    if (++placements == 2) {
      throw std::runtime_error("placement");
    }
  };
  reply_uses uses;
  slow_reply reply(uses, 1ms);
  const auto request = MakeRequest("/safe/x");
  const auto serve = [&]() -> asio::awaitable<void> {
    try {
      co_await ServeForward(*mServices, request, reply);
    } catch (const std::runtime_error&) {
    }
    uses.mHandlerReturned = true;
    co_await Sleep(1000ms);
  };
  Run(serve());
  EXPECT_EQ(uses.mUsesAfterReturn, 0);
}

TEST_F(forward_overlap_test, ACallerGetsAnAnswerIfTheHandlerFails)
{
  Publish();
  AddUpstream("a", Answer);
  mRefreshLoads = [] { throw std::runtime_error("placement"); };
  EXPECT_GE(SendRequest("/safe/x").mStatus, 500U);
}

TEST_F(forward_overlap_test, AThirdUpstreamIsTriedIfTwoAreSilent)
{
  mRoutes[3].mMaximumAttempts = 3;
  mRoutes[3].mTimeout = 3s;
  Publish();
  const auto handler = [this](const wire::http_request& aRequest,
                              wire::http_reply& aReply) {
    const auto arrivals = mArrivals["a"] + mArrivals["b"] + mArrivals["c"];
    return arrivals < 3 ? Hang(aRequest, aReply) : Answer(aRequest, aReply);
  };
  AddUpstream("a", handler);
  AddUpstream("b", handler);
  AddUpstream("c", handler);
  const auto begun = steady_clock::now();
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
  EXPECT_LT(steady_clock::now() - begun, 2s);
}

TEST_F(forward_overlap_test, NoUpstreamIsTriedWhenTheTimeIsUp)
{
  mRoutes[3].mMaximumAttempts = 3;
  mRoutes[3].mTimeout = 1s;
  Publish();
  std::vector<std::string> deadlines;
  for (const auto* id : { "a", "b", "c" }) {
    AddUpstream(id, [&](const auto& aRequest, auto& aReply) {
      deadlines.emplace_back(aRequest.Header(kTestDeadline));
      return Hang(aRequest, aReply);
    });
  }
  SendRequest("/safe/x");
  ASSERT_FALSE(deadlines.empty());
  EXPECT_GT(std::stoi(deadlines.back()), 5);
}

TEST_F(forward_overlap_test, ASilentUpstreamIsAvoidedIfTheRetryBudgetIsSpent)
{
  mRetries.SetLimits({ 0, 0, 10s });
  Publish();
  std::string hanging;
  for (const std::string id : { "a", "b" }) {
    AddUpstream(id,
                [&hanging, id](const wire::http_request& aRequest,
                               wire::http_reply& aReply) {
                  if (hanging.empty()) {
                    hanging = id;
                  }
                  return hanging == id ? Hang(aRequest, aReply)
                                       : Answer(aRequest, aReply);
                });
  }
  const auto giveUp = [&]() -> asio::awaitable<void> {
    constexpr auto kPatience = 800ms;
    co_await mCaller->Open(Gateway(), MakeRequest("/safe/x"), kPatience);
    co_await Sleep(50ms);
  };
  Run(giveUp());
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
}

TEST_F(forward_overlap_test, AnUnreachableUpstreamDoesNotUseUpTheRetry)
{
  // Allows one retry.
  mRetries.SetLimits({ 0, 1.25, 10s });
  mRoutes[3].mTimeout = 3s;
  Publish();
  AddUpstream("a", Hang);
  AddClosedUpstream("b");
  AddUpstream("c", Answer);
  EXPECT_EQ(SendRequest("/safe/x").mBody, "body");
  EXPECT_EQ(mArrivals["a"], 1U);
}

// A stream may not go on at another engine while the one before it still works
// on it 400 ms later.
TEST_F(forward_overlap_test, AStreamDoesNotGoOnAtTwoEnginesAtOnce)
{
  Publish();
  std::optional<steady_clock::time_point> resumed;
  std::optional<steady_clock::time_point> left;
  const auto handler = [&](const wire::http_request& aRequest,
                           wire::http_reply& aReply) -> asio::awaitable<void> {
    if (mArrivals["a"] + mArrivals["b"] == 1) {
      co_await aReply.Begin(200, EventHeaders(aRequest), kFirstEvent);
      while (!aReply.CallerDisconnected()) {
        co_await Sleep(5ms);
      }
      left = steady_clock::now();
      co_return;
    }
    resumed = steady_clock::now();
    co_await Sleep(900ms);
    co_await aReply.Begin(200, EventHeaders(aRequest), kSecondEvent);
    co_await aReply.Finish();
  };
  AddUpstream("a", handler);
  AddUpstream("b", handler);
  EXPECT_EQ(SendRequest("/resume/x").mBody, kFirstEvent + kSecondEvent);
  Run(Sleep(50ms));
  ASSERT_TRUE(resumed);
  ASSERT_TRUE(left);
  EXPECT_LT(*left - *resumed, 400ms);
}

} // namespace
} // namespace sapphirespar::gateway
