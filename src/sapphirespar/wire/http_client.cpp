// The HTTP client: pooled connections, complete and streamed responses.
#include "sapphirespar/wire/http_client.hpp"

#include "http_codec.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace sapphirespar::wire {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

using response_parser = http::response_parser<http::string_body>;

// A connected stream with its read buffer.
struct pooled_connection
{
  std::shared_ptr<byte_stream> mStream;
  beast::flat_buffer mBuffer;
  steady_clock::time_point mIdleSince{};
  // Longest idle time after which the connection may be reused.
  milliseconds mIdleLimit{ 0 };
  bool mReused = false;
};

using connection_ptr = std::unique_ptr<pooled_connection>;

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

// Returns how long an idle connection may be reused: at most aLongest, and less
// than the timeout that the server announces in Keep-Alive. The margin keeps a
// new request from crossing the server's close.
milliseconds
IdleLimitOf(const http_response& aHead, milliseconds aLongest)
{
  constexpr std::string_view kName = "timeout=";
  constexpr milliseconds kMargin{ 300 };
  const auto value = aHead.Header("Keep-Alive");
  const auto start = value.find(kName);
  if (start == std::string_view::npos) {
    return aLongest;
  }
  const auto digits = value.substr(start + kName.size());
  unsigned seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const milliseconds limit = std::chrono::seconds(seconds) - kMargin;
  return std::clamp(limit, milliseconds::zero(), aLongest);
}

milliseconds
RemainingUntil(steady_clock::time_point aEnd)
{
  const auto left = aEnd - steady_clock::now();
  return std::chrono::duration_cast<milliseconds>(
    std::max(left, steady_clock::duration::zero()));
}

// The response to one request. Owns the connection until the response ends.
class response_reader : public http_stream
{
public:
  using return_to_pool = std::function<void(connection_ptr)>;

  response_reader(connection_ptr aConnection,
                  return_to_pool aReturnToPool,
                  call_abort_ptr aAbort,
                  const http_client_settings& aSettings,
                  bool aHasBody)
    : mConnection(std::move(aConnection))
    , mReturnToPool(std::move(aReturnToPool))
    , mAbort(std::move(aAbort))
    , mIdleLimit(aSettings.mIdleLimit)
    , mBodyLimit(aSettings.mBodyLimitBytes)
    , mHasBody(aHasBody)
    , mReused(mConnection->mReused)
  {
    ResetParser();
  }

  const http_response& Head() const override { return mHead; }
  body_framing Framing() const override
  {
    if (mParser->chunked()) {
      return body_framing::Chunked;
    }
    return mParser->need_eof() ? body_framing::Close : body_framing::Length;
  }
  bool Reused() const override { return mReused; }
  bool Finished() const override
  {
    return mParser->is_done() && mParser->get().body().empty();
  }

  asio::awaitable<error_code> ReadHead(milliseconds aTimeout)
  {
    error_code error;
    bool interim = true;
    while (!error && interim) {
      error = Feed(mConnection->mBuffer, *mParser);
      while (!error && !mParser->is_header_done()) {
        error = co_await ReadMore(
          *mConnection->mStream, mConnection->mBuffer, *mParser, aTimeout);
      }
      interim = !error && IsInterim(mParser->get().result_int());
      if (interim) {
        ResetParser();
      }
    }
    if (!error) {
      mHead = ToHead(mParser->get());
    }
    co_return error;
  }

  asio::awaitable<wire_result<std::string>> Read(milliseconds aTimeout) override
  {
    while (mParser->get().body().empty() && !mParser->is_done()) {
      if (!mConnection) {
        co_return wire_error{ wire_error_kind::Read, kBytesWritten, "closed" };
      }
      const auto error = co_await ReadMore(
        *mConnection->mStream, mConnection->mBuffer, *mParser, aTimeout);
      if (error) {
        mConnection.reset();
        co_return ReadError(error);
      }
    }
    auto piece = std::exchange(mParser->get().body(), std::string{});
    if (mParser->is_done()) {
      ReleaseConnection();
    }
    co_return piece;
  }

