// Builds the rejections of a scheduler. All have the outcome NotRun: the
// scheduler has not given the request to any upstream.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

#include <chrono>

namespace sapphirespar::policy {

// No upstream can serve the request, now or soon.
rejection RefuseNoUpstream(const queued_request& aRequest);

// The request can't be answered in time; a similar one sent after aRetryAfter
// may be.
rejection RefuseTooLate(const queued_request& aRequest,
                        std::chrono::milliseconds aRetryAfter);

// The queue of the request's class or account is full.
rejection RefuseQueueFull(const queued_request& aRequest,
                          std::chrono::milliseconds aRetryAfter);

} // namespace sapphirespar::policy
