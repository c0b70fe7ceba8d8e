// Tests of requests on kept connections that the upstream closes without having
// said so: a request that may run twice is sent again on a fresh connection.
#include "raw_upstream_test.hpp"

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

const std::string kAnswer = "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n"
                            "Content-Length: 4\r\n\r\nbody";

const std::string kStreamAnswer =
  "HTTP/1.1 200 OK\r\nId: r1\r\nSigned: yes\r\n"
  "Content-Type: text/event-stream\r\nContent-Length: 9\r\n\r\ndata: a\n\n";

class forward_stale_connection_test : public forward_fixture
{
protected:
  // Adds an upstream that answers the first request of each connection with
  // aAnswer, and then the next one with aPart before it ends the connection.
  void AddForgetfulUpstream(connection_end aEnd,
                            std::string aAnswer = kAnswer,
                            std::string aPart = {})
  {
    const auto script =
      [this, aEnd, answer = std::move(aAnswer), part = std::move(aPart)](
        asio::ip::tcp::socket aSocket) {
        return Serve(mArrivals["a"], std::move(aSocket), aEnd, answer, part);
      };
    AddEntry("a", ServeConnections(mContext, script));
  }

  static asio::awaitable<void> Serve(unsigned& aArrivals,
                                     asio::ip::tcp::socket aSocket,
                                     connection_end aEnd,
                                     std::string aAnswer,
                                     std::string aPart)
  {
    const auto first = co_await ReadRequestHead(aSocket);
    if (first.empty()) {
      co_return;
    }
    ++aArrivals;
    co_await WriteBytes(aSocket, aAnswer);
    const auto second = co_await ReadRequestHead(aSocket);
    if (second.empty()) {
      co_return;
    }
    ++aArrivals;
    co_await WriteBytes(aSocket, aPart);
    if (aEnd == connection_end::Reset) {
      aSocket.set_option(asio::socket_base::linger(true, 0));
    }
  }
};

TEST_F(forward_stale_connection_test,
       Fault_StaleConnection_Request_Dispatch_ASafeRequestIsSentAgain)
{
  Publish();
  for (const auto end : { connection_end::Close, connection_end::Reset }) {
    mEntries.clear();
    mArrivals["a"] = 0;
    AddForgetfulUpstream(end);
    EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
    const auto answer = SendRequest("/safe/x");
    EXPECT_EQ(answer.mStatus, 200U);
    EXPECT_EQ(answer.mBody, "body");
    EXPECT_EQ(mArrivals["a"], 3U);
  }
}

TEST_F(forward_stale_connection_test,
       Fault_StaleConnection_Request_Dispatch_AStreamThatHasNotBegunIsSentAgain)
{
  Publish();
  AddForgetfulUpstream(connection_end::Close, kStreamAnswer);
  EXPECT_EQ(SendRequest("/resume/x").mStatus, 200U);
  const auto answer = SendRequest("/resume/x");
  EXPECT_EQ(answer.mStatus, 200U);
  EXPECT_EQ(answer.mBody, "data: a\n\n");
}

TEST_F(
  forward_stale_connection_test,
  Fault_StaleConnection_Request_Dispatch_ARequestThatMustNotRunTwiceIsSentOnce)
{
  Publish();
  AddForgetfulUpstream(connection_end::Close);
  EXPECT_EQ(SendRequest("/once/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/once/x").mStatus, 502U);
  EXPECT_EQ(mArrivals["a"], 2U);
}

TEST_F(
  forward_stale_connection_test,
  Fault_StaleConnection_Request_Dispatch_AnAnswerThatHasBegunIsNotAskedForAgain)
{
  Publish();
  AddForgetfulUpstream(connection_end::Close, kAnswer, "HTTP/1.1 200 OK\r\n");
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 502U);
  EXPECT_EQ(mArrivals["a"], 2U);
}

// The safety factor leaves one retry of two.
TEST_F(
  forward_stale_connection_test,
  Fault_StaleConnection_Request_Dispatch_SendingAgainTakesFromTheRetryBudget)
{
  mRetries = policy::fleet_retry_budget{ { 0, 2, 10s } };
  Publish();
  AddForgetfulUpstream(connection_end::Close);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 502U);
  EXPECT_EQ(mArrivals["a"], 4U);
}

// An upstream that is gone is not asked more than once more.
TEST_F(forward_stale_connection_test,
       Fault_StaleConnection_Request_Dispatch_ARequestIsSentAgainOnce)
{
  mRoutes[3].mMaximumAttempts = 4;
  Publish();
  bool gone = false;
  const auto script =
    [&](asio::ip::tcp::socket aSocket) -> asio::awaitable<void> {
    while (true) {
      const auto head = co_await ReadRequestHead(aSocket);
      if (head.empty()) {
        co_return;
      }
      ++mArrivals["a"];
      if (gone) {
        co_return;
      }
      co_await WriteBytes(aSocket, kAnswer);
    }
  };
  AddEntry("a", ServeConnections(mContext, script));
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 200U);
  gone = true;
  EXPECT_EQ(SendRequest("/safe/x").mStatus, 502U);
  EXPECT_EQ(mArrivals["a"], 3U);
}

} // namespace
} // namespace sapphirespar::gateway
