// Asks upstreams that the platform has called back when they are taken away.
// Their entries don't tell. Internal to gateway.
#pragma once

#include "forward_state.hpp"

namespace sapphirespar::gateway {

// Asks the upstream unless its time is known, or it was asked often enough or
// is being asked. The answer is in upstream::mLeavesAt.
void AskWhenItLeaves(const asio::any_io_executor& aExecutor,
                     const forward_services& aServices,
                     const upstream_ptr& aUpstream);

} // namespace sapphirespar::gateway
