// Admission control: refuses at once what could not be answered in time, or
// what there is no room to let wait, and says when to come back.
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

// Whether a waiting request has become useless. The first tier waits for as
// long as its whole answer is still wanted, others until their latest start.
bool IsLost(const class_lane& aLane,
            const queue_key& aKey,
            const queued_request& aRequest,
            steady_time aNow);

// The time until a request with aSpare to wait in would be let in if nothing
// else came before.
std::chrono::milliseconds RetryAfter(const admission_view& aView,
                                     steady_duration aSpare);

// Refuses a new request, or nothing if it may wait. The first tier is refused
// only past its deadline or when its own queue is full.
std::optional<rejection> CheckAdmission(const admission_view& aView,
                                        const queue_key& aKey,
                                        const queued_request& aRequest);

} // namespace sapphirespar::policy