  asio::awaitable<wire_result<bool>> SkipResponse(
    milliseconds aTimeout) override
  {
    error_code error;
    while (!error && !mParser->is_done()) {
      mParser->get().body().clear();
      error = co_await ReadMore(
        *mConnection->mStream, mConnection->mBuffer, *mParser, aTimeout);
    }
    if (!error && !mParser->keep_alive()) {
      error = asio::error::eof;
    }
    if (!error) {
      ResetParser();
      // A server that has sent a stale response may send another one.
      mMayReuse = false;
      error = co_await ReadHead(aTimeout);
    }
    if (error) {
      mConnection.reset();
      co_return ReadError(error);
    }
    co_return true;
  }

  wire_error ReadError(const error_code& aError) const
  {
    const auto kind = mAbort && mAbort->Aborted() ? wire_error_kind::Cancelled
                                                  : wire_error_kind::Read;
    return ToWireError(kind, kBytesWritten, aError);
  }

private:
  static bool IsInterim(unsigned aStatus)
  {
    constexpr unsigned kSwitchingProtocols = 101;
    return aStatus < 200 && aStatus != kSwitchingProtocols;
  }

  void ResetParser()
  {
    mParser.emplace();
    mParser->body_limit(mBodyLimit);
    mParser->eager(true);
    mParser->skip(!mHasBody);
  }

  // Returns the connection to the pool if it can carry another request, and
  // closes it otherwise.
  void ReleaseConnection()
  {
    if (mAbort) {
      mAbort->Attach(nullptr);
    }
    if (mConnection && mMayReuse && mParser->keep_alive() &&
        mConnection->mBuffer.size() == 0) {
      mConnection->mIdleLimit = IdleLimitOf(mHead, mIdleLimit);
      mReturnToPool(std::move(mConnection));
    }
    mConnection.reset();
  }

  // Null once the response has been read completely or has failed.
  connection_ptr mConnection;
  return_to_pool mReturnToPool;
  // Null for a call that cannot be aborted.
  call_abort_ptr mAbort;
  milliseconds mIdleLimit;
  std::uint64_t mBodyLimit;
  bool mHasBody;
  bool mReused;
  bool mMayReuse = true;
  // Parses the current response; never empty.
  std::optional<response_parser> mParser;
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

struct http_client::state
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
  const auto state = mState;
  const auto& settings = state->mSettings;
  connection_ptr connection =
    aChoice == connection_choice::Pooled ? state->TakeIdle(aEndpoint) : nullptr;
  if (!connection) {
    auto connected = co_await ConnectStream(
      state->mExecutor, aEndpoint, settings.mTls, settings.mConnectTimeout);
    if (!connected) {
      co_return ToWireError(
        wire_error_kind::Connect, kNothingWritten, connected.error());
    }
    connection = std::make_unique<pooled_connection>();
    connection->mStream = std::move(connected).value();
  }
  if (aAbort) {
    aAbort->Attach(connection->mStream);
    if (aAbort->Aborted()) {
      co_return wire_error{ wire_error_kind::Cancelled, kNothingWritten, {} };
    }
  }
  if (aMaySend && !aMaySend()) {
    co_return wire_error{ wire_error_kind::Cancelled, kNothingWritten, {} };
  }
  const bool hasBody = aRequest.mMethod != "HEAD";
  const auto bytes = ToBytes(aEndpoint, std::move(aRequest));
  const auto writeError =
    co_await connection->mStream->Write(bytes, aHeadTimeout);
  if (writeError) {
    co_return ToWireError(wire_error_kind::Write, kBytesWritten, writeError);
  }
  const auto returnToPool = [state, aEndpoint](connection_ptr aConnection) {
    state->AddIdle(aEndpoint, std::move(aConnection));
  };
  auto reader = std::make_unique<response_reader>(
    std::move(connection), returnToPool, aAbort, settings, hasBody);
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
