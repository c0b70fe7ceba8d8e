// Tests of requests with a prompt part that crashes each upstream that begins
// an answer to them.
#include "forward_fixture_test.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

// The parts 7 and 8 are shared; the last one is the request's own.
const wire::http_headers kCrashing{ { std::string(kTestParts), "7,8,1" } };

const std::string kHead =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: r1\r\n"
  "Signed: yes\r\nConnection: close\r\n\r\n";

asio::awaitable<void>
Wait(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

class forward_crashing_part_test : public forward_fixture
{
protected:
  static constexpr unsigned kUpstreams = 4;

  forward_crashing_part_test()
  {
    Publish();
    for (unsigned index = 0; index < kUpstreams; ++index) {
      StartUpstream();
    }
  }

  // Starts an upstream that ends when it begins the answer to a crashing
  // request, and starts anew later.
  void StartUpstream()
  {
    const auto id = "u" + std::to_string(++mStarted);
    tcp::acceptor acceptor(mContext,
                           { asio::ip::make_address("127.0.0.1"), 0 });
    AddEntry(id, acceptor.local_endpoint().port());
    asio::co_spawn(mContext, Serve(std::move(acceptor), id), asio::detached);
  }

  asio::awaitable<void> Serve(tcp::acceptor aAcceptor, std::string aId)
  {
    bool crashed = false;
    while (!crashed) {
      auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
      std::string head;
      co_await asio::async_read_until(
        socket, asio::dynamic_buffer(head), "\r\n\r\n", asio::use_awaitable);
      crashed = head.find("Parts: 7,8,") != std::string::npos;
      ++(crashed ? mCrashingArrivals : mSoundArrivals);
      co_await asio::async_write(
        socket, asio::buffer(kHead), asio::use_awaitable);
      co_await Wait(5ms);
      if (!crashed) {
        co_await Write(socket, "id: 1\ndata: a\n\n");
        co_await Write(socket, "id: 2\ndata: b\n\n");
      }
    }
    aAcceptor.close();
    co_await Wait(200ms);
    std::erase_if(mEntries, [&](const upstream_entry& aEntry) {
      return aEntry.mId.mText == aId;
    });
    StartUpstream();
  }

  static asio::awaitable<void> Write(tcp::socket& aSocket, std::string aEvent)
  {
    co_await asio::async_write(
      aSocket, asio::buffer(aEvent), asio::use_awaitable);
    co_await Wait(5ms);
  }

  // Sends crashing requests, and sound ones with one of the parts each.
  void SendMixedTraffic(unsigned aRounds)
  {
    for (unsigned round = 0; round < aRounds; ++round) {
      SendRequest("/resume/a", kCrashing);
      Pause(150ms);
      SendSound("7,9,2");
      SendSound("6,9,3");
      Pause(100ms);
    }
    Pause(500ms);
  }

  unsigned SendSound(const std::string& aParts)
  {
    return SendRequest("/resume/a", { { std::string(kTestParts), aParts } })
      .mStatus;
  }

  unsigned mStarted = 0;
  unsigned mCrashingArrivals = 0;
  unsigned mSoundArrivals = 0;
};

TEST_F(forward_crashing_part_test, IsNotSentAgainAfterAFewCrashes)
{
  SendMixedTraffic(5);
  const auto arrived = mCrashingArrivals;
  EXPECT_GE(arrived, 3U);
  for (int count = 0; count < 5; ++count) {
    const auto answer = SendRequest("/resume/a", kCrashing);
    EXPECT_EQ(answer.mStatus, 503U);
    EXPECT_FALSE(answer.Header("Retry-After").empty());
  }
  EXPECT_EQ(mCrashingArrivals, arrived);
}

TEST_F(forward_crashing_part_test, LeavesSoundRequestsServedAtTheFirstAttempt)
{
  SendMixedTraffic(5);
  mSoundArrivals = 0;
  for (unsigned count = 1; count <= 5; ++count) {
    SendRequest("/resume/a", kCrashing);
    EXPECT_EQ(SendSound("7,9,4"), 200U);
    EXPECT_EQ(mSoundArrivals, count);
  }
}

} // namespace
} // namespace sapphirespar::gateway
