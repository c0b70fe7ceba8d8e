// The pages that a gateway serves about itself. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// What operators may ask of a gateway.
struct gateway_status
{
  bool mReady = false;
  bool mLeaving = false;
  routing_version mRouting = 0;
  // Unset before the first routing.
  std::optional<std::chrono::milliseconds> mRoutingAge;
  std::size_t mUpstreams = 0;
  unsigned mGateways = 0;
};

wire::http_response TextResponse(unsigned aStatus, std::string aBody);

wire::http_response ReadinessPage(bool aReady);

// Names at most as many entry points as one answer may hold.
wire::http_response EntryPage(const protocol& aProtocol,
                              std::vector<entry_point> aPoints,
                              std::chrono::milliseconds aTimeToLive);

wire::http_response StatusPage(const gateway_status& aStatus);

} // namespace sapphirespar::gateway
