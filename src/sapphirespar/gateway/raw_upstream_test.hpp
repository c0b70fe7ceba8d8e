// A test upstream that writes its connections byte for byte.
#pragma once

#include "forward_fixture_test.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <string>

namespace sapphirespar::gateway {

// Completes with the error code as a value instead of throwing it.
inline constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// Serves one connection; it is closed when the coroutine ends.
using connection_script =
  std::function<asio::awaitable<void>(asio::ip::tcp::socket)>;

// Reads the head of a request; empty at the end of the connection.
inline asio::awaitable<std::string>
ReadRequestHead(asio::ip::tcp::socket& aSocket)
{
  std::string head;
  const auto [error, bytes] = co_await asio::async_read_until(
    aSocket, asio::dynamic_buffer(head), "\r\n\r\n", kAsTuple);
  co_return error ? std::string() : head;
}

// Returns false if the connection has ended.
inline asio::awaitable<bool>
WriteBytes(asio::ip::tcp::socket& aSocket, std::string_view aBytes)
{
  const asio::const_buffer bytes(aBytes.data(), aBytes.size());
  const auto [error, count] =
    co_await asio::async_write(aSocket, bytes, kAsTuple);
  co_return !error;
}

inline asio::awaitable<void>
AcceptForScript(asio::ip::tcp::acceptor aAcceptor, connection_script aScript)
{
  while (true) {
    auto socket = co_await aAcceptor.async_accept(asio::use_awaitable);
    asio::co_spawn(
      aAcceptor.get_executor(), aScript(std::move(socket)), asio::detached);
  }
}

// Serves connections on a port of loopback and returns the port. aScript must
// outlive aContext's run.
inline std::uint16_t
ServeConnections(asio::io_context& aContext, connection_script aScript)
{
  const auto loopback = asio::ip::make_address("127.0.0.1");
  asio::ip::tcp::acceptor acceptor(aContext, { loopback, 0 });
  const auto port = acceptor.local_endpoint().port();
  asio::co_spawn(aContext,
                 AcceptForScript(std::move(acceptor), std::move(aScript)),
                 asio::detached);
  return port;
}

} // namespace sapphirespar::gateway
