// Encodes messages about streams with Thrift's compact protocol. A tag in front
// tells them from gossip, with which they share a port.
#pragma once

#include "sapphirespar/model/stream_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

// Whether a datagram claims to be such a message.
bool IsStreamMessage(std::string_view aBytes);

std::string EncodeStreamMessage(const stream_message& aMessage);

// Returns nothing if aBytes are malformed. Negative times become zero.
std::optional<stream_message> DecodeStreamMessage(std::string_view aBytes);

} // namespace sapphirespar::wire
