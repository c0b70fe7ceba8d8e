// Encodes usage counts with Thrift's compact protocol. A tag in front tells
// them from gossip, with which they share a port.
#pragma once

#include "sapphirespar/model/usage_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

// Whether a datagram claims to be such a message.
bool IsUsageMessage(std::string_view aBytes);

std::string EncodeUsageMessage(const usage_message& aMessage);

// Returns nothing if aBytes are malformed. Negative counts become zero.
std::optional<usage_message> DecodeUsageMessage(std::string_view aBytes);

} // namespace sapphirespar::wire
