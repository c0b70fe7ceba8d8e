// Derives the settings of a gateway's parts from those of the process. Internal
// to gateway.
#pragma once

#include "sapphirespar/config/gateway_settings.hpp"
#include "sapphirespar/gateway/gossip_link.hpp"
#include "sapphirespar/gateway/store_reader.hpp"
#include "sapphirespar/policy/fleet_retry_budget.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/platform_client.hpp"

namespace sapphirespar::gateway {

// Timeout of an HTTP call between gateways.
inline constexpr std::chrono::milliseconds kPeerTimeout{ 400 };

policy::fleet_retry_limits RetryLimits(const gateway_settings& aSettings);
wire::platform_client_settings StoreSettings(const gateway_settings& aSettings);
// aDraw, a random number between 0 and 1, spreads the first reads of gateways
// that start together.
store_reader_settings ReaderSettings(const gateway_settings& aSettings,
                                     double aDraw);
gossip_settings GossipSettings(const gateway_settings& aSettings);
wire::http_client_settings UpstreamClientSettings(
  const gateway_settings& aSettings);
wire::http_client_settings PeerClientSettings();

} // namespace sapphirespar::gateway
