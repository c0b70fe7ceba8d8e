// The HTTP client: pooled connections, complete and streamed responses.
#include "sapphirespar/wire/http_client.hpp"

#include "http_response_reader.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace sapphirespar::wire {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr bool kNothingWritten = false;
constexpr bool kBytesWritten = true;

std::string
ToBytes(const endpoint& aEndpoint, http_request aRequest)
{
  http::request<http::string_body> message;
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.version(kHttpVersion);
  message.set(http::field::host,
              aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort));
  for (const auto& header : aRequest.mHeaders) {
    if (beast::iequals(header.mName, "Host")) {
      message.set(http::field::host, header.mValue);
    } else {
      message.insert(header.mName, header.mValue);
    }
  }
  message.body() = std::move(aRequest.mBody);
  message.prepare_payload();
  return Serialize(message);
}

milliseconds
RemainingUntil(stream_time aEnd)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aEnd - steady_clock::now());
  return std::max(left, milliseconds::zero());
}

} // namespace

std::string_view
ToText(wire_error_kind aKind)
{
  switch (aKind) {
    case wire_error_kind::Connect:
      return "connect";
    case wire_error_kind::Write:
      return "write";
    case wire_error_kind::Read:
      return "read";
    case wire_error_kind::Timeout:
      return "timeout";
    case wire_error_kind::Protocol:
      return "protocol";
    case wire_error_kind::Cancelled:
      break;
  }
  return "cancelled";
}

std::string_view
ToText(body_framing aFraming)
{
  switch (aFraming) {
    case body_framing::Length:
      return "length";
    case body_framing::Chunked:
      return "chunked";
    case body_framing::Close:
      break;
  }
  return "close";
}

void
call_abort::Abort()
{
  mAborted = true;
  if (const auto stream = mStream.lock()) {
    stream->Close();
  }
}

void
call_abort::Attach(std::shared_ptr<byte_stream> aStream)
{
  mStream = aStream;
}

namespace {

// How a request is sent.
struct call_options
{
  endpoint mEndpoint;
  // For connecting, writing the request and reading the head together.
  stream_time mHeadDeadline;
  connection_choice mChoice = connection_choice::Pooled;
  // Null for a call that cannot be aborted.
  call_abort_ptr mAbort;
  // Null if nothing can withdraw the call while it connects.
  send_check mMaySend;
};

} // namespace

struct http_client::state : std::enable_shared_from_this<state>
{
  state(asio::any_io_executor aExecutor, http_client_settings aSettings)
    : mExecutor(std::move(aExecutor))
    , mSettings(std::move(aSettings))
  {
  }

  // Returns an idle connection that is not known to be closed, or null.
  connection_ptr TakeIdle(const endpoint& aEndpoint);

  // Adds a connection whose last response was read completely. Closes it if the
  // endpoint has enough idle connections.
  void AddIdle(const endpoint& aEndpoint, connection_ptr aConnection);

  asio::awaitable<wire_result<connection_ptr>> Connect(endpoint aEndpoint,
                                                       stream_time aDeadline);

  // Sends a request and reads the head of its response.
  asio::awaitable<wire_result<http_stream_ptr>> Send(call_options aOptions,
                                                     http_request aRequest);

  // Returns aError after closing connections that it tells to be stale.
  wire_error CallFailed(const call_options& aOptions, wire_error aError);

  asio::any_io_executor mExecutor;
  http_client_settings mSettings;
  // The most recently used connection is last.
  std::map<endpoint, std::vector<connection_ptr>> mIdle;
};

connection_ptr
http_client::state::TakeIdle(const endpoint& aEndpoint)
{
  auto& idle = mIdle[aEndpoint];
  const auto now = steady_clock::now();
  std::erase_if(idle, [&](const connection_ptr& aConnection) {
    return now - aConnection->mIdleSince >= aConnection->mIdleLimit;
  });
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    // Unread bytes must not be taken for the response to a later request.
    if (connection->mStream->LooksIdle()) {
      connection->mReused = true;
      return connection;
    }
  }
  return nullptr;
}

void
http_client::state::AddIdle(const endpoint& aEndpoint,
                            connection_ptr aConnection)
{
  auto& idle = mIdle[aEndpoint];
  if (idle.size() >= mSettings.mMaxIdlePerEndpoint) {
    return;
  }
  aConnection->mIdleSince = steady_clock::now();
  idle.push_back(std::move(aConnection));
}

