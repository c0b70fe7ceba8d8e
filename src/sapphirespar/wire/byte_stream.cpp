// Plain TCP and TLS byte streams over Beast's streams with timeouts.
#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <type_traits>
#include <utility>

namespace sapphirespar::wire {
namespace {

namespace beast = boost::beast;
using boost::system::error_code;
using std::chrono::milliseconds;

using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

// Completes with the error code as a value instead of throwing it.
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

template<class Stream>
class asio_byte_stream : public byte_stream
{
public:
  template<class... Arguments>
  explicit asio_byte_stream(Arguments&&... aArguments)
    : mStream(std::forward<Arguments>(aArguments)...)
  {
  }

  Stream& Get() { return mStream; }

  asio::awaitable<read_result> ReadSome(asio::mutable_buffer aInto,
                                        stream_time aDeadline) override
  {
    read_result result;
    // The stream's own deadline does not end reads of bytes that are ready.
    if (std::chrono::steady_clock::now() >= aDeadline) {
      result.mError = beast::error::timeout;
      co_return result;
    }
    LowestLayer().expires_at(aDeadline);
    const auto [error, bytes] =
      co_await mStream.async_read_some(aInto, kAsTuple);
    result.mError = error;
    result.mBytes = bytes;
    co_return result;
  }

  asio::awaitable<error_code> Write(std::string_view aBytes,
                                    milliseconds aTimeout) override
  {
    LowestLayer().expires_after(aTimeout);
    const asio::const_buffer bytes(aBytes.data(), aBytes.size());
    const auto [error, count] =
      co_await asio::async_write(mStream, bytes, kAsTuple);
    co_return error;
  }

  bool LooksClosed() override { return Peek() == peek_result::Closed; }
  bool LooksIdle() override { return Peek() == peek_result::Nothing; }

  void WatchClose(std::function<void()> aOnClosed) override
  {
    mOnClosed = std::move(aOnClosed);
    if (mWatching || !mOnClosed) {
      return;
    }
    mWatching = true;
    LowestLayer().socket().async_wait(
      asio::socket_base::wait_read,
      [this, alive = std::weak_ptr(mAlive)](const error_code& aError) {
        if (alive.expired()) {
          return;
        }
        mWatching = false;
        if (!aError && mOnClosed && LooksClosed()) {
          std::exchange(mOnClosed, nullptr)();
        }
      });
  }

  void Close() override
  {
    error_code ignored;
    auto& socket = LowestLayer().socket();
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    LowestLayer().close();
  }

  std::string RemoteAddress() override
  {
    error_code error;
    const auto remote = LowestLayer().socket().remote_endpoint(error);
    return error ? std::string{} : remote.address().to_string();
  }

private:
  enum class peek_result
  {
    Nothing,
    Bytes,
    Closed,
  };

  peek_result Peek()
  {
    auto& socket = LowestLayer().socket();
    if (!socket.is_open()) {
      return peek_result::Closed;
    }
    char byte = 0;
    const auto count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
      return peek_result::Bytes;
    }
    const bool wouldBlock = errno == EAGAIN || errno == EWOULDBLOCK;
    return count < 0 && wouldBlock ? peek_result::Nothing : peek_result::Closed;
  }

  plain_stream& LowestLayer() { return beast::get_lowest_layer(mStream); }

  Stream mStream;
  // Empty while the close of the peer is not watched.
  std::function<void()> mOnClosed;
  bool mWatching = false;
  // Expires with the stream, so that a wait on its socket that completes later
  // does not use it.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

// Makes the kernel close a connection whose peer has become unreachable without
// closing it, for example because the peer's machine lost power or a device on
// the path dropped the connection's state.
void
EnableDeadPeerDetection(asio::ip::tcp::socket& aSocket)
{
  // Longest time that sent bytes may stay unacknowledged. Recovery from several
  // lost packets in a row on a bad link takes less.
  constexpr int kUnacknowledgedTimeoutMs = 4000;
  constexpr int kKeepAliveIdleSeconds = 2;
  constexpr int kKeepAliveIntervalSeconds = 1;
  constexpr int kKeepAliveProbes = 3;
  const auto set = [&](int aOption, int aValue) {
    ::setsockopt(
      aSocket.native_handle(), IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
  };
  error_code ignored;
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  set(TCP_USER_TIMEOUT, kUnacknowledgedTimeoutMs);
  set(TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(TCP_KEEPCNT, kKeepAliveProbes);
}

asio::awaitable<stream_result<byte_stream_ptr>>
PerformTlsHandshake(plain_stream aStream,
                    tls_context_ptr aTls,
                    asio::ssl::stream_base::handshake_type aRole,
                    milliseconds aTimeout)
{
  auto stream =
    std::make_unique<asio_byte_stream<tls_stream>>(std::move(aStream), *aTls);
  stream->Get().next_layer().expires_after(aTimeout);
  const auto [error] = co_await stream->Get().async_handshake(aRole, kAsTuple);
  if (error) {
    co_return error;
  }
  co_return byte_stream_ptr(std::move(stream));
}

} // namespace

asio::awaitable<stream_result<byte_stream_ptr>>
ConnectStream(asio::any_io_executor aExecutor,
              endpoint aEndpoint,
              tls_context_ptr aTls,
              milliseconds aTimeout)
{
  error_code addressError;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, addressError);
  if (addressError) {
    co_return addressError;
  }
  plain_stream stream(aExecutor);
  stream.expires_after(aTimeout);
  const asio::ip::tcp::endpoint remote(address, aEndpoint.mPort);
  const auto [error] = co_await stream.async_connect(remote, kAsTuple);
  if (error) {
    co_return error;
  }
  error_code ignored;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(stream.socket());
  if (aTls) {
    co_return co_await PerformTlsHandshake(
      std::move(stream), aTls, asio::ssl::stream_base::client, aTimeout);
  }
  co_return byte_stream_ptr(
    std::make_unique<asio_byte_stream<plain_stream>>(std::move(stream)));
}

asio::awaitable<stream_result<byte_stream_ptr>>
AcceptStream(asio::ip::tcp::socket aSocket,
             tls_context_ptr aTls,
             milliseconds aTimeout)
{
  error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  EnableDeadPeerDetection(aSocket);
  plain_stream stream(std::move(aSocket));
  if (aTls) {
    co_return co_await PerformTlsHandshake(
      std::move(stream), aTls, asio::ssl::stream_base::server, aTimeout);
  }
  co_return byte_stream_ptr(
    std::make_unique<asio_byte_stream<plain_stream>>(std::move(stream)));
}

bool
IsTimeout(const error_code& aError)
{
  return aError == beast::error::timeout;
}

} // namespace sapphirespar::wire
