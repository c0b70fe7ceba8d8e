// Chooses the upstream for a forwarded request among those that the gateway
// knows. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <span>

namespace sapphirespar::gateway {

// Returns nothing if there is no upstream left. aTried are passed over.
std::optional<attempt_target> PlaceRequest(
  const forward_services& aServices,
  const forwarded_request& aForwarded,
  std::span<const upstream_ptr> aTried);

// Longest time for which callers wait for the first event of a stream, or
// until the request's end for a plain answer.
std::chrono::milliseconds FirstEventPatience(const route& aRoute);

} // namespace sapphirespar::gateway
