// What may follow an attempt that did not answer a request: another one, or a
// refusal that is true. Internal to gateway.
#pragma once

#include "forward_state.hpp"
#include "refusal_answer.hpp"

#include <cstddef>
#include <string_view>

namespace sapphirespar::gateway {

// Whether another attempt is allowed after one that has ended like this and
// aTried upstreams that were tried. Spends a retry if so.
bool TakeRetry(const forward_services& aServices,
               const forwarded_request& aForwarded,
               const relay_progress& aProgress,
               std::size_t aTried,
               attempt_end aEnd);

// A 503 promises the caller that the request did not run and may be retried, so
// a request that may have run gets a 502. aRetryAfter holds unless the pool
// takes no requests for some other time.
refusal_answer RefusalAfter(const forward_services& aServices,
                            const forwarded_request& aForwarded,
                            const relay_progress& aProgress,
                            std::string_view aReason,
                            std::chrono::milliseconds aRetryAfter);

} // namespace sapphirespar::gateway
