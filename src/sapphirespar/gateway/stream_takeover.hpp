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

} // namespace sapphirespar::gateway
