// The requests that wait for one pool, and predictions of their waiting times.
#pragma once

#include "sapphirespar/policy/answer_estimate.hpp"
#include "sapphirespar/policy/class_lanes.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <span>
#include <string>

namespace sapphirespar::policy {

struct pool_queue
{
  std::string mPool;
  class_lanes mLanes;
  // When the lanes last accrued credit.
  steady_time mAccruedAt{};
};

// Returns the slots of all members that accept work, minus external load.
unsigned UsableSlots(std::span<slot_state* const> aMembers);

// Returns the free slots of all members that accept work.
unsigned FreeSlots(std::span<slot_state* const> aMembers);

// Returns whether the lane may take a slot now. If some member can't pause
// running requests, slots may be reserved for higher tiers; for a lane with
// credit, only those of the first tier count.
bool MayTakeSlot(const pool_queue& aPool,
                 const class_lane& aLane,
                 std::span<slot_state* const> aMembers,
                 steady_time aNow);

// Returns how long a request with aKey would wait for a slot if it arrived now.
steady_duration PredictWait(const pool_queue& aPool,
                            const class_lane& aLane,
                            const queue_key& aKey,
                            std::span<slot_state* const> aMembers,
                            const answer_estimate& aEstimate);

// Returns the expected time until the next running request frees its slot; zero
// if none runs.
steady_duration PredictNextFreeSlot(const pool_queue& aPool,
                                    const answer_estimate& aEstimate);

} // namespace sapphirespar::policy