asio::awaitable<wire_result<connection_ptr>>
http_client::state::Connect(endpoint aEndpoint, stream_time aDeadline)
{
  const auto timeout =
    std::min(mSettings.mConnectTimeout, RemainingUntil(aDeadline));
  auto connected =
    co_await ConnectStream(mExecutor, aEndpoint, mSettings.mTls, timeout);
  if (!connected) {
    co_return ToWireError(
      wire_error_kind::Connect, kNothingWritten, connected.error());
  }
  auto connection = std::make_unique<pooled_connection>();
  connection->mStream = std::move(connected).value();
  co_return wire_result<connection_ptr>(std::move(connection));
}

wire_error
http_client::state::CallFailed(const call_options& aOptions, wire_error aError)
{
  if (aError.mStaleConnection) {
    // The server has probably closed the other ones too.
    mIdle.erase(aOptions.mEndpoint);
  }
  return aError;
}

asio::awaitable<wire_result<http_stream_ptr>>
http_client::state::Send(call_options aOptions, http_request aRequest)
{
  const auto self = shared_from_this();
  auto connection = aOptions.mChoice == connection_choice::Pooled
                      ? TakeIdle(aOptions.mEndpoint)
                      : nullptr;
  if (!connection) {
    auto connected =
      co_await Connect(aOptions.mEndpoint, aOptions.mHeadDeadline);
    if (!connected) {
      co_return connected.error();
    }
    connection = std::move(connected).value();
  }
  const auto& abort = aOptions.mAbort;
  if (abort) {
    abort->Attach(connection->mStream);
    if (abort->Aborted()) {
      co_return wire_error{ wire_error_kind::Cancelled, kNothingWritten, {} };
    }
  }
  if (aOptions.mMaySend && !aOptions.mMaySend(aRequest)) {
    co_return wire_error{ wire_error_kind::Cancelled, kNothingWritten, {} };
  }
  const bool reused = connection->mReused;
  const bool hasBody = aRequest.mMethod != "HEAD";
  const auto bytes = ToBytes(aOptions.mEndpoint, std::move(aRequest));
  const auto writeError = co_await connection->mStream->Write(
    bytes, RemainingUntil(aOptions.mHeadDeadline));
  if (writeError) {
    const auto kind = abort && abort->Aborted() ? wire_error_kind::Cancelled
                                                : wire_error_kind::Write;
    auto error = ToWireError(kind, kBytesWritten, writeError);
    error.mStaleConnection = reused && error.mKind == wire_error_kind::Write;
    co_return CallFailed(aOptions, std::move(error));
  }
  const auto returnToPool =
    [self, target = aOptions.mEndpoint](connection_ptr aConnection) {
      self->AddIdle(target, std::move(aConnection));
    };
  auto reader = std::make_unique<response_reader>(
    std::move(connection), returnToPool, abort, mSettings, hasBody);
  const auto head = co_await reader->ReadHead(aOptions.mHeadDeadline);
  if (!head) {
    co_return CallFailed(aOptions, head.error());
  }
  co_return http_stream_ptr(std::move(reader));
}

http_client::http_client(asio::any_io_executor aExecutor,
                         http_client_settings aSettings)
  : mState(std::make_shared<state>(std::move(aExecutor), std::move(aSettings)))
{
}

http_client::~http_client() = default;

asio::awaitable<wire_result<http_stream_ptr>>
http_client::Open(endpoint aEndpoint,
                  http_request aRequest,
                  milliseconds aHeadTimeout,
                  connection_choice aChoice,
                  call_abort_ptr aAbort,
                  send_check aMaySend)
{
  call_options options{ std::move(aEndpoint),
                        steady_clock::now() + aHeadTimeout,
                        aChoice,
                        std::move(aAbort),
                        std::move(aMaySend) };
  return mState->Send(std::move(options), std::move(aRequest));
}

asio::awaitable<wire_result<http_response>>
http_client::Fetch(endpoint aEndpoint,
                   http_request aRequest,
                   milliseconds aTimeout,
                   connection_choice aChoice)
{
  const auto end = steady_clock::now() + aTimeout;
  auto opened =
    co_await Open(std::move(aEndpoint), std::move(aRequest), aTimeout, aChoice);
  if (!opened) {
    co_return opened.error();
  }
  const auto stream = std::move(opened).value();
  auto response = stream->Head();
  while (true) {
    auto piece = co_await stream->Read(RemainingUntil(end));
    if (!piece) {
      co_return piece.error();
    }
    if (piece.value().empty()) {
      break;
    }
    response.mBody += piece.value();
  }
  co_return response;
}

void
http_client::DropIdle(const endpoint& aEndpoint)
{
  mState->mIdle.erase(aEndpoint);
}

} // namespace sapphirespar::wire
