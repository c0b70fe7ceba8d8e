// Gauges of the control thread for /metrics.
#pragma once

#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/wire/peer_link.hpp"

#include <span>

namespace sapphirespar::router {

// Sets the gauges of processor time, peer traffic, members, bundle and queues.
// Must be called on the control thread, because it reads the processor time of
// the calling thread.
void SetControlGauges(metrics& aMetrics,
                      const blackboard& aBoard,
                      const wire::peer_traffic& aTraffic,
                      std::span<const pool_load> aLoads);

} // namespace sapphirespar::router
