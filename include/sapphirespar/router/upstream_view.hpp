// An upstream as the scheduler sees it.
#pragma once

#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/policy/scheduler.hpp"

namespace sapphirespar::router {

// Joins what the bundle declares with what is known of the upstream now. An
// engine that has told which models it holds serves no other; one that has not
// told is taken to hold all that it may. aStatus may be null.
policy::upstream_view MakeView(const upstream_spec& aSpec,
                               const upstream_status* aStatus);

} // namespace sapphirespar::router
