// Reads and writes HTTP messages over a byte stream with Beast's parser and
// serializer. Internal to the wire module.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace sapphirespar::wire {

namespace beast = boost::beast;
namespace http = boost::beast::http;

// HTTP/1.1 in Beast's notation.
inline constexpr unsigned kHttpVersion = 11;

// Returns whether the error comes from the message itself rather than from the
// connection.
inline bool
IsParseError(const boost::system::error_code& aError)
{
  return aError.category() ==
           http::make_error_code(http::error::bad_method).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

// Whether more bytes have to arrive before a parser may be fed. A parser that
// was fed a last chunk's "0\r\n", with no chunk before it, asserts that at
// least two more bytes follow when it is fed again.
template<class Parser>
bool
HasToWait(const beast::flat_buffer& aBuffer, const Parser& aParser)
{
  constexpr std::string_view kBegin = "0\r\n";
  const auto data = aBuffer.data();
  const std::string_view bytes(static_cast<const char*>(data.data()),
                               data.size());
  return bytes.size() == kBegin.size() + 1 && bytes.starts_with(kBegin) &&
         aParser.is_header_done() && aParser.chunked();
}

// Passes the bytes of aBuffer to aParser and removes those that it consumed.
// need_more does not count as an error.
template<class Parser>
boost::system::error_code
Feed(beast::flat_buffer& aBuffer, Parser& aParser)
{
  boost::system::error_code error;
  if (aBuffer.size() > 0 && !HasToWait(aBuffer, aParser)) {
    aBuffer.consume(aParser.put(aBuffer.data(), error));
  }
  return error == http::error::need_more ? boost::system::error_code{} : error;
}

// Reads once from aStream into aParser. The end of the stream completes a
// message without an explicit length and is an error for any other.
template<class Parser>
asio::awaitable<read_result>
ReadMore(byte_stream& aStream,
         beast::flat_buffer& aBuffer,
         Parser& aParser,
         stream_time aDeadline)
{
  constexpr std::size_t kReadBytes = 8 * 1024;
  auto read = co_await aStream.ReadSome(aBuffer.prepare(kReadBytes), aDeadline);
  aBuffer.commit(read.mBytes);
  if (read.mError == asio::error::eof && aParser.got_some()) {
    read.mError = {};
    aParser.put_eof(read.mError);
  } else if (!read.mError) {
    read.mError = Feed(aBuffer, aParser);
  }
  co_return read;
}

namespace detail {

template<class Message, class Done>
std::string
SerializeUntil(Message& aMessage, Done aDone)
{
  http::serializer<Message::is_request::value,
                   typename Message::body_type,
                   typename Message::fields_type>
    serializer(aMessage);
  serializer.split(true);
  std::string bytes;
  boost::system::error_code error;
  while (!error && !aDone(serializer)) {
    serializer.next(error, [&](auto&, const auto& aBuffers) {
      for (const auto buffer : beast::buffers_range_ref(aBuffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
      }
      serializer.consume(beast::buffer_bytes(aBuffers));
    });
  }
  return bytes;
}

} // namespace detail

// Returns the complete encoded message.
template<class Message>
std::string
Serialize(Message& aMessage)
{
  return detail::SerializeUntil(
    aMessage, [](auto& aSerializer) { return aSerializer.is_done(); });
}

// Returns the encoded start line and headers of a message.
template<class Message>
std::string
SerializeHead(Message& aMessage)
{
  return detail::SerializeUntil(
    aMessage, [](auto& aSerializer) { return aSerializer.is_header_done(); });
}

} // namespace sapphirespar::wire
