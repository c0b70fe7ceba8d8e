// A connected byte stream over plain TCP or TLS. The HTTP and peer code use
// this interface, so that each is written and compiled once for both.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/outcome/result.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace boost::asio::ssl {
class context;
} // namespace boost::asio::ssl

namespace sapphirespar::wire {

namespace asio = boost::asio;

using tls_context_ptr = std::shared_ptr<asio::ssl::context>;

using stream_time = std::chrono::steady_clock::time_point;

struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;
};

// The result of a read: an error, or the number of bytes read.
struct read_result
{
  boost::system::error_code mError;
  std::size_t mBytes = 0;
};

class byte_stream
{
public:
  virtual ~byte_stream() = default;

  // Reads at least one byte. A deadline that has passed is reported as
  // beast::error::timeout, even if bytes are ready.
  virtual asio::awaitable<read_result> ReadSome(asio::mutable_buffer aInto,
                                                stream_time aDeadline) = 0;

  // Writes all of aBytes, which must stay valid until the write completes.
  virtual asio::awaitable<boost::system::error_code> Write(
    std::string_view aBytes,
    std::chrono::milliseconds aTimeout) = 0;

  // Returns whether the peer is known to have closed the connection. Does not
  // block.
  virtual bool LooksClosed() = 0;

  // Returns whether the stream is open and holds no unread bytes. Does not
  // block.
  virtual bool LooksIdle() = 0;

  // Calls aOnClosed once if the peer closes the connection before it sends
  // another byte. A later call replaces the callback; an empty callback stops
  // the watch.
  virtual void WatchClose(std::function<void()> aOnClosed) = 0;

  // Closes immediately; operations in progress fail with an error.
  virtual void Close() = 0;

  // Returns the peer's address without its port, or an empty string if it is
  // unknown.
  virtual std::string RemoteAddress() = 0;
};

using byte_stream_ptr = std::unique_ptr<byte_stream>;

template<class T>
using stream_result =
  boost::outcome_v2::basic_result<T,
                                  boost::system::error_code,
                                  boost::outcome_v2::policy::all_narrow>;

// Connects to aEndpoint, over plain TCP if aTls is null. aTimeout limits the
// TCP connection and the TLS handshake each on its own.
asio::awaitable<stream_result<byte_stream_ptr>> ConnectStream(
  asio::any_io_executor aExecutor,
  endpoint aEndpoint,
  tls_context_ptr aTls,
  std::chrono::milliseconds aTimeout);

// Wraps an accepted socket. Performs the TLS handshake first unless aTls is
// null.
asio::awaitable<stream_result<byte_stream_ptr>> AcceptStream(
  asio::ip::tcp::socket aSocket,
  tls_context_ptr aTls,
  std::chrono::milliseconds aTimeout);

// Returns whether aError reports an expired timeout.
bool IsTimeout(const boost::system::error_code& aError);

} // namespace sapphirespar::wire
