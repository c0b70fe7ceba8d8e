// Encodes and reads frames.
#include "peer_frame.hpp"

#include <algorithm>
#include <array>

namespace sapphirespar::wire {
namespace {

constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

} // namespace

std::string
EncodeFrame(frame_kind aKind, std::string_view aBody)
{
  const auto size = static_cast<std::uint32_t>(aBody.size());
  std::string bytes;
  bytes.reserve(kFrameHeaderBytes + aBody.size());
  bytes.push_back(static_cast<char>(aKind));
  for (const unsigned shift : { 2 * kBitsPerByte, kBitsPerByte, 0U }) {
    bytes.push_back(static_cast<char>((size >> shift) & kByteMask));
  }
  bytes.append(aBody);
  return bytes;
}

frame_reader::frame_reader(byte_stream& aStream, std::size_t aLimitBytes)
  : mStream(aStream)
  , mLimitBytes(std::min(aLimitBytes, kMaxFrameBytes))
{
}

asio::awaitable<std::optional<frame>>
frame_reader::Next(std::chrono::milliseconds aTimeout)
{
  if (!co_await Fill(kFrameHeaderBytes, aTimeout)) {
    co_return std::nullopt;
  }
  const auto size = BodySize();
  if (size > mLimitBytes) {
    co_return std::nullopt;
  }
  if (!co_await Fill(kFrameHeaderBytes + size, aTimeout)) {
    co_return std::nullopt;
  }
  frame next;
  next.mKind = static_cast<frame_kind>(mBuffer.front());
  next.mBody = mBuffer.substr(kFrameHeaderBytes, size);
  mBuffer.erase(0, kFrameHeaderBytes + size);
  co_return next;
}

std::size_t
frame_reader::BodySize() const
{
  const auto byte = [this](std::size_t aIndex) {
    return static_cast<std::size_t>(
      static_cast<unsigned char>(mBuffer[aIndex]));
  };
  return (byte(1) << (2 * kBitsPerByte)) | (byte(2) << kBitsPerByte) | byte(3);
}

asio::awaitable<bool>
frame_reader::Fill(std::size_t aBytes, std::chrono::milliseconds aTimeout)
{
  constexpr std::size_t kReadBytes = 4096;
  std::array<char, kReadBytes> piece;
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (mBuffer.size() < aBytes) {
    const auto read = co_await mStream.ReadSome(asio::buffer(piece), deadline);
    if (read.mError) {
      co_return false;
    }
    mBuffer.append(piece.data(), read.mBytes);
  }
  co_return true;
}

} // namespace sapphirespar::wire
