// An HTTP/1.1 server with one coroutine per connection and one request handler.
#pragma once

#include "sapphirespar/base/memory_budget.hpp"
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

// Writes the response to a caller. A coroutine that returns false could not
// write, because the caller has disconnected or timed out; the exchange is then
// over.
class http_reply
{
public:
  virtual ~http_reply() = default;

  // Sends a complete response.
  virtual asio::awaitable<bool> Send(http_response aResponse) = 0;

  // Starts a chunked response. A non-empty aFirst is sent as its first chunk.
  virtual asio::awaitable<bool> Begin(unsigned aStatus,
                                      http_headers aHeaders,
                                      std::string_view aFirst = {}) = 0;
  virtual asio::awaitable<bool> Write(std::string_view aBytes) = 0;
  // Ends the response. A non-empty aLast is sent as its last chunk.
  virtual asio::awaitable<bool> Finish(std::string_view aLast = {}) = 0;

  // Returns whether sending of a response has begun.
  virtual bool Started() const = 0;

  // Returns whether the caller is known to have closed its connection. Does not
  // block.
  virtual bool CallerDisconnected() = 0;

  // Calls aOnDisconnect once if the caller closes its connection before the
  // handler returns. An empty callback stops the watch.
  virtual void OnCallerDisconnect(std::function<void()> aOnDisconnect) = 0;

  // Returns the caller's address without the port.
  virtual std::string RemoteAddress() const = 0;
};

// Handles one request. The request outlives the coroutine. If a handler returns
// before its response is complete, the server closes the connection, so that
// the caller does not take a partial response for a complete one. If it throws
// before it has begun a response, the caller gets a 500.
using http_handler =
  std::function<asio::awaitable<void>(const http_request&, http_reply&)>;

// Limits on the size of requests and on the time that a caller may take.
struct http_limits
{
  std::uint64_t mHeaderBytes = 16 * 1024;
  std::uint64_t mBodyBytes = 4 * 1024 * 1024;
  // From the first byte of a request to the end of its headers.
  std::chrono::milliseconds mHeaderTimeout{ 60000 };
  // Longest wait for the next request, or for the next bytes of a body.
  std::chrono::milliseconds mIdleTimeout{ 60000 };
  // From the end of the headers to the end of the body.
  std::chrono::milliseconds mBodyTimeout{ 60000 };
};

struct http_server_settings
{
  std::string mAddress = "127.0.0.1";
  // Zero picks any free port.
  std::uint16_t mPort = 0;
  // Called for each request; never empty.
  std::function<http_limits()> mLimits = [] { return http_limits{}; };
  // The memory for the bodies of all requests in progress, which then run on
  // one thread. A request whose body finds no room gets 503. Null means no
  // limit.
  memory_budget_ptr mBodyMemory;
  std::chrono::seconds mWriteTimeout{ 30 };
  // Null means plain TCP.
  tls_context_ptr mTls;
  // Makes the response to a request that could not be parsed, is too large or
  // timed out, or whose handler failed. If empty, the response has the reason
  // as its body.
  std::function<http_response(unsigned aStatus, std::string_view aReason)>
    mMakeErrorResponse;
};

struct http_server_state;

// Accepts connections on one context and assigns them to aWorkers in
// round-robin order; each connection stays on its worker.
class http_server
{
public:
  // Throws boost::system::system_error if the address cannot be bound; programs
  // report this at startup.
  http_server(asio::io_context& aAcceptor,
              std::span<asio::io_context* const> aWorkers,
              http_server_settings aSettings,
              http_handler aHandler);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  std::uint16_t Port() const;

  // Returns the number of requests in progress, from their first byte on.
  std::size_t RequestsInProgress() const;

  // Sends "Connection: close" with all further responses, but still accepts
  // connections. Safe on any thread.
  void DisableKeepAlive();

  // Stops accepting connections and sends "Connection: close" with all further
  // responses, so that each connection closes after its current or next
  // request. Safe on any thread.
  void Drain();

private:
  std::shared_ptr<http_server_state> mState;
};

} // namespace sapphirespar::wire
