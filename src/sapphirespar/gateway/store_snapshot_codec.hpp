// Store snapshots as JSON, for the transfer between gateways. Internal to
// gateway.
#pragma once

#include "sapphirespar/gateway/store_reader.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::gateway {

inline constexpr std::string_view kStoreSnapshotPath = "/v3/store-copy";

// Makes the HTTP target that requests a snapshot relative to aKnown, and parses
// the query of such a target. Missing or malformed numbers become zero.
std::string SnapshotTarget(const known_versions& aKnown);
known_versions ParseKnownVersions(std::string_view aQuery);

// Keeps the packed form of the latest routing, which many gateways fetch soon
// after each other.
class routing_packer
{
public:
  const std::string& Pack(const std::string& aRouting,
                          routing_version aVersion);

private:
  routing_version mVersion = 0;
  std::string mText;
};

// Large parts are packed: with thousands of routes the routing would otherwise
// take seconds on the links of small machines.
std::string EncodeStoreSnapshot(const store_snapshot& aSnapshot,
                                routing_packer& aPacker);

// Returns nothing if aText is not a valid snapshot.
std::optional<store_snapshot> DecodeStoreSnapshot(std::string_view aText);

} // namespace sapphirespar::gateway
