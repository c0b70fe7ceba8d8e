// The HTTP client: pooled connections, whole responses and streamed ones.
#include "sapphirespar/wire/http_client.hpp"

#include "http_codec.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace sapphirespar::wire {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

using response_parser = http::response_parser<http::string_body>;

// A connected stream with its read buffer.
struct connection
{
  std::shared_ptr<byte_stream> mStream;
  beast::flat_buffer mBuffer;
  steady_clock::time_point mIdleSince{};
};

using connection_ptr = std::unique_ptr<connection>;

constexpr bool kNothingWritten = false;
constexpr bool kBytesWritten = true;

wire_error
ToWireError(wire_error_kind aKind, bool aBytesWritten, const error_code& aError)
{
  auto kind = aKind;
  if (IsTimeout(aError)) {
    kind = wire_error_kind::Timeout;
  } else if (IsParseError(aError)) {
    kind = wire_error_kind::Protocol;
  }
  return { kind, aBytesWritten, aError.message() };
}

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
    message.set(header.mName, header.mValue);
  }
  message.body() = std::move(aRequest.mBody);
  message.prepare_payload();
  return Serialize(message);
}

http_response
ToHead(const http::response_header<>& aMessage)
{
  http_response head;
  head.mStatus = aMessage.result_int();
  std::ranges::transform(
    aMessage, std::back_inserter(head.mHeaders), [](const auto& aField) {
      return http_header{ std::string(aField.name_string()),
                          std::string(aField.value()) };
    });
  return head;
}

milliseconds
Until(steady_clock::time_point aEnd)
{
  const auto left = aEnd - steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
    std::max(left, steady_clock::duration::zero()));
}

// The response to one request, holding its connection until its end.
class response_reader : public http_stream
{
public:
  using keep_connection = std::function<void(connection_ptr)>;

  response_reader(connection_ptr aConnection,
                  keep_connection aKeep,
                  call_abort_ptr aAbort,
                  std::uint64_t aBodyLimit)
    : mConnection(std::move(aConnection))
    , mKeep(std::move(aKeep))
    , mAbort(std::move(aAbort))
  {
    mParser.body_limit(aBodyLimit);
    mParser.eager(true);
  }

  const http_response& Head() const override { return mHead; }

  asio::awaitable<error_code> ReadHead(milliseconds aTimeout)
  {
    error_code error;
    while (!error && !mParser.is_header_done()) {
      error = co_await ReadMore(
        *mConnection->mStream, mConnection->mBuffer, mParser, aTimeout);
    }
    if (!error) {
      mHead = ToHead(mParser.get());
    }
    co_return error;
  }

  asio::awaitable<wire_result<std::string>> Read(milliseconds aTimeout) override
  {
    while (mParser.get().body().empty() && !mParser.is_done()) {
      if (!mConnection) {
        co_return wire_error{ wire_error_kind::Read, kBytesWritten, "closed" };
      }
      const auto error = co_await ReadMore(
        *mConnection->mStream, mConnection->mBuffer, mParser, aTimeout);
      if (error) {
        mConnection.reset();
        co_return ReadError(error);
      }
    }
    auto piece = std::exchange(mParser.get().body(), std::string{});
    if (piece.empty()) {
      GiveBack();
    }
    co_return piece;
  }

  wire_error ReadError(const error_code& aError) const
  {
    const auto kind = mAbort && mAbort->Aborted() ? wire_error_kind::Cancelled
                                                  : wire_error_kind::Read;
    return ToWireError(kind, kBytesWritten, aError);
  }

private:
  // Returns the connection to the pool if it can carry another request.
  void GiveBack()
  {
    if (mAbort) {
      mAbort->Attach(nullptr);
    }
    if (mConnection && mParser.get().keep_alive() &&
        mConnection->mBuffer.size() == 0) {
      mKeep(std::move(mConnection));
    }
    mConnection.reset();
  }

  connection_ptr mConnection;
  keep_connection mKeep;
  // Null for a call that nobody else may end.
  call_abort_ptr mAbort;
  response_parser mParser;
  http_response mHead;
};

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

struct http_client::state
{
  state(asio::any_io_executor aExecutor, http_client_settings aSettings)
    : mExecutor(std::move(aExecutor))
    , mSettings(std::move(aSettings))
  {
  }

  // Returns an idle connection that still looks open, or null.
  connection_ptr TakeIdle(const endpoint& aEndpoint);

  // Keeps a connection whose last response was read to its end.
  void Keep(const endpoint& aEndpoint, connection_ptr aConnection);

  asio::any_io_executor mExecutor;
  http_client_settings mSettings;
  // The most recently used connection is last.
  std::map<endpoint, std::vector<connection_ptr>> mIdle;
};

connection_ptr
http_client::state::TakeIdle(const endpoint& aEndpoint)
{
  auto& idle = mIdle[aEndpoint];
  const auto oldest = steady_clock::now() - mSettings.mIdleLimit;
  std::erase_if(idle, [&](const connection_ptr& aConnection) {
    return aConnection->mIdleSince < oldest;
  });
  while (!idle.empty()) {
    auto line = std::move(idle.back());
    idle.pop_back();
    if (!line->mStream->LooksClosed()) {
      return line;
    }
  }
  return nullptr;
}

void
http_client::state::Keep(const endpoint& aEndpoint, connection_ptr aConnection)
{
  auto& idle = mIdle[aEndpoint];
  if (idle.size() >= mSettings.mIdlePerEndpoint) {
    return;
  }
  aConnection->mIdleSince = steady_clock::now();
  idle.push_back(std::move(aConnection));
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
                  call_abort_ptr aAbort)
{
  const auto state = mState;
  const auto& settings = state->mSettings;
  connection_ptr line =
    aChoice == connection_choice::Pooled ? state->TakeIdle(aEndpoint) : nullptr;
  if (!line) {
    auto connected = co_await ConnectStream(
      state->mExecutor, aEndpoint, settings.mTls, settings.mConnectTimeout);
    if (!connected) {
      co_return ToWireError(
        wire_error_kind::Connect, kNothingWritten, connected.error());
    }
    line = std::make_unique<connection>();
    line->mStream = std::move(connected).value();
  }
  if (aAbort) {
    aAbort->Attach(line->mStream);
    if (aAbort->Aborted()) {
      co_return wire_error{ wire_error_kind::Cancelled, kNothingWritten, {} };
    }
  }
  const auto bytes = ToBytes(aEndpoint, std::move(aRequest));
  const auto writeError = co_await line->mStream->Write(bytes, aHeadTimeout);
  if (writeError) {
    co_return ToWireError(wire_error_kind::Write, kBytesWritten, writeError);
  }
  const auto keep = [state, aEndpoint](connection_ptr aConnection) {
    state->Keep(aEndpoint, std::move(aConnection));
  };
  auto reader = std::make_unique<response_reader>(
    std::move(line), keep, aAbort, settings.mBodyLimitBytes);
  const auto headError = co_await reader->ReadHead(aHeadTimeout);
  if (headError) {
    co_return reader->ReadError(headError);
  }
  co_return http_stream_ptr(std::move(reader));
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
    auto piece = co_await stream->Read(Until(end));
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
