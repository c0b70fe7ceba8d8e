// The refusals that a scheduler gives. All of them are "not run": the request
// has not been given to any upstream by this scheduler.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

#include <chrono>

namespace sapphirespar::policy {

// No upstream could serve the request, now or soon.
rejection RefuseNoUpstream(const queued_request& aRequest);

// The request can't be answered in time; one like it may be after aRetryAfter.
rejection RefuseTooLate(const queued_request& aRequest,
                        std::chrono::milliseconds aRetryAfter);

// The queue of the request's class or account is full.
rejection RefuseQueueFull(const queued_request& aRequest,
                          std::chrono::milliseconds aRetryAfter);

} // namespace sapphirespar::policy
