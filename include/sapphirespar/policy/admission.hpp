// Admission control: refuses on arrival requests that could not be answered in
// time or that find their queue full, and says when to retry.
#pragma once

#include "sapphirespar/policy/pool_queue.hpp"

#include <chrono>
#include <optional>
#include <span>

namespace sapphirespar::policy {

// One lane of a pool as admission control sees it.
struct admission_view
{
  const pool_queue& mPool;
  const class_lane& mLane;
  // The upstreams of the pool.
  std::span<slot_state* const> mMembers;
  const answer_estimate& mEstimate;
  steady_time mNow{};
};

// Returns whether a waiting request can no longer be served in time. Requests
// of the first tier expire at their answer deadline, others at their latest
// start.
bool IsExpired(const class_lane& aLane,
               const queue_key& aKey,
               const queued_request& aRequest,
               steady_time aNow);

// Returns the time until a request that can wait for aSpare would be admitted,
// provided that no other request arrives before it.
std::chrono::milliseconds RetryAfter(const admission_view& aView,
                                     steady_duration aSpare);

// Returns a rejection, or nothing if the new request may wait. Requests of the
// first tier are rejected only past their deadline or when their own queue is
// full.
std::optional<rejection> CheckAdmission(const admission_view& aView,
                                        const queue_key& aKey,
                                        const queued_request& aRequest);

} // namespace sapphirespar::policy
