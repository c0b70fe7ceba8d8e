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
#include <functional>
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

// Returns the name of the kind for logs, such as "connect".
std::string_view ToText(wire_error_kind aKind);

struct wire_error
{
  wire_error_kind mKind = wire_error_kind::Connect;
  // False guarantees that no byte of the request was sent.
  bool mBytesWritten = false;
  // For people: the part of the response that was incomplete, why it ended, its
  // bytes and its time.
  std::string mDetail;
  // The call used an idle connection, which ended before any byte of a response
  // arrived. The server may have closed it without seeing the request.
  bool mStaleConnection = false;
  // Bytes of the incomplete part of the response.
  std::size_t mReceivedBytes = 0;
};

template<class T>
using wire_result = boost::outcome_v2::
  basic_result<T, wire_error, boost::outcome_v2::policy::all_narrow>;

// Which connection a call may use.
enum class connection_choice
{
  // An idle connection if there is one, otherwise a new one.
  Pooled,
  // A new connection, for calls that must not be lost on a connection that has
  // gone silent, and for health checks.
  Fresh,
};

struct http_client_settings
{
  std::chrono::milliseconds mConnectTimeout{ 1000 };
  // A connection that has been idle for this long is closed instead of reused.
  // A shorter limit that the server announces in Keep-Alive applies instead.
  std::chrono::milliseconds mIdleLimit{ 10000 };
  std::size_t mMaxIdlePerEndpoint = 64;
  // Limit of a head together with the interim heads before it, and of the
  // bytes of chunk headers and trailers that are incomplete.
  std::size_t mHeadLimitBytes = 16 * 1024;
  std::uint64_t mBodyLimitBytes = 16 * 1024 * 1024;
  // Limit of the bytes that Discard and SkipResponse drop from one call's
  // connection.
  std::size_t mDiscardLimitBytes = 1024 * 1024;
  // Null means plain TCP.
  tls_context_ptr mTls{};
};

// What marks the end of a response's body.
enum class body_framing
{
  Length,
  Chunked,
  // The end of the connection.
  Close,
};

// Returns the name of the framing for logs, such as "chunked".
std::string_view ToText(body_framing aFraming);

// A response whose body is read in pieces. Destroying it before the end of the
// body closes the connection, which cancels the call at the server.
class http_stream
{
public:
  virtual ~http_stream() = default;

  // Returns the status and headers; the body is empty.
  virtual const http_response& Head() const = 0;

  // Returns what marks the end of the body.
  virtual body_framing Framing() const = 0;

  // Returns whether the connection carried an earlier request.
  virtual bool Reused() const = 0;

  // Returns whether the whole body has been read.
  virtual bool Finished() const = 0;

  // Reads the rest of the body and drops it, so that the connection can be
  // reused. Closes the connection if the rest takes longer than aTimeout or
  // exceeds the limit of the settings.
  virtual asio::awaitable<wire_result<bool>> Discard(
    std::chrono::milliseconds aTimeout) = 0;

  // Discards this response and reads the head of the next one on the same
  // connection. Used when a response belongs to an earlier request. aTimeout
  // limits the whole. Must not be called after Read.
  virtual asio::awaitable<wire_result<bool>> SkipResponse(
    std::chrono::milliseconds aTimeout) = 0;

  // Returns the next piece of the body, or an empty string at its end. A
  // truncated body is an error, and so is a timeout of zero unless the piece
  // has arrived together with an earlier one.
  virtual asio::awaitable<wire_result<std::string>> Read(
    std::chrono::milliseconds aTimeout) = 0;
};

using http_stream_ptr = std::unique_ptr<http_stream>;

// Cancels a call in progress from elsewhere on the same thread. The call then
// fails with wire_error_kind::Cancelled.
class call_abort
{
public:
  // Closes the call's connection, or makes the call fail once it has one.
  void Abort();
  bool Aborted() const { return mAborted; }
  // Whether the call has a connection, on which it may have sent bytes.
  bool Connected() const { return !mStream.expired(); }

  // Sets the connection that a later Abort closes; null for none.
  void Attach(std::shared_ptr<byte_stream> aStream);

private:
  bool mAborted = false;
  // Expired once the call has ended.
  std::weak_ptr<byte_stream> mStream;
};

using call_abort_ptr = std::shared_ptr<call_abort>;

// Called once a call has a connection and before the first byte of its request
// is written, however long connecting has taken. May change what has become old
// in the request meanwhile. If it returns false, the connection is closed, and
// the call fails with wire_error_kind::Cancelled and no bytes written.
using send_check = std::function<bool(http_request& aRequest)>;

class http_client
{
public:
  http_client(asio::any_io_executor aExecutor, http_client_settings aSettings);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Sends a request and reads the whole response. aTimeout limits the call as a
  // whole, and the timeout of the settings limits connecting.
  asio::awaitable<wire_result<http_response>> Fetch(
    endpoint aEndpoint,
    http_request aRequest,
    std::chrono::milliseconds aTimeout,
    connection_choice aChoice = connection_choice::Pooled);

  // Sends a request and returns once the response's head has arrived.
  // aHeadTimeout limits all until then, and the timeout of the settings limits
  // connecting. aAbort may be null; it can cancel the call until the end of the
  // response. aMaySend may be null.
  asio::awaitable<wire_result<http_stream_ptr>> Open(
    endpoint aEndpoint,
    http_request aRequest,
    std::chrono::milliseconds aHeadTimeout,
    connection_choice aChoice = connection_choice::Pooled,
    call_abort_ptr aAbort = nullptr,
    send_check aMaySend = nullptr);

  // Closes every idle connection to aEndpoint.
  void DropIdle(const endpoint& aEndpoint);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::wire
