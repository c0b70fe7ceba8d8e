// Tests of the client's limits: an answer whose bytes don't end is given up by
// the deadline of the call, at whichever place it goes on.
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// How long a call may take, how much later it may end, and when the server
// stops if the client doesn't.
constexpr milliseconds kTimeout{ 150 };
constexpr milliseconds kTolerance{ 150 };
constexpr milliseconds kServerPatience{ 600 };

// What a server sends: first mHead, then mPiece again and again.
struct endless_answer
{
  std::string mName;
  std::string mHead;
  std::string mPiece;
};

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_answer>
EndlessAnswers()
{
  return {
    { "status line", "HTTP/1.1 200 ", "O" },
    { "header", kOk + "A: ", "a" },
    { "headers", kOk, "A: b\r\n" },
    { "interim heads", "", "HTTP/1.1 102 Processing\r\n\r\n" },
    { "body without length", kOk + "\r\n", "a" },
    { "body with length", kOk + "Content-Length: 900000000\r\n\r\n", "a" },
    { "chunks", kChunked, "1\r\na\r\n" },
    { "chunk extension", kChunked + "1;a=", "a" },
    { "trailers", kChunked + "0\r\n", "A: b\r\n" },
  };
}

class http_limits_test : public testing::Test
{
protected:
  // Serves aAnswer on each connection, aPause after each piece.
  void Serve(const endless_answer& aAnswer, milliseconds aPause)
  {
    asio::co_spawn(
      mContext, SendWithoutEnd(mAcceptor, aAnswer, aPause), asio::detached);
  }

  static asio::awaitable<void> SendWithoutEnd(
    asio::ip::tcp::acceptor& aAcceptor,
    endless_answer aAnswer,
    milliseconds aPause)
  {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(
      socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::use_awaitable);
    const auto end = steady_clock::now() + kServerPatience;
    auto bytes = aAnswer.mHead;
    // As many pieces at once as a fast server would send.
    constexpr std::size_t kFastBytes = 16 * 1024;
    asio::steady_timer timer(socket.get_executor());
    while (steady_clock::now() < end) {
      do {
        bytes += aAnswer.mPiece;
      } while (aPause == 0ms && bytes.size() < kFastBytes);
      const auto [error, count] =
        co_await asio::async_write(socket, asio::buffer(bytes), kAsTuple);
      if (error) {
        co_return;
      }
      bytes.clear();
      if (aPause > 0ms) {
        timer.expires_after(aPause);
        co_await timer.async_wait(kAsTuple);
      }
    }
  }

  endpoint Server() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  // Returns how long aWork took.
  milliseconds Run(asio::awaitable<void> aWork)
  {
    const auto begin = steady_clock::now();
    mContext.restart();
    asio::co_spawn(mContext, std::move(aWork), [&](std::exception_ptr aError) {
      EXPECT_FALSE(aError);
      mContext.stop();
    });
    mContext.run();
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                    begin);
  }

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor{ mContext,
                                     { asio::ip::make_address("127.0.0.1"),
                                       0 } };
  // More than the fastest server sends.
  http_client mClient{ mContext.get_executor(),
                       { .mBodyLimitBytes = 1'000'000'000 } };
};

TEST_F(http_limits_test,
       Fault_EndlessBytes_Request_Finish_AnAnswerEndsByTheTimeout)
{
  for (const auto& answer : EndlessAnswers()) {
    for (const auto pause : { 0ms, 10ms }) {
      SCOPED_TRACE(answer.mName + (pause == 0ms ? ", fast" : ", trickled"));
      Serve(answer, pause);
      const auto took = Run([this]() -> asio::awaitable<void> {
        http_request request;
        const auto response =
          co_await mClient.Fetch(Server(), std::move(request), kTimeout);
        EXPECT_FALSE(response.has_value());
      }());
      EXPECT_LT(took, kTimeout + kTolerance);
    }
  }
}

TEST_F(http_limits_test,
       Fault_EndlessBytes_Request_Finish_ASkippedAnswerEndsByTheTimeout)
{
  for (const auto& answer : EndlessAnswers()) {
    if (!answer.mHead.ends_with("\r\n\r\n")) {
      continue;
    }
    for (const auto pause : { 0ms, 10ms }) {
      SCOPED_TRACE(answer.mName + (pause == 0ms ? ", fast" : ", trickled"));
      Serve(answer, pause);
      const auto took = Run([this]() -> asio::awaitable<void> {
        http_request request;
        auto opened =
          co_await mClient.Open(Server(), std::move(request), kTimeout);
        if (!opened) {
          ADD_FAILURE() << opened.error().mDetail;
          co_return;
        }
        const auto next = co_await opened.value()->SkipResponse(kTimeout);
        EXPECT_FALSE(next.has_value());
      }());
      EXPECT_LT(took, kTimeout + kTolerance);
    }
  }
}

TEST_F(http_limits_test, ATimeoutThatHasPassedEndsAReadOfReadyBytes)
{
  Serve({ "", kOk + "\r\n", "a" }, 0ms);
  Run([this]() -> asio::awaitable<void> {
    http_request request;
    auto opened = co_await mClient.Open(Server(), std::move(request), kTimeout);
    EXPECT_TRUE(opened.has_value());
    // What arrived together with the head is returned.
    co_await opened.value()->Read(kTimeout);
    const auto piece = co_await opened.value()->Read(0ms);
    const bool timedOut =
      !piece && piece.error().mKind == wire_error_kind::Timeout;
    EXPECT_TRUE(timedOut);
  }());
}

TEST_F(http_limits_test, AnAbortDuringTheWriteIsReportedAsCancelled)
{
  Run([this]() -> asio::awaitable<void> {
    const auto abort = std::make_shared<call_abort>();
    asio::steady_timer timer(mContext, 20ms);
    timer.async_wait([abort](const auto&) { abort->Abort(); });
    // More than the socket's buffers hold, as nobody reads.
    constexpr std::size_t kBytes = 64 * 1024 * 1024;
    http_request request{ "POST", "/", {}, std::string(kBytes, 'a') };
    const auto opened = co_await mClient.Open(
      Server(), std::move(request), kTimeout, connection_choice::Pooled, abort);
    EXPECT_FALSE(opened.has_value());
    EXPECT_EQ(opened.error().mKind, wire_error_kind::Cancelled);
    EXPECT_TRUE(opened.error().mBytesWritten);
  }());
}

} // namespace
} // namespace sapphirespar::wire
