// Tests of the server's limits: a request whose bytes don't end is answered
// with an error by its deadline, while other requests are served.
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// Of the headers and of the body, and how much later an answer may come.
constexpr milliseconds kTimeout{ 100 };
constexpr milliseconds kTolerance{ 150 };
// When a caller stops if the server doesn't.
constexpr milliseconds kPatience{ 600 };

// What a caller sends: first mHead, then mPiece again and again.
struct endless_request
{
  std::string mName;
  std::string mHead;
  std::string mPiece;
  // The server's answer if the bytes are fast. Trickled ones end by a timeout,
  // which closes the connection before an answer can be sent.
  std::string mFastStatus;
};

const std::string kPost = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string kChunked = kPost + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_request>
EndlessRequests()
{
  return {
    { "header", kPost + "A: ", "a", "431" },
    { "headers", kPost, "A: b\r\n", "431" },
    { "body", kPost + "Content-Length: 90000\r\n\r\n", "a", "200" },
    { "chunks", kChunked, "1\r\na\r\n", "413" },
    { "chunk extension", kChunked + "1;a=", "a", "431" },
    { "trailers", kChunked + "0\r\n", "A: b\r\n", "431" },
  };
}

class http_request_limits_test : public testing::Test
{
protected:
  http_request_limits_test()
  {
    http_server_settings settings;
    settings.mLimits = [this] {
      http_limits limits;
      limits.mBodyBytes = mBodyBytes;
      limits.mHeaderTimeout = kTimeout;
      limits.mBodyTimeout = kTimeout;
      return limits;
    };
    settings.mBodyMemory = mBodyMemory;
    const std::array workers{ &mContext };
    mServer = std::make_unique<http_server>(
      mContext,
      workers,
      std::move(settings),
      [this](const http_request&, http_reply& aReply) -> asio::awaitable<void> {
        asio::steady_timer timer(mContext, mWork);
        co_await timer.async_wait(asio::use_awaitable);
        http_response response;
        response.mBody = "ok";
        co_await aReply.Send(std::move(response));
      });
  }

  // Writes aRequest until the server closes the connection.
  static asio::awaitable<void> Trickle(
    std::shared_ptr<asio::ip::tcp::socket> aSocket,
    endless_request aRequest,
    milliseconds aPause)
  {
    constexpr std::size_t kFastBytes = 8 * 1024;
    const auto end = steady_clock::now() + kPatience;
    auto bytes = aRequest.mHead;
    asio::steady_timer timer(aSocket->get_executor());
    while (steady_clock::now() < end) {
      do {
        bytes += aRequest.mPiece;
      } while (aPause == 0ms && bytes.size() < kFastBytes);
      const auto [error, count] =
        co_await asio::async_write(*aSocket, asio::buffer(bytes), kAsTuple);
      if (error) {
        co_return;
      }
      bytes.clear();
      timer.expires_after(aPause);
      co_await timer.async_wait(kAsTuple);
    }
    boost::system::error_code ignored;
    aSocket->close(ignored);
  }

  // Returns the first line of the server's answer.
  asio::awaitable<std::string> Send(endless_request aRequest,
                                    milliseconds aPause)
  {
    const auto socket = std::make_shared<asio::ip::tcp::socket>(mContext);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                         mServer->Port());
    co_await socket->async_connect(remote, asio::use_awaitable);
    asio::co_spawn(
      mContext, Trickle(socket, std::move(aRequest), aPause), asio::detached);
    std::string line;
    co_await asio::async_read_until(
      *socket, asio::dynamic_buffer(line), "\r\n", kAsTuple);
    boost::system::error_code ignored;
    socket->close(ignored);
    co_return line;
  }

  // Sends a request with a body on a connection and returns the first line of
  // the answer.
  static asio::awaitable<std::string> Post(asio::ip::tcp::socket& aSocket,
                                           std::size_t aBytes)
  {
    const auto request = kPost + "Content-Length: " + std::to_string(aBytes) +
                         "\r\n\r\n" + std::string(aBytes, 'a');
    co_await asio::async_write(aSocket, asio::buffer(request), kAsTuple);
    std::string answer;
    co_await asio::async_read_until(
      aSocket, asio::dynamic_buffer(answer), "ok", kAsTuple);
    co_return answer.substr(0, answer.find("\r\n"));
  }

  // Sends a request with a body and counts the answers by their first line.
  asio::awaitable<void> PostOnce(std::size_t aBytes)
  {
    asio::ip::tcp::socket socket(mContext);
    const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                         mServer->Port());
    co_await socket.async_connect(remote, asio::use_awaitable);
    ++mAnswers[co_await Post(socket, aBytes)];
  }

  // Sends requests at the same time and waits for all answers.
  void PostTogether(int aCount, std::size_t aBytes)
  {
    mAnswers.clear();
    int left = aCount;
    for (int number = 0; number < aCount; ++number) {
      asio::co_spawn(
        mContext, PostOnce(aBytes), [&](const std::exception_ptr&) {
          if (--left == 0) {
            mContext.stop();
          }
        });
    }
    mContext.restart();
    mContext.run();
  }

  std::size_t mBodyBytes = 100'000;
  const memory_budget_ptr mBodyMemory =
    std::make_shared<memory_budget>(800'000);
  // How long the handler works on a request.
  milliseconds mWork{ 0 };
  std::map<std::string, int> mAnswers;
  asio::io_context mContext;
  std::unique_ptr<http_server> mServer;
};

