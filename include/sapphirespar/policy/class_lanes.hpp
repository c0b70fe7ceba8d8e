// The queues of one pool: a lane for each class, ordered by tier.
#pragma once

#include "sapphirespar/policy/waiting_queue.hpp"

#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

// The requests of one class that wait for one pool.
struct class_lane
{
  request_class mClass;
  // Ordered by the latest useful start.
  waiting_queue mQueue;
  // How many of them each account has; no zero entries.
  std::unordered_map<account_id, unsigned> mByAccount;
};

// Sorted by tier, then by class.
using class_lanes = std::vector<class_lane>;

// Returns the lane of a class, created in its place if there is none.
class_lane& LaneOf(class_lanes& aLanes, const request_class& aClass);

// Whether the lane's bound for the class or for one account is reached.
bool IsFull(const class_lane& aLane, const account_id& aAccount);

void Push(class_lane& aLane, const queue_key& aKey, queued_request aRequest);

// Removes and returns the request at aKey; nothing if there is none.
std::optional<queued_request> Remove(class_lane& aLane, const queue_key& aKey);

// How many requests wait in all lanes.
std::size_t Waiting(std::span<const class_lane> aLanes);

} // namespace sapphirespar::policy
