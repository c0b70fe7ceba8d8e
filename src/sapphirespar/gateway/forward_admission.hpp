// Decides whether a request is forwarded. Internal to gateway.
#pragma once

#include "forward_state.hpp"
#include "refusal_answer.hpp"

#include "sapphirespar/base/boot_clock.hpp"

#include <optional>
#include <string>

namespace sapphirespar::gateway {

// Retry-After values, long enough for another read of the store. The longer one
// is for keys that can't be verified and for pools without a usable upstream.
inline constexpr std::chrono::milliseconds kRetrySoon{ 500 };
inline constexpr std::chrono::milliseconds kRetryLater{ 1000 };

// Sets the request's route, account, priority, deadlines and pool, and counts
// it for the retry budget of the pool. Returns a refusal if the request must
// not be forwarded. aArrival is when it arrived; aRoutingAge is unset if there
// was no routing then.
std::optional<refusal_answer> AdmitRequest(
  const forward_services& aServices,
  forwarded_request& aForwarded,
  boot_time aArrival,
  std::optional<boot_clock::duration> aRoutingAge);

// Returns the refusal of a request that has not been sent to any upstream if it
// is for an engine and the predicted wait there is too long.
std::optional<refusal_answer> CheckWait(const forward_services& aServices,
                                        const forwarded_request& aForwarded,
                                        const attempt_target& aTarget);

// Sets the pool whose upstreams may answer the request.
void SetPool(forwarded_request& aForwarded, std::string aPool);

// Returns the refusal of a request that crashes upstreams of its pool.
std::optional<refusal_answer> CheckCrashes(const forward_services& aServices,
                                           const forwarded_request& aForwarded);

} // namespace sapphirespar::gateway