TEST_F(http_request_limits_test, LimitsThatChangeHoldOnIdleConnections)
{
  std::string before;
  std::string after;
  asio::co_spawn(
    mContext,
    [&]() -> asio::awaitable<void> {
      asio::ip::tcp::socket socket(mContext);
      const asio::ip::tcp::endpoint remote(asio::ip::make_address("127.0.0.1"),
                                           mServer->Port());
      co_await socket.async_connect(remote, asio::use_awaitable);
      before = co_await Post(socket, 1000);
      asio::steady_timer timer(mContext, 20ms);
      co_await timer.async_wait(asio::use_awaitable);
      mBodyBytes = 200'000;
      after = co_await Post(socket, 150'000);
    },
    [&](const std::exception_ptr&) { mContext.stop(); });
  mContext.run();
  EXPECT_EQ(before, "HTTP/1.1 200 OK");
  EXPECT_EQ(after, "HTTP/1.1 200 OK");
}

// Many bodies within the limit of each took more memory than there is.
TEST_F(http_request_limits_test, AllBodiesTogetherStayWithinTheirMemory)
{
  constexpr int kRequests = 20;
  mWork = 200ms;
  PostTogether(kRequests, mBodyBytes);
  EXPECT_GT(mAnswers["HTTP/1.1 200 OK"], 0);
  EXPECT_GT(mAnswers["HTTP/1.1 503 Service Unavailable"], 0);
  EXPECT_EQ(mAnswers.size(), 2U);
  EXPECT_GE(mBodyMemory->Peak(), mBodyBytes);
  EXPECT_LE(mBodyMemory->Peak(), 800'000U);
  // Short bodies have room beside long ones, and all of it is given back.
  PostTogether(kRequests, 700);
  EXPECT_EQ(mAnswers["HTTP/1.1 200 OK"], kRequests);
  EXPECT_EQ(mBodyMemory->Taken(), 0U);
  mWork = 0ms;
  PostTogether(1, mBodyBytes);
  EXPECT_EQ(mAnswers["HTTP/1.1 200 OK"], 1);
}

TEST_F(http_request_limits_test,
       Fault_EndlessBytes_Request_Admit_ARequestEndsByItsDeadline)
{
  for (const auto& request : EndlessRequests()) {
    for (const auto pause : { 0ms, 10ms }) {
      SCOPED_TRACE(request.mName + (pause == 0ms ? ", fast" : ", trickled"));
      const auto begin = steady_clock::now();
      std::string line;
      mContext.restart();
      asio::co_spawn(
        mContext, Send(request, pause), [&](std::exception_ptr, auto aLine) {
          line = std::move(aLine);
          mContext.stop();
        });
      mContext.run();
      EXPECT_LT(steady_clock::now() - begin, kTimeout + kTolerance);
      const auto& status = request.mFastStatus;
      const bool answered = line.find(" " + status + " ") != std::string::npos;
      EXPECT_EQ(answered, pause == 0ms) << line;
    }
  }
}

} // namespace
} // namespace sapphirespar::wire
