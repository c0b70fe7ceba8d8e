// Tests that a planned stop cuts no request off that a caller has begun to
// send.
#include "raw_upstream_test.hpp"

#include "sapphirespar/gateway/gateway_app.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

// Returns a port that was free a moment ago.
std::uint16_t
FreePort()
{
  asio::io_context context;
  const asio::ip::tcp::acceptor acceptor(
    context, { asio::ip::make_address("127.0.0.1"), 0 });
  return acceptor.local_endpoint().port();
}

gateway_settings
Settings()
{
  const auto address = [] { return address_port{ "127.0.0.1", FreePort() }; };
  gateway_settings settings;
  settings.mVm = { "vm" };
  settings.mDataCentre = { "here" };
  settings.mCallers = address();
  settings.mReadiness = address();
  settings.mEntry = address();
  settings.mAdmin = address();
  settings.mMetrics = address();
  settings.mGossip = address();
  // Nobody listens there: every request is refused.
  settings.mPlatform = address();
  settings.mMemoryBytes = 256 * 1024 * 1024;
  settings.mEntryTtl = 100ms;
  settings.mDrainTime = 4s;
  return settings;
}

// Connects, sends the pieces of a request with a pause before each, and takes
// the head of the answer.
asio::awaitable<void>
SendSlowly(std::uint16_t aPort,
           std::chrono::milliseconds aStart,
           std::chrono::milliseconds aPause,
           std::vector<std::string> aPieces,
           std::string& aAnswer)
{
  const auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor, aStart);
  co_await timer.async_wait(asio::use_awaitable);
  asio::ip::tcp::socket socket(executor);
  const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                       aPort);
  co_await socket.async_connect(remote, asio::use_awaitable);
  for (const auto& piece : aPieces) {
    timer.expires_after(aPause);
    co_await timer.async_wait(asio::use_awaitable);
    if (!co_await WriteBytes(socket, piece)) {
      co_return;
    }
  }
  boost::system::error_code error;
  co_await asio::async_read_until(
    socket,
    asio::dynamic_buffer(aAnswer),
    "\r\n\r\n",
    asio::redirect_error(asio::use_awaitable, error));
}

class gateway_stop_test : public testing::Test
{
protected:
  // Stops the gateway while the request is sent, and returns the answer.
  std::string AnswerTo(std::vector<std::string> aPieces,
                       std::chrono::milliseconds aStart,
                       std::chrono::milliseconds aPause)
  {
    asio::io_context context{ 1 };
    const auto settings = Settings();
    gateway_app app(context, settings, TestProtocol());
    std::string answer;
    asio::co_spawn(
      context,
      SendSlowly(
        settings.mCallers.mPort, aStart, aPause, std::move(aPieces), answer),
      asio::detached);
    asio::steady_timer stop(context, 100ms);
    stop.async_wait([&](const auto&) { app.Leave(); });
    context.run_for(6s);
    // The answer may have been sent just before the gateway ended.
    context.restart();
    context.run_for(50ms);
    return answer;
  }

  const std::string mHead = "POST /x HTTP/1.1\r\nHost: h\r\n";
};

TEST_F(gateway_stop_test, Fault_Slow_Request_Admit_AHalfReadHeadIsAnswered)
{
  const auto answer =
    AnswerTo({ mHead, "Content-Length: 0\r\n\r\n" }, 200ms, 150ms);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

TEST_F(gateway_stop_test, Fault_Slow_Request_Admit_AHalfReadBodyIsAnswered)
{
  const auto answer =
    AnswerTo({ mHead + "Content-Length: 4\r\n\r\nab", "cd" }, 200ms, 150ms);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
}

// The connection is made just before the gateway takes no more, and the request
// follows.
TEST_F(gateway_stop_test, Fault_Slow_Request_Admit_ANewConnectionIsWaitedFor)
{
  for (auto start = 300ms; start <= 380ms; start += 20ms) {
    const auto answer =
      AnswerTo({ mHead + "Content-Length: 0\r\n\r\n" }, start, 120ms);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << start.count();
  }
}

TEST_F(gateway_stop_test, AnIdleGatewayEndsSoon)
{
  asio::io_context context{ 1 };
  gateway_app app(context, Settings(), TestProtocol());
  app.Leave();
  const auto begun = std::chrono::steady_clock::now();
  context.run_for(6s);
  EXPECT_LT(std::chrono::steady_clock::now() - begun, 2s);
}

} // namespace
} // namespace sapphirespar::gateway
