// Reads the heads and the body of a response, each with one deadline and one
// limit of bytes.
#include "http_response_reader.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace sapphirespar::wire {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr bool kBytesWritten = true;

bool
IsInterim(unsigned aStatus)
{
  return aStatus < 200;
}

// Whether a head may begin an answer to a request that asks for no upgrade. An
// interim head has no body.
bool
IsValidHead(const http::response_header<>& aHead)
{
  constexpr unsigned kSwitchingProtocols = 101;
  constexpr unsigned kFirstStatus = 100;
  constexpr unsigned kLastStatus = 599;
  const auto status = aHead.result_int();
  const bool hasBody = aHead.count(http::field::content_length) > 0 ||
                       aHead.count(http::field::transfer_encoding) > 0;
  return status >= kFirstStatus && status <= kLastStatus &&
         status != kSwitchingProtocols && !(IsInterim(status) && hasBody);
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

} // namespace

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

response_reader::response_reader(connection_ptr aConnection,
                                 return_to_pool aReturnToPool,
                                 call_abort_ptr aAbort,
                                 const http_client_settings& aSettings,
                                 bool aHasBody)
  : mConnection(std::move(aConnection))
  , mReturnToPool(std::move(aReturnToPool))
  , mAbort(std::move(aAbort))
  , mIdleLimit(aSettings.mIdleLimit)
  , mBodyLimit(aSettings.mBodyLimitBytes)
  , mHeadLimit(aSettings.mHeadLimitBytes)
  , mDiscardLeft(aSettings.mDiscardLimitBytes)
  , mHasBody(aHasBody)
  , mReused(mConnection->mReused)
{
  ResetParser();
}

body_framing
response_reader::Framing() const
{
  if (mParser->chunked()) {
    return body_framing::Chunked;
  }
  return mParser->need_eof() ? body_framing::Close : body_framing::Length;
}

asio::awaitable<wire_result<bool>>
response_reader::ReadHead(stream_time aDeadline)
{
  BeginPart("head", mHeadLimit);
  error_code error;
  bool interim = true;
  while (!error && interim) {
    error = Feed(mConnection->mBuffer, *mParser);
    while (!error && !mParser->is_header_done()) {
      error = co_await ReadMore(aDeadline);
      if (!error && !mParser->is_header_done() &&
          mPart.mBytes > mPart.mLimitBytes) {
        error = http::error::header_limit;
      }
    }
    if (!error && !IsValidHead(mParser->get())) {
      error = http::error::bad_status;
    }
    interim = !error && IsInterim(mParser->get().result_int());
    if (interim) {
      ResetParser();
    }
  }
  if (error) {
    co_return Fail(error);
  }
  mHead = ToHead(mParser->get());
  BeginPart("body", std::numeric_limits<std::size_t>::max());
  co_return true;
}

asio::awaitable<wire_result<std::string>>
response_reader::Read(milliseconds aTimeout)
{
  const auto deadline = steady_clock::now() + aTimeout;
  while (mParser->get().body().empty() && !mParser->is_done()) {
    if (!mConnection) {
      co_return wire_error{ wire_error_kind::Read, kBytesWritten, "closed" };
    }
    const auto error = co_await ReadMore(deadline);
    if (error) {
      co_return Fail(error);
    }
  }
  auto piece = std::exchange(mParser->get().body(), std::string{});
  if (mParser->is_done()) {
    ReleaseConnection();
  }
  co_return piece;
}

asio::awaitable<wire_result<bool>>
response_reader::Discard(milliseconds aTimeout)
{
  BeginPart("dropped body", mDiscardLeft);
  const auto error = co_await DropBody(steady_clock::now() + aTimeout);
  if (error) {
    co_return Fail(error);
  }
  ReleaseConnection();
  co_return true;
}

asio::awaitable<wire_result<bool>>
response_reader::SkipResponse(milliseconds aTimeout)
{
  const auto deadline = steady_clock::now() + aTimeout;
  BeginPart("skipped answer", mDiscardLeft);
  auto error = co_await DropBody(deadline);
  if (!error && !mParser->keep_alive()) {
    error = asio::error::eof;
  }
  if (error) {
    co_return Fail(error);
  }
  mDiscardLeft -= std::min(mDiscardLeft, mPart.mBytes);
  ResetParser();
  // A server that has sent a stale response may send another one.
  mMayReuse = false;
  co_return co_await ReadHead(deadline);
}

void
response_reader::BeginPart(std::string_view aName, std::size_t aLimitBytes)
{
  mPart = { aName, aLimitBytes, steady_clock::now(), 0 };
  mPart.mBytes = mConnection ? mConnection->mBuffer.size() : 0;
}

asio::awaitable<error_code>
response_reader::ReadMore(stream_time aDeadline)
{
  auto& buffer = mConnection->mBuffer;
  const auto read =
    co_await wire::ReadMore(*mConnection->mStream, buffer, *mParser, aDeadline);
  mPart.mBytes += read.mBytes;
  mAnyByte = mAnyByte || read.mBytes > 0;
  // The parser leaves an incomplete line of a chunk or trailer in the buffer.
  if (!read.mError && buffer.size() > mHeadLimit) {
    co_return http::error::header_limit;
  }
  co_return read.mError;
}

asio::awaitable<error_code>
response_reader::DropBody(stream_time aDeadline)
{
  error_code error;
  mParser->get().body().clear();
  while (!error && !mParser->is_done()) {
    if (!mConnection) {
      co_return asio::error::not_connected;
    }
    error = co_await ReadMore(aDeadline);
    mParser->get().body().clear();
    if (!error && !mParser->is_done() && mPart.mBytes > mPart.mLimitBytes) {
      error = http::error::body_limit;
    }
  }
  co_return error;
}

wire_error
response_reader::Fail(const error_code& aError)
{
  const bool aborted = mAbort && mAbort->Aborted();
  const auto kind =
    aborted ? wire_error_kind::Cancelled : wire_error_kind::Read;
  auto error = ToWireError(kind, kBytesWritten, aError);
  const auto took = std::chrono::duration_cast<milliseconds>(
    steady_clock::now() - mPart.mBegin);
  error.mDetail = std::string(mPart.mName) + ": " + error.mDetail + " after " +
                  std::to_string(mPart.mBytes) + " bytes and " +
                  std::to_string(took.count()) + " ms";
  error.mReceivedBytes = mPart.mBytes;
  error.mStaleConnection =
    mReused && !mAnyByte && error.mKind == wire_error_kind::Read;
  mConnection.reset();
  return error;
}

void
response_reader::ResetParser()
{
  mParser.emplace();
  mParser->header_limit(static_cast<std::uint32_t>(mHeadLimit));
  mParser->body_limit(mBodyLimit);
  mParser->eager(true);
  mParser->skip(!mHasBody);
}

void
response_reader::ReleaseConnection()
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

} // namespace sapphirespar::wire
