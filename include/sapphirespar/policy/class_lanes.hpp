// The queues of one pool: a lane for each class, ordered by tier.
#pragma once

#include "sapphirespar/policy/slot_reserve.hpp"
#include "sapphirespar/policy/waiting_queue.hpp"

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

// The tier that is served before all others.
inline constexpr unsigned kFirstTier = 1;

// The requests of one class that wait for one pool.
struct class_lane
{
  request_class mClass;
  // Ordered by latest start.
  waiting_queue mQueue;
  // Number of waiting requests of each account; without zero entries.
  std::unordered_map<account_id, unsigned> mByAccount;
  // Requests that hold a slot and are not paused.
  unsigned mRunning = 0;
  // Slot time that the class has accrued by its minimum share and not used.
  // At least minus the slot time of one request; at most that slot time plus
  // what accrues while the longest work holds its slot.
  steady_duration mCredit{};
  // Slots needed by all arriving requests, including rejected ones.
  slot_demand mSlotDemand;

  bool IsFirstTier() const { return mClass.mTier <= kFirstTier; }
  bool HasCredit() const { return mCredit > steady_duration::zero(); }
};

// Sorted by tier, then by class.
using class_lanes = std::vector<class_lane>;

// Adds a lane for a class that has none yet, at its sorted position.
class_lane& AddLane(class_lanes& aLanes, const request_class& aClass);

// Restores the order after classes have changed.
void SortLanes(class_lanes& aLanes);

// Returns whether the queue limit of the class or of the account is reached.
bool IsFull(const class_lane& aLane, const account_id& aAccount);

void Push(class_lane& aLane, const queue_key& aKey, queued_request aRequest);

// Removes and returns the request at aKey; nothing if there is none.
std::optional<queued_request> Remove(class_lane& aLane, const queue_key& aKey);

// Returns the number of requests that wait in all lanes.
std::size_t WaitingCount(std::span<const class_lane> aLanes);

// Returns the class's guaranteed share of capacity, between 0 and 1: zero for
// the first tier, which needs none, and at least a small share for all others.
double MinimumShare(const class_lane& aLane);

// Credits each lane that has waiting requests with its share of aSlots over
// aTime. aSlotTime returns the mean time for which a request of a class holds
// a slot.
void AccrueCredit(
  class_lanes& aLanes,
  unsigned aSlots,
  steady_duration aTime,
  const std::function<steady_duration(const class_id&)>& aSlotTime);

// Subtracts the slot time of one request from the lane's credit.
void ChargeCredit(class_lane& aLane, steady_duration aSlotTime);

// Returns whether aLeft is served before aRight. Both must have waiting
// requests.
bool Precedes(const class_lane& aLeft, const class_lane& aRight);

// Returns the lane to serve next: the first tier, then lanes with credit, then
// by tier and latest start. Ignores the lanes in aSkipped. Returns null if no
// lane has waiting requests.
class_lane* NextLane(class_lanes& aLanes,
                     std::span<const class_lane* const> aSkipped);

// Returns the approximate number of requests in the lane that would be served
// before one with aKey, interpolated between the ends of the queue rather than
// counted.
double RequestsAhead(const class_lane& aLane, const queue_key& aKey);

} // namespace sapphirespar::policy
