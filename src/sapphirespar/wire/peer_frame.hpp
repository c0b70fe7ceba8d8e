// Frames of a peer connection: one byte for the kind, three bytes for the
// length of the body, most significant first, and the body.
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

// The largest body size that the three length bytes can hold.
inline constexpr std::size_t kMaxFrameBytes = (1U << 24U) - 1;

// Returns an encoded frame. aBody must be at most kMaxFrameBytes long.
std::string EncodeFrame(frame_kind aKind, std::string_view aBody);

// Reads frames from a stream.
class frame_reader
{
public:
  // aStream must outlive the reader. aLimitBytes limits the body of a frame.
  frame_reader(byte_stream& aStream, std::size_t aLimitBytes);

  // Returns the next frame, or nothing if the stream has failed, a frame is too
  // long, or its header or its body takes longer than aTimeout. The stream is
  // then unusable.
  asio::awaitable<std::optional<frame>> Next(
    std::chrono::milliseconds aTimeout);

private:
  // Returns the length of the body from the frame header in mBuffer.
  std::size_t BodySize() const;
  // Reads until mBuffer holds at least aBytes; false if the stream fails or
  // aTimeout has passed.
  asio::awaitable<bool> Fill(std::size_t aBytes,
                             std::chrono::milliseconds aTimeout);

  byte_stream& mStream;
  std::size_t mLimitBytes;
  // Bytes that have been read but not yet returned as a frame.
  std::string mBuffer;
};

} // namespace sapphirespar::wire
