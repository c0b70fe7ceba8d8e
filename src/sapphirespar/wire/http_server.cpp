// The HTTP server: accepts connections, parses requests and writes responses.
#include "sapphirespar/wire/http_server.hpp"

#include "http_codec.hpp"
#include "http_request_read.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
#include <vector>

namespace sapphirespar::wire {

// The part of the server that its connections use. It may outlive the acceptor,
// whose context may be destroyed before the last connection ends.
struct connection_services
{
  http_server_settings mSettings;
  http_handler mHandler;
  // Responses carry "Connection: close".
  std::atomic<bool> mClosing{ false };
  // The server accepts no more connections; implies mClosing.
  std::atomic<bool> mDraining{ false };
  std::atomic<std::size_t> mRequestsInProgress{ 0 };
};

struct http_server_state
{
  http_server_state(asio::io_context& aContext,
                    std::span<asio::io_context* const> aWorkers)
    : mAcceptor(aContext)
    , mWorkers(aWorkers.begin(), aWorkers.end())
  {
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::vector<asio::io_context*> mWorkers;
  std::shared_ptr<connection_services> mServices =
    std::make_shared<connection_services>();
  std::uint16_t mPort = 0;
};

namespace {

using boost::system::error_code;

// Completes with the error code as a value instead of throwing it.
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

using server_state = std::shared_ptr<http_server_state>;
using services_ptr = std::shared_ptr<connection_services>;

http_request
ToRequest(http::request<http::string_body> aMessage)
{
  http_request request;
  request.mMethod = aMessage.method_string();
  request.mTarget = aMessage.target();
  std::ranges::transform(
    aMessage, std::back_inserter(request.mHeaders), [](const auto& aField) {
      return http_header{ std::string(aField.name_string()),
                          std::string(aField.value()) };
    });
  request.mBody = std::move(aMessage.body());
  return request;
}

// Writes responses to one connection.
class stream_reply : public http_reply
{
public:
  stream_reply(byte_stream& aStream,
               const connection_services& aServices,
               bool aKeepAlive)
    : mStream(aStream)
    , mServices(aServices)
    , mKeepAlive(aKeepAlive)
  {
  }
  ~stream_reply() override { mStream.WatchClose(nullptr); }
  stream_reply(const stream_reply&) = delete;
  stream_reply& operator=(const stream_reply&) = delete;

  asio::awaitable<bool> Send(http_response aResponse) override
  {
    mStarted = true;
    http::response<http::string_body> message;
    SetHead(message, aResponse.mStatus, aResponse.mHeaders);
    message.body() = std::move(aResponse.mBody);
    message.prepare_payload();
    auto bytes = Serialize(message);
    // The write may wait for the caller; one copy of the body is enough then.
    message.body() = {};
    mFinished = co_await WriteBytes(std::move(bytes));
    co_return mFinished;
  }

  asio::awaitable<bool> Begin(unsigned aStatus,
                              http_headers aHeaders,
                              std::string_view aFirst) override
  {
    mStarted = true;
    http::response<http::empty_body> message;
    SetHead(message, aStatus, aHeaders);
    message.chunked(true);
    co_return co_await WriteBytes(SerializeHead(message) + ToChunk(aFirst));
  }

  asio::awaitable<bool> Write(std::string_view aBytes) override
  {
    if (aBytes.empty()) {
      co_return true;
    }
    co_return co_await WriteBytes(ToChunk(aBytes));
  }

  asio::awaitable<bool> Finish(std::string_view aLast) override
  {
    const auto end = beast::buffers_to_string(http::make_chunk_last());
    mFinished = co_await WriteBytes(ToChunk(aLast) + end);
    co_return mFinished;
  }

  bool Started() const override { return mStarted; }
  bool CallerDisconnected() override { return mStream.LooksClosed(); }
  void OnCallerDisconnect(std::function<void()> aOnDisconnect) override
  {
    mStream.WatchClose(std::move(aOnDisconnect));
  }
  std::string RemoteAddress() const override { return mStream.RemoteAddress(); }

