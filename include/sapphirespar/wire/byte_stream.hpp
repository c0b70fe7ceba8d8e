// A connected stream of bytes, plain TCP or TLS. HTTP and peer links both run
// over it, so that each is written, and compiled, once.
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

struct endpoint
{
  std::string mAddress;
  std::uint16_t mPort = 0;

  auto operator<=>(const endpoint&) const = default;
};

// How a read ended: an error, or how many bytes came.
struct read_outcome
{
  boost::system::error_code mError;
  std::size_t mBytes = 0;
};

class byte_stream
{
public:
  virtual ~byte_stream() = default;

  // Reads at least one byte. A timeout is beast::error::timeout.
  virtual asio::awaitable<read_outcome> ReadSome(
    asio::mutable_buffer aInto,
    std::chrono::milliseconds aTimeout) = 0;

  // Writes all of aBytes, which must live until this completes.
  virtual asio::awaitable<boost::system::error_code> Write(
    std::string_view aBytes,
    std::chrono::milliseconds aTimeout) = 0;

  // Whether the far end has closed its side, found without waiting.
  virtual bool LooksClosed() = 0;

  // Whether nothing has arrived that nobody has read: neither bytes nor an end.
  virtual bool LooksIdle() = 0;

  // Calls aClosed once if the far end closes before it sends another byte. A
  // later call replaces the hook; an empty one ends the watch.
  virtual void WatchClose(std::function<void()> aClosed) = 0;

  // Closes at once; operations in progress end with an error.
  virtual void Close() = 0;

  // Address of the far end without its port, or empty.
  virtual std::string RemoteAddress() = 0;
};

using byte_stream_ptr = std::unique_ptr<byte_stream>;

template<class T>
using stream_result =
  boost::outcome_v2::basic_result<T,
                                  boost::system::error_code,
                                  boost::outcome_v2::policy::all_narrow>;

// Connects; a null context speaks plain TCP.
asio::awaitable<stream_result<byte_stream_ptr>> ConnectStream(
  asio::any_io_executor aExecutor,
  endpoint aEndpoint,
  tls_context_ptr aTls,
  std::chrono::milliseconds aTimeout);

// Wraps an accepted socket, after the handshake if there is a context.
asio::awaitable<stream_result<byte_stream_ptr>> AcceptStream(
  asio::ip::tcp::socket aSocket,
  tls_context_ptr aTls,
  std::chrono::milliseconds aTimeout);

// Whether aError says that time ran out.
bool IsTimeout(const boost::system::error_code& aError);

} // namespace sapphirespar::wire
