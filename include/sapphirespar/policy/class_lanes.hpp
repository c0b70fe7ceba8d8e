// The queues of one pool: a lane for each class, ordered by tier.
#pragma once

#include "sapphirespar/policy/slot_reserve.hpp"
#include "sapphirespar/policy/waiting_queue.hpp"

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

// The tier that goes before everything else.
inline constexpr unsigned kFirstTier = 1;

// The requests of one class that wait for one pool.
struct class_lane
{
  request_class mClass;
  // Ordered by the latest useful start.
  waiting_queue mQueue;
  // How many of them each account has; no zero entries.
  std::unordered_map<account_id, unsigned> mByAccount;
  // Requests that hold a slot and are not paused.
  unsigned mRunning = 0;
  // Slot time owed to the class by its minimum share; at least the negative of
  // one request's, at most that and what is earned until a slot is given back.
  steady_duration mCredit{};
  // Slots that its requests need, admitted or not.
  slot_need mNeed;

  bool IsFirstTier() const { return mClass.mTier <= kFirstTier; }
  bool IsOwed() const { return mCredit > steady_duration::zero(); }
};

// Sorted by tier, then by class.
using class_lanes = std::vector<class_lane>;

// Adds a lane for a class that has none yet, in its place.
class_lane& AddLane(class_lanes& aLanes, const request_class& aClass);

// Restores the order after classes have changed.
void SortLanes(class_lanes& aLanes);

// Whether the lane's bound for the class or for one account is reached.
bool IsFull(const class_lane& aLane, const account_id& aAccount);

void Push(class_lane& aLane, const queue_key& aKey, queued_request aRequest);

// Removes and returns the request at aKey; nothing if there is none.
std::optional<queued_request> Remove(class_lane& aLane, const queue_key& aKey);

// How many requests wait in all lanes.
std::size_t Waiting(std::span<const class_lane> aLanes);

// Share of capacity that the class is left at least, between zero and one.
// The first tier needs none; any other class gets a little.
double MinimumShare(const class_lane& aLane);

// Lets each lane that has work waiting earn its share of aSlots over aTime.
// aSlotTime tells the mean time that a request of a class holds a slot.
void EarnShares(
  class_lanes& aLanes,
  unsigned aSlots,
  steady_duration aTime,
  const std::function<steady_duration(const class_id&)>& aSlotTime);

// Takes the time of one request off the lane's credit.
void ChargeShare(class_lane& aLane, steady_duration aSlotTime);

// Order of service between two lanes that both have work waiting.
bool GoesBefore(const class_lane& aLeft, const class_lane& aRight);

// Returns the lane to serve next: the first tier, then a lane that is owed,
// then by tier and latest start. Lanes in aSkipped are left out. Null if no
// lane has work.
class_lane* NextLane(class_lanes& aLanes,
                     std::span<const class_lane* const> aSkipped);

// Returns about how many requests of the lane would go before one with aKey:
// interpolated between the ends of the queue rather than counted.
double RequestsAhead(const class_lane& aLane, const queue_key& aKey);

} // namespace sapphirespar::policy
