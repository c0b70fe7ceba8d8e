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

} // namespace

unsigned
StatusOfReadError(const boost::system::error_code& aError)
{
  constexpr unsigned kBadRequest = 400;
  constexpr unsigned kTimeout = 408;
  constexpr unsigned kTooLarge = 413;
  constexpr unsigned kHeadersTooLarge = 431;
  if (aError == http::error::body_limit) {
    return kTooLarge;
  }
  if (aError == http::error::header_limit) {
    return kHeadersTooLarge;
  }
  if (IsTimeout(aError)) {
    return kTimeout;
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
            const http_limits& aLimits)
{
  using std::chrono::steady_clock;
  request_read_result read;
  aParser.eager(true);
  if (aBuffer.size() == 0) {
    constexpr std::size_t kReadBytes = 8 * 1024;
    const auto first = co_await aStream.ReadSome(
      aBuffer.prepare(kReadBytes), steady_clock::now() + aLimits.mIdleTimeout);
    aBuffer.commit(first.mBytes);
    if (first.mError) {
      read.mError = first.mError;
      co_return read;
    }
  }
  read.mReceivedBytes = true;
  const auto headerDeadline = steady_clock::now() + aLimits.mHeaderTimeout;
  read.mError = Feed(aBuffer, aParser);
  while (!read.mError && !aParser.is_header_done()) {
    const auto more =
      co_await ReadMore(aStream, aBuffer, aParser, headerDeadline);
    read.mError = more.mError;
  }
  if (!read.mError && !aParser.is_done()) {
    read.mError = co_await ContinueIfExpected(aStream, aParser);
  }
  const auto bodyDeadline = steady_clock::now() + aLimits.mBodyTimeout;
  while (!read.mError && !aParser.is_done()) {
    const auto idleDeadline = steady_clock::now() + aLimits.mIdleTimeout;
    const auto more = co_await ReadMore(
      aStream, aBuffer, aParser, std::min(idleDeadline, bodyDeadline));
    read.mError = more.mError;
    // The parser leaves an incomplete line of a chunk or trailer in the buffer.
    if (!read.mError && !aParser.is_done() &&
        aBuffer.size() > aLimits.mHeaderBytes) {
      read.mError = http::error::header_limit;
    }
  }
  co_return read;
}

} // namespace sapphirespar::wire
