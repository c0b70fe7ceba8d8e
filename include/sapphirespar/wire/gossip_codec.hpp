// Gossip between gateways as bytes: Thrift's compact protocol over the structs
// of idl/gossip.thrift.
#pragma once

#include "sapphirespar/model/gossip.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar::wire {

std::string EncodeGossip(const gossip_state& aState);

// Returns nothing for bytes that are no gossip or hold impossible values.
std::optional<gossip_state> DecodeGossip(std::string_view aBytes);

} // namespace sapphirespar::wire
