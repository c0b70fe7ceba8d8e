// Bytes of Thrift's compact protocol for the generated message types. Internal
// to wire.
#pragma once

#include <thrift/Thrift.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

using compact_buffer = apache::thrift::transport::TMemoryBuffer;
using compact_protocol =
  apache::thrift::protocol::TCompactProtocolT<compact_buffer>;

template<class Message>
std::string
EncodeCompact(const Message& aMessage)
{
  const auto buffer = std::make_shared<compact_buffer>();
  compact_protocol protocol(buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

// Returns nothing if aBytes are malformed or go on after the message.
template<class Message>
std::optional<Message>
DecodeCompact(std::string_view aBytes)
{
  // The buffer only reads, although its interface takes a mutable pointer.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  Message message;
  try {
    const auto buffer = std::make_shared<compact_buffer>(
      bytes, static_cast<std::uint32_t>(aBytes.size()));
    compact_protocol protocol(buffer);
    if (message.read(&protocol) != aBytes.size()) {
      return std::nullopt;
    }
  } catch (const apache::thrift::TException&) {
    return std::nullopt;
  }
  return message;
}

} // namespace sapphirespar::wire
