// Chooses an upstream for a forwarded request. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace sapphirespar::gateway {

// Chooses among the upstreams of the request's pool that are not in aTried and,
// if aSoftware is set, run this software version. Returns nothing if none is
// left.
std::optional<attempt_target> PlaceRequest(
  const forward_services& aServices,
  const forwarded_request& aForwarded,
  std::span<const upstream_ptr> aTried,
  std::optional<std::uint64_t> aSoftware);

// Time in which no upstream of a pool takes requests from this gateway.
struct pool_pause
{
  std::chrono::milliseconds mLeft{ 0 };
  // "all_turn_away", "rates_used_up" if some of them limit their rates, or
  // "rationed" if they are brittle.
  std::string_view mReason;
};

// Returns nothing if some upstream of the pool, or of its upstreams that run
// aSoftware, takes requests, or there is none.
std::optional<pool_pause> PauseOf(const forward_services& aServices,
                                  std::string_view aPool,
                                  std::optional<std::uint64_t> aSoftware);

// Longest time that a caller is expected to wait for the first event of a
// stream, or for the complete answer of a plain request.
std::chrono::milliseconds CallerPatience(const route& aRoute);

} // namespace sapphirespar::gateway
