// Reads requests: applies the idle and header timeouts, answers "Expect:
// 100-continue", and discards unread input after an error response.
#include "http_request_read.hpp"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace sapphirespar::wire {

using boost::system::error_code;

namespace {

// Sends "100 Continue" to a caller that waits for it before it sends the body.
asio::awaitable<error_code>
ContinueIfExpected(byte_stream& aStream, const request_parser& aParser)
{
  constexpr std::chrono::seconds kWriteTimeout{ 5 };
  if (!beast::iequals(aParser.get()[http::field::expect], "100-continue")) {
    co_return error_code{};
  }
  co_return co_await aStream.Write("HTTP/1.1 100 Continue\r\n\r\n",
                                   kWriteTimeout);
}

// Checks what has arrived of a head for what the parser lets pass, although
// other servers may see other fields there: folded lines, line feeds without
// carriage return, NUL.
error_code
CheckHeadBytes(const beast::flat_buffer& aBuffer)
{
  const auto data = aBuffer.data();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  const auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
  if (head.find('\0') != std::string_view::npos) {
    return http::error::bad_value;
  }
  for (auto at = head.find('\n'); at != std::string_view::npos;
       at = head.find('\n', at + 1)) {
    if (at == 0 || head[at - 1] != '\r') {
      return http::error::bad_line_ending;
    }
    if (at + 1 < head.size() && (head[at + 1] == ' ' || head[at + 1] == '\t')) {
      return http::error::bad_obs_fold;
    }
  }
  return {};
}

// Refuses a head from which the length of the body is not plain, see RFC 9112,
// section 6.3. Transfer codings other than "chunked" are not supported.
error_code
CheckBodyLength(const http::request_header<>& aHead)
{
  const auto lengths = aHead.count(http::field::content_length);
  const auto codings = aHead.count(http::field::transfer_encoding);
  const std::string_view length = aHead[http::field::content_length];
  if (lengths > 1 ||
      length.find_first_not_of("0123456789") != std::string_view::npos) {
    return http::error::bad_content_length;
  }
  if (codings == 0) {
    return {};
  }
  const bool chunked =
    codings == 1 &&
    beast::iequals(aHead[http::field::transfer_encoding], "chunked");
  return chunked && lengths == 0 && aHead.version() >= kHttpVersion
           ? error_code{}
           : http::error::bad_transfer_encoding;
}

// Feeds a parser that has not got the whole head yet.
error_code
FeedHead(beast::flat_buffer& aBuffer, request_parser& aParser)
{
  auto error = CheckHeadBytes(aBuffer);
  if (!error) {
    error = Feed(aBuffer, aParser);
  }
  if (!error && aParser.is_header_done()) {
    error = CheckBodyLength(aParser.get());
  }
  return error;
}

// Claims memory for the whole body, or for what has arrived of it if its length
// isn't known. Bodies that grew side by side would leave no room for any.
error_code
ClaimBody(const request_parser& aParser, memory_claim* aBody)
{
  const auto length = aParser.content_length().value_or(0);
  const auto bytes = std::max<std::size_t>(length, aParser.get().body().size());
  return aBody == nullptr || aBody->Resize(bytes) ? error_code{}
                                                  : asio::error::no_memory;
}

} // namespace

bool
IsOutOfMemory(const error_code& aError)
{
  return aError == asio::error::no_memory;
}

unsigned
StatusOfReadError(const boost::system::error_code& aError)
{
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kTimeout = 408;
  constexpr unsigned kTooLarge = 413;
  constexpr unsigned kHeadersTooLarge = 431;
  constexpr unsigned kUnavailable = 503;
  if (aError == http::error::body_limit) {
    return kTooLarge;
  }
  if (aError == http::error::header_limit) {
    return kHeadersTooLarge;
  }
  if (IsTimeout(aError)) {
    return kTimeout;
  }
  if (IsOutOfMemory(aError)) {
    return kUnavailable;
  }
  return kBadRequest;
}

asio::awaitable<void>
DiscardUnreadInput(byte_stream& aStream)
{
  constexpr std::chrono::milliseconds kTimeout{ 2000 };
  constexpr unsigned kMaxReads = 256;
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  std::array<char, 16 * 1024> bytes{};
  for (unsigned reads = 0; reads < kMaxReads; ++reads) {
    const auto read = co_await aStream.ReadSome(asio::buffer(bytes), deadline);
    if (read.mError) {
      co_return;
    }
  }
}

asio::awaitable<request_read_result>
ReadRequest(byte_stream& aStream,
            beast::flat_buffer& aBuffer,
            request_parser& aParser,
            const std::function<http_limits()>& aLimits,
            const std::function<void()>& aOnBegin,
            memory_claim* aBody)
{
  using std::chrono::steady_clock;
  request_read_result read;
  aParser.eager(true);
  if (aBuffer.size() == 0) {
    constexpr std::size_t kReadBytes = 8 * 1024;
    const auto first =
      co_await aStream.ReadSome(aBuffer.prepare(kReadBytes),
                                steady_clock::now() + aLimits().mIdleTimeout);
    aBuffer.commit(first.mBytes);
    if (first.mError) {
      read.mError = first.mError;
      co_return read;
    }
  }
  read.mReceivedBytes = true;
  aOnBegin();
  const auto limits = aLimits();
  aParser.header_limit(static_cast<std::uint32_t>(limits.mHeaderBytes));
  aParser.body_limit(limits.mBodyBytes);
  const auto headerDeadline = steady_clock::now() + limits.mHeaderTimeout;
  read.mError = FeedHead(aBuffer, aParser);
  while (!read.mError && !aParser.is_header_done()) {
    constexpr std::size_t kReadBytes = 8 * 1024;
    const auto more =
      co_await aStream.ReadSome(aBuffer.prepare(kReadBytes), headerDeadline);
    aBuffer.commit(more.mBytes);
    read.mError = more.mError;
    if (!read.mError) {
      read.mError = FeedHead(aBuffer, aParser);
    } else if (read.mError == asio::error::eof && aParser.got_some()) {
      read.mError = {};
      aParser.put_eof(read.mError);
    }
  }
  if (!read.mError) {
    read.mError = ClaimBody(aParser, aBody);
  }
  if (!read.mError && !aParser.is_done()) {
    read.mError = co_await ContinueIfExpected(aStream, aParser);
  }
  const auto bodyDeadline = steady_clock::now() + limits.mBodyTimeout;
  while (!read.mError && !aParser.is_done()) {
    const auto idleDeadline = steady_clock::now() + limits.mIdleTimeout;
    const auto more = co_await ReadMore(
      aStream, aBuffer, aParser, std::min(idleDeadline, bodyDeadline));
    read.mError = more.mError ? more.mError : ClaimBody(aParser, aBody);
    // The parser leaves an incomplete line of a chunk or trailer in the buffer.
    if (!read.mError && !aParser.is_done() &&
        aBuffer.size() > limits.mHeaderBytes) {
      read.mError = http::error::header_limit;
    }
  }
  co_return read;
}

} // namespace sapphirespar::wire
