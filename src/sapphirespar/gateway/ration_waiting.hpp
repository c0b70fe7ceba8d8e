// Lets a request wait for a brittle upstream with room. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <memory>

namespace sapphirespar::gateway {

// Waits a little for a ration of the request's pool, at most until half of the
// target latency has passed since the request arrived. Sets aWait, before which
// less urgent requests get none. Returns false, at once, if a wait is not worth
// while; otherwise rations may have been drawn anew, or the caller has gone.
asio::awaitable<bool> WaitForRation(const forward_services& aServices,
                                    const forwarded_request& aForwarded,
                                    std::unique_ptr<ration_wait>& aWait);

} // namespace sapphirespar::gateway
