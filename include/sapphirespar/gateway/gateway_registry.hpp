// Registry of gateways in the platform's store. Each gateway writes its address
// there at its start, so that a gateway without any peers can find the others.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/model/platform.hpp"

#include <memory>

namespace sapphirespar::gateway {

// Kind of the store objects. An object's name is the gateway's VM and its value
// the gateway's address.
inline constexpr std::string_view kGatewayKind = "sapphirespar-gateways";

class gateway_registry
{
public:
  // All references must outlive the registry.
  gateway_registry(platform_api& aPlatform,
                   timer_service& aTimers,
                   peer_table& aPeers,
                   peer_contact aSelf);
  ~gateway_registry();
  gateway_registry(const gateway_registry&) = delete;
  gateway_registry& operator=(const gateway_registry&) = delete;

  // Writes this gateway's entry and schedules the first read of all entries.
  // The read is delayed if a peer has already sent its list of gateways. It is
  // still made, because the peer may have missed a gateway that started at the
  // same time.
  void Start();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
