// What waits for one pool, and how long that will take.
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
  // When shares were last earned.
  steady_time mEarnedAt{};
};

// Slots of the members that take work, less what others hold there.
unsigned UsableSlots(std::span<slot_state* const> aMembers);

// Slots free now at members that take work.
unsigned FreeSlots(std::span<slot_state* const> aMembers);

// Whether the lane may take a slot now. Where work can't be paused, the slots
// left may be kept for higher tiers; a lane that is owed its share gives way to
// the first tier alone.
bool MayTakeSlot(const pool_queue& aPool,
                 const class_lane& aLane,
                 std::span<slot_state* const> aMembers,
                 steady_time aNow);

// How long a request with aKey would wait for a slot if it came now.
steady_duration PredictWait(const pool_queue& aPool,
                            const class_lane& aLane,
                            const queue_key& aKey,
                            std::span<slot_state* const> aMembers,
                            const answer_estimate& aEstimate);

// Time until the next slot is likely to be given back.
steady_duration PredictNextFree(const pool_queue& aPool,
                                const answer_estimate& aEstimate);

} // namespace sapphirespar::policy
