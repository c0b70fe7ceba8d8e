// Responses for the pages that a gateway serves itself. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// Content of the status page for operators.
struct gateway_status
{
  bool mReady = false;
  // The process is shutting down.
  bool mLeaving = false;
  routing_version mRouting = 0;
  // Unset before the first routing.
  std::optional<std::chrono::milliseconds> mRoutingAge;
  std::size_t mUpstreams = 0;
  // Upper bound of the number of live gateways; zero if unknown.
  unsigned mGateways = 0;
  // Upstreams' entries in the store that could not be read.
  std::vector<std::string> mUnreadableEntries;
};

wire::http_response TextResponse(unsigned aStatus, std::string aBody);

wire::http_response ReadinessPage(bool aReady);

// Lists the first 64 of aPoints, or answers with 503 if there are none.
wire::http_response EntryPage(const protocol& aProtocol,
                              std::vector<entry_point> aPoints,
                              std::chrono::milliseconds aTimeToLive);

wire::http_response StatusPage(const gateway_status& aStatus);

} // namespace sapphirespar::gateway
