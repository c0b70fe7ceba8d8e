// Tests that the proxy loses bytes only as a network can.
#include "sapphirespar/soak/fault_proxy.hpp"

#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <string>

namespace sapphirespar::soak {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

class fault_proxy_test : public testing::Test
{
protected:
  asio::awaitable<void> Sleep(std::chrono::milliseconds aTime)
  {
    asio::steady_timer timer(mContext, aTime);
    co_await timer.async_wait(kAsTuple);
  }

  // Adds what arrives at a socket to mReceived.
  asio::awaitable<void> Read(tcp::socket& aSocket)
  {
    std::array<char, 64> bytes{};
    while (true) {
      const auto [error, count] =
        co_await aSocket.async_read_some(asio::buffer(bytes), kAsTuple);
      if (error) {
        co_return;
      }
      mReceived.append(bytes.data(), count);
    }
  }

  asio::awaitable<void> Send(tcp::socket& aSocket, std::string aText)
  {
    co_await asio::async_write(aSocket, asio::buffer(aText), kAsTuple);
    co_await Sleep(30ms);
  }

  asio::io_context mContext;
  tcp::acceptor mTarget{ mContext, { asio::ip::make_address("127.0.0.1"), 0 } };
  std::string mReceived;
};

TEST_F(fault_proxy_test, NothingFollowsBytesThatWereDropped)
{
  for (const auto fault :
       { link_fault::DropRequests, link_fault::DropResponses }) {
    fault_proxy proxy(mContext, mTarget.local_endpoint());
    tcp::socket near(mContext);
    tcp::socket far(mContext);
    mReceived.clear();
    const auto play = [&]() -> asio::awaitable<void> {
      co_await near.async_connect(
        { asio::ip::make_address("127.0.0.1"), proxy.Port() }, kAsTuple);
      far = co_await mTarget.async_accept(asio::use_awaitable);
      auto& from = fault == link_fault::DropRequests ? near : far;
      auto& to = fault == link_fault::DropRequests ? far : near;
      asio::co_spawn(mContext, Read(to), [](auto) {});
      co_await Send(from, "one ");
      proxy.SetFault(fault);
      co_await Send(from, "two ");
      proxy.SetFault(link_fault::None);
      co_await Send(from, "three");
      boost::system::error_code ignored;
      near.close(ignored);
      far.close(ignored);
    };
    bool done = false;
    mContext.restart();
    asio::co_spawn(mContext, play(), [&](auto) { done = true; });
    while (!done) {
      mContext.run_one();
    }
    EXPECT_EQ(mReceived, "one ");
  }
}

} // namespace
} // namespace sapphirespar::soak
