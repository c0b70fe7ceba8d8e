// Tests calls for duties whose answers come twice, late or never, and calls
// whose permission runs out while they connect.
#include "duty_client.hpp"

#include "raw_upstream_test.hpp"

#include <boost/asio/steady_timer.hpp>

#include <gtest/gtest.h>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

class duty_client_test : public testing::Test
{
protected:
  // Makes one call and returns its reply.
  duties::duty_reply Call(const wire::send_check& aMaySend =
                            [](wire::http_request&) { return true; })
  {
    std::optional<duties::duty_reply> reply;
    wire::endpoint endpoint;
    endpoint.mAddress = "127.0.0.1";
    endpoint.mPort = mPort;
    const auto read = [](unsigned aStatus) {
      return aStatus == 200 ? duties::duty_reply::Done
                            : duties::duty_reply::Refused;
    };
    asio::co_spawn(
      mContext,
      SendDutyCall(mClient,
                   endpoint,
                   wire::http_request{ "POST", "/x", {}, "{}" },
                   aMaySend,
                   read,
                   [&](duties::duty_reply aReply) { reply = aReply; }),
      asio::detached);
    mContext.restart();
    while (!reply) {
      mContext.run_one_for(3s);
    }
    return *reply;
  }

  void RunFor(std::chrono::milliseconds aTime)
  {
    mContext.restart();
    mContext.run_for(aTime);
  }

  asio::io_context mContext;
  wire::http_client mClient{ mContext.get_executor(), DutyClientSettings() };
  std::uint16_t mPort = 0;
  unsigned mCalls = 0;
};

// The second copy of an answer comes when the connection is in use again.
TEST_F(duty_client_test, Fault_AnswerLost_Duty_Call_ASecondCopyAnswersNoOther)
{
  mPort = ServeConnections(
    mContext, [this](asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
      const std::string done = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      const std::string refused =
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
      bool reused = false;
      while (!(co_await ReadRequestHead(aSocket)).empty()) {
        if (reused) {
          co_await WriteBytes(aSocket, done);
        }
        reused = true;
        co_await WriteBytes(aSocket, ++mCalls == 1 ? done : refused);
      }
    });
  EXPECT_EQ(Call(), duties::duty_reply::Done);
  EXPECT_EQ(Call(), duties::duty_reply::Refused);
  EXPECT_EQ(mCalls, 2U);
}

TEST_F(duty_client_test, Fault_SilentInbound_Duty_Call_NoAnswerIsUnknown)
{
  mPort = ServeConnections(
    mContext, [](asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
      while (!(co_await ReadRequestHead(aSocket)).empty()) {
      }
    });
  EXPECT_EQ(Call(), duties::duty_reply::Unknown);
}

TEST_F(duty_client_test, Fault_PausePastLease_Duty_Call_NothingIsWritten)
{
  mPort = ServeConnections(
    mContext, [this](asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
      while (!(co_await ReadRequestHead(aSocket)).empty()) {
        ++mCalls;
      }
    });
  EXPECT_EQ(Call([](wire::http_request&) { return false; }),
            duties::duty_reply::Throttled);
  RunFor(50ms);
  EXPECT_EQ(mCalls, 0U);
}

} // namespace
} // namespace sapphirespar::gateway
