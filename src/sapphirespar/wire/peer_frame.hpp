// Frames of a peer connection: a kind byte, three bytes of length and a body.
#pragma once

#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

enum class frame_kind : std::uint8_t
{
  Hello = 1,
  Message = 2,
  Ping = 3,
  Pong = 4,
};

struct frame
{
  frame_kind mKind = frame_kind::Message;
  std::string mBody;
};

inline constexpr std::size_t kFrameHeaderBytes = 4;

// What three bytes of length can say.
inline constexpr std::size_t kLongestFrameBytes = (1U << 24U) - 1;

// Returns a frame as bytes; aBody is at most kLongestFrameBytes long.
std::string FrameBytes(frame_kind aKind, std::string_view aBody);

// Takes frames out of a stream's bytes.
class frame_reader
{
public:
  // aStream outlives the reader.
  frame_reader(byte_stream& aStream, std::size_t aLimitBytes);

  // Returns the next frame, or nothing once the stream is of no more use.
  asio::awaitable<std::optional<frame>> Next(
    std::chrono::milliseconds aTimeout);

private:
  std::size_t BodySize() const;
  asio::awaitable<bool> Fill(std::size_t aBytes,
                             std::chrono::milliseconds aTimeout);

  byte_stream& mStream;
  std::size_t mLimitBytes;
  // What has been read and not yet been taken.
  std::string mBuffer;
};

} // namespace sapphirespar::wire
