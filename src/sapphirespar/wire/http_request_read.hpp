// Reads one request from a caller within the limits. Internal to the wire
// module.
#pragma once

#include "http_codec.hpp"

#include "sapphirespar/base/memory_budget.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <functional>

namespace sapphirespar::wire {

using request_parser = http::request_parser<http::string_body>;

// The result of reading a request.
struct request_read_result
{
  boost::system::error_code mError;
  // If false, the caller sent nothing, so that an error needs no response.
  bool mReceivedBytes = false;
};

// Whether the request was given up because its body has no room in the memory
// for bodies.
bool IsOutOfMemory(const boost::system::error_code& aError);

// aLimits returns the limits that hold now. They are asked for again when a
// request begins, as they may change while a connection is idle. aOnBegin is
// called once the first byte of the request has arrived. aBody claims the
// memory that the body takes; null if there is no common limit.
asio::awaitable<request_read_result> ReadRequest(
  byte_stream& aStream,
  beast::flat_buffer& aBuffer,
  request_parser& aParser,
  const std::function<http_limits()>& aLimits,
  const std::function<void()>& aOnBegin,
  memory_claim* aBody);

// Returns the HTTP status for a request that could not be read.
unsigned StatusOfReadError(const boost::system::error_code& aError);

// Reads and discards input for a limited time. Closing a connection that holds
// unread bytes would reset it, and the caller might then lose the response.
asio::awaitable<void> DiscardUnreadInput(byte_stream& aStream);

} // namespace sapphirespar::wire
