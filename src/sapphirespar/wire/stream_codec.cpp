// Encodes and decodes messages about streams.
#include "sapphirespar/wire/stream_codec.hpp"

#include "compact_message.hpp"
#include "gen/gossip_types.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace sapphirespar::wire {
namespace {

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
  return kTag + EncodeCompact(wire);
}

std::optional<stream_message>
DecodeStreamMessage(std::string_view aBytes)
{
  if (!IsStreamMessage(aBytes)) {
    return std::nullopt;
  }
  aBytes.remove_prefix(1);
  const auto read = DecodeCompact<gen::gossip_streams>(aBytes);
  if (!read) {
    return std::nullopt;
  }
  const auto& wire = *read;
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
