// Finds the software version at which a stream began that a caller takes up
// again, perhaps from another gateway. Internal to gateway.
#pragma once

#include "forward_state.hpp"
#include "refusal_answer.hpp"

#include <optional>

namespace sapphirespar::gateway {

// Sets the request's pool and aProgress.mSoftware to those of the stream. Asks
// other gateways if this one does not know them. Returns a refusal if the
// version stays in doubt, as events of two versions don't fit together.
asio::awaitable<std::optional<refusal_answer>> FindStreamVersion(
  const forward_services& aServices,
  forwarded_request& aForwarded,
  relay_progress& aProgress);

// Waits until the store names the upstream's software version, for 100 ms at
// most and only while it is being written, which is done once for a version.
// To be called before a stream that may be taken up begins there.
asio::awaitable<void> AwaitVersionRecord(const forward_services& aServices,
                                         const forwarded_request& aForwarded,
                                         const upstream& aUpstream,
                                         const relay_progress& aProgress);

} // namespace sapphirespar::gateway
