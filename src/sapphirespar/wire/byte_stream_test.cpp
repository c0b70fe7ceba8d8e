// Tests of how connections notice that their peer has become unreachable.
#include "sapphirespar/wire/byte_stream.hpp"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace sapphirespar::wire {
namespace {

using namespace std::chrono_literals;
using asio::ip::tcp;

int
OptionOf(int aSocket, int aOption)
{
  int value = 0;
  socklen_t size = sizeof(value);
  EXPECT_EQ(::getsockopt(aSocket, IPPROTO_TCP, aOption, &value, &size), 0);
  return value;
}

// Finds this process's socket that is connected to the port; -1 if none is.
int
SocketTo(std::uint16_t aPort)
{
  constexpr int kMaximum = 1024;
  for (int number = 0; number < kMaximum; ++number) {
    sockaddr_in peer{};
    socklen_t size = sizeof(peer);
    auto* address = reinterpret_cast<sockaddr*>(&peer);
    if (::getpeername(number, address, &size) == 0 &&
        peer.sin_family == AF_INET && ntohs(peer.sin_port) == aPort) {
      return number;
    }
  }
  return -1;
}

// With a user timeout the kernel gives up by that time after the last byte from
// the peer, whatever the number of probes.
TEST(ByteStream, AnIdlePeerIsGivenUpByTheUserTimeoutAndAfterTwoProbes)
{
  asio::io_context context;
  tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
  const auto port = acceptor.local_endpoint().port();
  byte_stream_ptr stream;
  const auto connect = [&]() -> asio::awaitable<void> {
    endpoint to;
    to.mAddress = "127.0.0.1";
    to.mPort = port;
    auto connected = co_await ConnectStream(
      context.get_executor(), std::move(to), nullptr, 1s);
    EXPECT_TRUE(connected.has_value());
    if (connected) {
      stream = std::move(connected).value();
    }
  };
  asio::co_spawn(context, connect(), [](auto) {});
  context.run();
  const int socket = SocketTo(port);
  ASSERT_GE(socket, 0);
  const auto timeout =
    std::chrono::milliseconds(OptionOf(socket, TCP_USER_TIMEOUT));
  const auto idle = std::chrono::seconds(OptionOf(socket, TCP_KEEPIDLE));
  const auto interval = std::chrono::seconds(OptionOf(socket, TCP_KEEPINTVL));
  // A silence of a second is no failure, and one lost probe isn't either.
  EXPECT_GT(timeout, 2s);
  EXPECT_GE(timeout, idle + 2 * interval);
  EXPECT_LE(timeout, 5s);
}

} // namespace
} // namespace sapphirespar::wire
