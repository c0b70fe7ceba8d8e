// Encodes gossip between gateways with Thrift's compact protocol and the
// structs of idl/gossip.thrift.
#pragma once

#include "sapphirespar/model/gossip.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

std::string EncodeGossip(const gossip_state& aState);

// Returns nothing if aBytes are malformed, name no sender, or contain a port
// that is out of range. Negative loads, load ages and CPU quotas become zero.
std::optional<gossip_state> DecodeGossip(std::string_view aBytes);

} // namespace sapphirespar::wire
