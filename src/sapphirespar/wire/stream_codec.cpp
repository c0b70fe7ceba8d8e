// Encodes and decodes messages about streams.
#include "sapphirespar/wire/stream_codec.hpp"

#include "gen/gossip_types.h"

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <memory>

namespace sapphirespar::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

// No gossip begins with this byte: it would declare a number as first field.
constexpr char kTag = 'S';

std::vector<std::int64_t>
ToWireKeys(const std::vector<std::uint64_t>& aKeys)
{
  std::vector<std::int64_t> keys;
  std::ranges::transform(
    aKeys, std::back_inserter(keys), [](std::uint64_t aKey) {
      return static_cast<std::int64_t>(aKey);
    });
  return keys;
}

std::vector<std::uint64_t>
FromWireKeys(const std::vector<std::int64_t>& aKeys)
{
  std::vector<std::uint64_t> keys;
  std::ranges::transform(
    aKeys, std::back_inserter(keys), [](std::int64_t aKey) {
      return static_cast<std::uint64_t>(aKey);
    });
  return keys;
}

std::int32_t
ToWireMs(std::chrono::milliseconds aTime)
{
  constexpr std::int64_t kMost = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(
    std::clamp<std::int64_t>(aTime.count(), 0, kMost));
}

gen::gossip_stream_version
ToWireVersion(const stream_version& aVersion)
{
  gen::gossip_stream_version wire;
  wire.stream = static_cast<std::int64_t>(aVersion.mStream);
  wire.pool = static_cast<std::int64_t>(aVersion.mPool);
  wire.software = static_cast<std::int64_t>(aVersion.mSoftware);
  wire.left_ms = ToWireMs(aVersion.mLeft);
  return wire;
}

stream_version
FromWireVersion(const gen::gossip_stream_version& aWire)
{
  return { static_cast<std::uint64_t>(aWire.stream),
           static_cast<std::uint64_t>(aWire.pool),
           static_cast<std::uint64_t>(aWire.software),
           std::chrono::milliseconds(std::max(aWire.left_ms, 0)) };
}

gen::gossip_pool_software
ToWireSeen(const pool_software& aSeen)
{
  gen::gossip_pool_software wire;
  wire.pool = static_cast<std::int64_t>(aSeen.mPool);
  wire.software = static_cast<std::int64_t>(aSeen.mSoftware);
  return wire;
}

pool_software
FromWireSeen(const gen::gossip_pool_software& aWire)
{
  return { static_cast<std::uint64_t>(aWire.pool),
           static_cast<std::uint64_t>(aWire.software) };
}

} // namespace

bool
IsStreamMessage(std::string_view aBytes)
{
  return aBytes.starts_with(kTag);
}

std::string
EncodeStreamMessage(const stream_message& aMessage)
{
  gen::gossip_streams wire;
  std::ranges::transform(
    aMessage.mTold, std::back_inserter(wire.told), ToWireVersion);
  wire.asked = ToWireKeys(aMessage.mAsked);
  wire.unknown = ToWireKeys(aMessage.mUnknown);
  std::ranges::transform(
    aMessage.mSeen, std::back_inserter(wire.seen), ToWireSeen);
  wire.seen_all = aMessage.mSeenAll;
  wire.span_ms = ToWireMs(aMessage.mSpan);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  wire.write(&protocol);
  return kTag + buffer->getBufferAsString();
}

std::optional<stream_message>
DecodeStreamMessage(std::string_view aBytes)
{
  if (!IsStreamMessage(aBytes)) {
    return std::nullopt;
  }
  aBytes.remove_prefix(1);
  // The buffer only reads, although its interface takes a mutable pointer.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  gen::gossip_streams wire;
  try {
    const auto buffer = std::make_shared<TMemoryBuffer>(
      bytes, static_cast<std::uint32_t>(aBytes.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    if (wire.read(&protocol) != aBytes.size()) {
      return std::nullopt;
    }
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  stream_message message;
  std::ranges::transform(
    wire.told, std::back_inserter(message.mTold), FromWireVersion);
  message.mAsked = FromWireKeys(wire.asked);
  message.mUnknown = FromWireKeys(wire.unknown);
  std::ranges::transform(
    wire.seen, std::back_inserter(message.mSeen), FromWireSeen);
  message.mSeenAll = wire.seen_all;
  message.mSpan = std::chrono::milliseconds(std::max(wire.span_ms, 0));
  return message;
}

} // namespace sapphirespar::wire
