// An HTTP/1.1 client with a pool of idle connections. One client belongs to
// one thread.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/outcome/result.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace sapphirespar::wire {

enum class wire_error_kind
{
  Connect,
  Write,
  Read,
  Timeout,
  Protocol,
  Cancelled,
};

// Returns the kind as it stands in logs, such as "connect".
std::string_view ToText(wire_error_kind aKind);

struct wire_error
{
  wire_error_kind mKind = wire_error_kind::Connect;
  // False proves that the far end has not seen any of the request.
  bool mBytesWritten = false;
  std::string mDetail;
};

template<class T>
using wire_result = boost::outcome_v2::
  basic_result<T, wire_error, boost::outcome_v2::policy::all_narrow>;

// Which connection a call may travel on.
enum class connection_choice
{
  // An idle one if there is one, otherwise a new one.
  Pooled,
  // A new one: for calls that must not be lost on a connection that has gone
  // silent, and for judging whether the far end lives.
  Fresh,
};

struct http_client_settings
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  // An idle connection older than this is closed rather than used, and sooner
  // if the far end has announced a shorter limit.
  std::chrono::milliseconds mIdleLimit{ 10000 };
  std::size_t mMaxIdlePerEndpoint = 64;
  std::uint64_t mBodyLimitBytes = 16 * 1024 * 1024;
  // Null speaks plain TCP.
  tls_context_ptr mTls;
};

// A response whose body is read piece by piece. Destroying it before its end
// closes the connection, which cancels the call at the far end.
class http_stream
{
public:
  virtual ~http_stream() = default;

  // Status and headers; the body is empty.
  virtual const http_response& Head() const = 0;

  // Whether the connection had carried an earlier request.
  virtual bool Reused() const = 0;

  // Whether all of the body has been read.
  virtual bool Finished() const = 0;

  // Discards this response and reads the head of the next one on the same
  // connection, for responses that belong to an earlier request.
  virtual asio::awaitable<wire_result<bool>> SkipResponse(
    std::chrono::milliseconds aTimeout) = 0;

  // Returns the next piece of the body, or an empty string at its proper end.
  // A body that breaks off is an error, never an end.
  virtual asio::awaitable<wire_result<std::string>> Read(
    std::chrono::milliseconds aTimeout) = 0;
};

using http_stream_ptr = std::unique_ptr<http_stream>;

// Lets another part of the same thread end a call that is in progress. The
// call then fails with wire_error_kind::Cancelled.
class call_abort
{
public:
  // Closes the connection that the call travels on, now or once it has one.
  void Abort();
  bool Aborted() const { return mAborted; }

  // The connection that a later Abort closes; null for none.
  void Attach(std::shared_ptr<byte_stream> aStream);

private:
  bool mAborted = false;
  // Expired when the call is over.
  std::weak_ptr<byte_stream> mStream;
};

using call_abort_ptr = std::shared_ptr<call_abort>;

class http_client
{
public:
  http_client(asio::any_io_executor aExecutor, http_client_settings aSettings);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends a request and reads the whole response within aTimeout.
  asio::awaitable<wire_result<http_response>> Fetch(
    endpoint aEndpoint,
    http_request aRequest,
    std::chrono::milliseconds aTimeout,
    connection_choice aChoice = connection_choice::Pooled);

  // Sends a request and returns once the response's head has arrived. aAbort
  // may be null; it stays effective until the response's end.
  asio::awaitable<wire_result<http_stream_ptr>> Open(
    endpoint aEndpoint,
    http_request aRequest,
    std::chrono::milliseconds aHeadTimeout,
    connection_choice aChoice = connection_choice::Pooled,
    call_abort_ptr aAbort = nullptr);

  // Closes every idle connection to aEndpoint.
  void DropIdle(const endpoint& aEndpoint);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::wire
