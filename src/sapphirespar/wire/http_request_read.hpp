// Reading of one request from a caller, within its limits. Internal to wire.
#pragma once

#include "http_codec.hpp"

#include "sapphirespar/wire/http_server.hpp"

namespace sapphirespar::wire {

using request_parser = http::request_parser<http::string_body>;

// How reading a request ended. Without a first byte there is nobody to answer.
struct request_read
{
  boost::system::error_code mError;
  bool mBegun = false;
};

asio::awaitable<request_read> ReadRequest(byte_stream& aStream,
                                          beast::flat_buffer& aBuffer,
                                          request_parser& aParser,
                                          const http_limits& aLimits);

// The status that tells a caller why its request could not be read.
unsigned StatusOfReadError(const boost::system::error_code& aError);

// Reads on for a while: closing a connection that holds unread bytes resets
// it, and the caller may then lose the response.
asio::awaitable<void> DiscardRest(byte_stream& aStream);

} // namespace sapphirespar::wire