  // Returns whether the response was sent completely and the connection may
  // carry another request.
  bool Reusable() const { return mFinished && mKeepAlive; }

private:
  // Returns an empty string for no bytes, since an empty chunk would end the
  // body.
  static std::string ToChunk(std::string_view aBytes)
  {
    if (aBytes.empty()) {
      return {};
    }
    const asio::const_buffer bytes(aBytes.data(), aBytes.size());
    return beast::buffers_to_string(http::make_chunk(bytes));
  }

  template<class Body>
  void SetHead(http::response<Body>& aMessage,
               unsigned aStatus,
               const http_headers& aHeaders)
  {
    mKeepAlive = mKeepAlive && !mServices.mClosing;
    aMessage.result(aStatus);
    aMessage.version(kHttpVersion);
    aMessage.keep_alive(mKeepAlive);
    for (const auto& header : aHeaders) {
      aMessage.insert(header.mName, header.mValue);
    }
  }

  asio::awaitable<bool> WriteBytes(std::string aBytes)
  {
    const auto error =
      co_await mStream.Write(aBytes, mServices.mSettings.mWriteTimeout);
    co_return !error;
  }

  byte_stream& mStream;
  const connection_services& mServices;
  bool mKeepAlive;
  bool mStarted = false;
  // Set once the last byte of the response has been written.
  bool mFinished = false;
};

// Counts a request as in progress for the lifetime of this object.
class active_request_counter
{
public:
  explicit active_request_counter(std::atomic<std::size_t>& aCount)
    : mCount(aCount)
  {
    ++mCount;
  }
  ~active_request_counter() { --mCount; }
  active_request_counter(const active_request_counter&) = delete;
  active_request_counter& operator=(const active_request_counter&) = delete;

private:
  std::atomic<std::size_t>& mCount;
};

asio::awaitable<void>
RejectUnreadableRequest(services_ptr aServices,
                        byte_stream& aStream,
                        error_code aError)
{
  constexpr bool kKeepAlive = false;
  stream_reply reply(aStream, *aServices, kKeepAlive);
  const auto status = StatusOfReadError(aError);
  auto response =
    aServices->mSettings.mMakeErrorResponse
      ? aServices->mSettings.mMakeErrorResponse(status, aError.message())
      : http_response{ status, {}, aError.message() };
  if (co_await reply.Send(std::move(response))) {
    co_await DiscardUnreadInput(aStream);
  }
}

void
LogHandlerFailure(std::exception_ptr aProblem)
{
  if (!aProblem) {
    return;
  }
  try {
    std::rethrow_exception(aProblem);
  } catch (const std::exception& problem) {
    LogEvent(
      log_level::Error, "handler_failed", { { "error", problem.what() } });
  }
}

// Runs the handler. If it throws before it has begun to answer, the caller gets
// an error response instead.
asio::awaitable<void>
HandleRequest(connection_services& aServices,
              const http_request& aRequest,
              stream_reply& aReply)
{
  constexpr unsigned kInternalError = 500;
  constexpr std::string_view kReason = "internal error";
  std::exception_ptr problem;
  try {
    co_await aServices.mHandler(aRequest, aReply);
  } catch (...) {
    problem = std::current_exception();
  }
  if (!problem) {
    co_return;
  }
  LogHandlerFailure(problem);
  if (!aReply.Started()) {
    auto response =
      aServices.mSettings.mMakeErrorResponse
        ? aServices.mSettings.mMakeErrorResponse(kInternalError, kReason)
        : http_response{ kInternalError, {}, std::string(kReason) };
    co_await aReply.Send(std::move(response));
  }
}

// Serves requests until the connection must close.
asio::awaitable<void>
ServeRequests(services_ptr aServices, byte_stream& aStream)
{
  beast::flat_buffer buffer;
  bool open = true;
  while (open) {
    request_parser parser;
    // Released after the request has been handled.
    std::optional<memory_claim> body;
    if (aServices->mSettings.mBodyMemory) {
      body.emplace(aServices->mSettings.mBodyMemory);
    }
    // A request that is still being read must not be cut off by a shutdown.
    std::optional<active_request_counter> counter;
    const auto onBegin = [&] {
      counter.emplace(aServices->mRequestsInProgress);
    };
    const auto read = co_await ReadRequest(aStream,
                                           buffer,
                                           parser,
                                           aServices->mSettings.mLimits,
                                           onBegin,
                                           body ? &*body : nullptr);
    if (read.mError) {
      const bool canRespond = IsParseError(read.mError) ||
                              IsTimeout(read.mError) ||
                              IsOutOfMemory(read.mError);
      if (read.mReceivedBytes && canRespond) {
        co_await RejectUnreadableRequest(aServices, aStream, read.mError);
      }
      break;
    }
    const bool keepAlive = parser.get().keep_alive();
    const auto request = ToRequest(parser.release());
    stream_reply reply(aStream, *aServices, keepAlive);
    co_await HandleRequest(*aServices, request, reply);
    open = reply.Reusable();
  }
}

asio::awaitable<void>
ServeConnection(services_ptr aServices, asio::ip::tcp::socket aSocket)
{
  constexpr std::chrono::seconds kHandshakeTimeout{ 60 };
  auto accepted = co_await AcceptStream(
    std::move(aSocket), aServices->mSettings.mTls, kHandshakeTimeout);
  if (!accepted) {
    LogEvent(log_level::Debug,
             "handshake_failed",
             { { "error", accepted.error().message() } });
    co_return;
  }
  const auto stream = std::move(accepted).value();
  co_await ServeRequests(aServices, *stream);
  stream->Close();
}

// Pauses after a failed accept, for example when file descriptors have run out,
// so that the accept loop does not spin.
asio::awaitable<void>
PauseAfterAcceptError()
{
  constexpr std::chrono::milliseconds kPause{ 50 };
  asio::steady_timer timer(co_await asio::this_coro::executor, kPause);
  co_await timer.async_wait(kAsTuple);
}

asio::awaitable<void>
Accept(server_state aState)
{
  std::size_t nextWorker = 0;
  while (!aState->mServices->mDraining) {
    auto& worker = *aState->mWorkers[nextWorker++ % aState->mWorkers.size()];
    auto [error, socket] =
      co_await aState->mAcceptor.async_accept(worker, kAsTuple);
    if (error == asio::error::operation_aborted ||
        error == asio::error::bad_descriptor) {
      break;
    }
    if (error) {
      LogEvent(
        log_level::Warning, "accept_failed", { { "error", error.message() } });
      co_await PauseAfterAcceptError();
      continue;
    }
    asio::co_spawn(worker,
                   ServeConnection(aState->mServices, std::move(socket)),
                   LogHandlerFailure);
  }
}

} // namespace

http_server::http_server(asio::io_context& aAcceptor,
                         std::span<asio::io_context* const> aWorkers,
                         http_server_settings aSettings,
                         http_handler aHandler)
  : mState(std::make_shared<http_server_state>(aAcceptor, aWorkers))
{
  mState->mServices->mSettings = std::move(aSettings);
  mState->mServices->mHandler = std::move(aHandler);
  const auto& settings = mState->mServices->mSettings;
  const asio::ip::tcp::endpoint endpoint(
    asio::ip::make_address(settings.mAddress), settings.mPort);
  mState->mAcceptor.open(endpoint.protocol());
  mState->mAcceptor.set_option(asio::socket_base::reuse_address(true));
  mState->mAcceptor.bind(endpoint);
  mState->mAcceptor.listen();
  mState->mPort = mState->mAcceptor.local_endpoint().port();
  asio::co_spawn(aAcceptor, Accept(mState), LogHandlerFailure);
}

http_server::~http_server()
{
  Drain();
}

std::uint16_t
http_server::Port() const
{
  return mState->mPort;
}

std::size_t
http_server::RequestsInProgress() const
{
  return mState->mServices->mRequestsInProgress;
}

void
http_server::DisableKeepAlive()
{
  mState->mServices->mClosing = true;
}

void
http_server::Drain()
{
  DisableKeepAlive();
  if (mState->mServices->mDraining.exchange(true)) {
    return;
  }
  asio::post(mState->mAcceptor.get_executor(), [state = mState] {
    boost::system::error_code ignored;
    state->mAcceptor.close(ignored);
  });
}

} // namespace sapphirespar::wire
