// Reads the response to one request within the limits of the client's settings.
// Internal to the wire module.
#pragma once

#include "http_codec.hpp"

#include "sapphirespar/wire/http_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace sapphirespar::wire {

// A connected stream with its read buffer.
struct pooled_connection
{
  std::shared_ptr<byte_stream> mStream;
  beast::flat_buffer mBuffer;
  stream_time mIdleSince{};
  // Longest idle time after which the connection may be reused.
  std::chrono::milliseconds mIdleLimit{ 0 };
  bool mReused = false;
};

using connection_ptr = std::unique_ptr<pooled_connection>;

// Returns the error of a call. aKind is used unless aError tells more, such as
// an expired timeout.
wire_error ToWireError(wire_error_kind aKind,
                       bool aBytesWritten,
                       const boost::system::error_code& aError);

// The response to one request. Owns the connection until the response ends.
class response_reader : public http_stream
{
public:
  using return_to_pool = std::function<void(connection_ptr)>;

  response_reader(connection_ptr aConnection,
                  return_to_pool aReturnToPool,
                  call_abort_ptr aAbort,
                  const http_client_settings& aSettings,
                  bool aHasBody);

  const http_response& Head() const override { return mHead; }
  body_framing Framing() const override;
  bool Reused() const override { return mReused; }
  bool Finished() const override
  {
    return mParser->is_done() && mParser->get().body().empty();
  }

  // Reads the head and the interim heads before it.
  asio::awaitable<wire_result<bool>> ReadHead(stream_time aDeadline);

  asio::awaitable<wire_result<std::string>> Read(
    std::chrono::milliseconds aTimeout) override;
  asio::awaitable<wire_result<bool>> Discard(
    std::chrono::milliseconds aTimeout) override;
  asio::awaitable<wire_result<bool>> SkipResponse(
    std::chrono::milliseconds aTimeout) override;

private:
  // A part of the response that is read as a whole.
  struct part
  {
    std::string_view mName;
    // Limit of the bytes on the connection.
    std::size_t mLimitBytes = 0;
    stream_time mBegin{};
    std::size_t mBytes = 0;
  };

  void BeginPart(std::string_view aName, std::size_t aLimitBytes);

  // Reads once into the parser.
  asio::awaitable<boost::system::error_code> ReadMore(stream_time aDeadline);

  // Reads the rest of the body and drops it.
  asio::awaitable<boost::system::error_code> DropBody(stream_time aDeadline);

  // Closes the connection and returns the error of the part.
  wire_error Fail(const boost::system::error_code& aError);

  void ResetParser();

  // Returns the connection to the pool if it can carry another request, and
  // closes it otherwise.
  void ReleaseConnection();

  // Null once the response has been read completely or has failed.
  connection_ptr mConnection;
  return_to_pool mReturnToPool;
  // Null for a call that cannot be aborted.
  call_abort_ptr mAbort;
  std::chrono::milliseconds mIdleLimit;
  std::uint64_t mBodyLimit;
  std::size_t mHeadLimit;
  // How much of bodies may still be dropped on this connection.
  std::size_t mDiscardLeft;
  bool mHasBody;
  bool mReused;
  bool mMayReuse = true;
  // Whether any byte of a response has arrived.
  bool mAnyByte = false;
  part mPart;
  // Parses the current response; never empty.
  std::optional<http::response_parser<http::string_body>> mParser;
  http_response mHead;
};

} // namespace sapphirespar::wire
