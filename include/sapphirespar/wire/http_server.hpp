// An HTTP/1.1 server: one coroutine per connection, one handler for all.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace sapphirespar::wire {

// The way back to the caller. A call that returns false found the caller gone;
// the exchange is then over.
class http_reply
{
public:
  virtual ~http_reply() = default;

  // Sends a whole response.
  virtual asio::awaitable<bool> Send(http_response aResponse) = 0;

  // Starts a chunked response, whose first piece may go along.
  virtual asio::awaitable<bool> Begin(unsigned aStatus,
                                      http_headers aHeaders,
                                      std::string_view aFirst = {}) = 0;
  virtual asio::awaitable<bool> Write(std::string_view aBytes) = 0;
  // Ends the response, with a last piece if there is one.
  virtual asio::awaitable<bool> Finish(std::string_view aLast = {}) = 0;

  // Whether anything has been sent.
  virtual bool Started() const = 0;

  // Whether the caller has closed its connection, as far as is known without
  // waiting.
  virtual bool CallerGone() = 0;

  // Calls aGone once if the caller closes its connection before the handler
  // has returned. An empty hook ends the watch.
  virtual void OnCallerGone(std::function<void()> aGone) = 0;

  // Address of the other end, without the port.
  virtual std::string RemoteAddress() const = 0;
};

// Handles one request. The request outlives the coroutine. A handler that
// returns without having finished its response closes the connection, so that
// a caller never takes a part for the whole.
using http_handler =
  std::function<asio::awaitable<void>(const http_request&, http_reply&)>;

// What a caller may send and how long it may take.
struct http_limits
{
  std::uint64_t mHeaderBytes = 16 * 1024;
  std::uint64_t mBodyBytes = 4 * 1024 * 1024;
  // From a request's first byte to the end of its headers.
  std::chrono::milliseconds mHeaderTimeout{ 60000 };
  // Longest wait for the next request or for more of a body.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
};

struct http_server_settings
{
  std::string mAddress = "127.0.0.1";
  // Zero takes any free port.
  std::uint16_t mPort = 0;
  // Asked anew for each request; never empty.
  std::function<http_limits()> mLimits = [] { return http_limits{}; };
  std::chrono::seconds mWriteTimeout{ 30 };
  // Null serves plain TCP.
  tls_context_ptr mTls;
  // Makes the response to a request that could not be parsed or is too large.
  std::function<http_response(unsigned aStatus, std::string_view aReason)>
    mMakeErrorResponse;
};

struct http_server_state;

// Accepts on one context and spreads connections over aWorkers in turn; each
// connection stays on its worker.
class http_server
{
public:
  // Throws boost::system::system_error if the address can't be bound, which a
  // program reports at its start.
  http_server(asio::io_context& aAcceptor,
              std::span<asio::io_context* const> aWorkers,
              http_server_settings aSettings,
              http_handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const;

  // Connections with a request in progress.
  std::size_t RequestsInProgress() const;

  // Answers with "Connection: close" from now on but accepts as before. Safe on
  // any thread.
  void DisableKeepAlive();

  // Stops accepting, answers what is in progress with "Connection: close" and
  // closes connections as their next request ends. Safe on any thread.
  void Drain();

private:
  std::shared_ptr<http_server_state> mState;
};

} // namespace sapphirespar::wire
