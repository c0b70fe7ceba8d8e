// Chooses an upstream for a forwarded request. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <span>

namespace sapphirespar::gateway {

// Chooses among the upstreams of the request's pool that are not in aTried.
// Returns nothing if none is left.
std::optional<attempt_target> PlaceRequest(
  const forward_services& aServices,
  const forwarded_request& aForwarded,
  std::span<const upstream_ptr> aTried);

// Longest time that a caller is expected to wait for the first event of a
// stream, or for the complete answer of a plain request.
std::chrono::milliseconds CallerPatience(const route& aRoute);

} // namespace sapphirespar::gateway
