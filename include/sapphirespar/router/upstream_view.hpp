// Builds the scheduler's view of an upstream.
#pragma once

#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/policy/scheduler.hpp"

namespace sapphirespar::router {

// Combines the declaration of an upstream with its current status, which may be
// null. An engine that has reported its loaded models serves only those; any
// other engine is assumed to have loaded all its declared models.
policy::upstream_view MakeView(const upstream_spec& aSpec,
                               const upstream_status* aStatus);

} // namespace sapphirespar::router
