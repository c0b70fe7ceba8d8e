// State of the tiered scheduler and the operations that change it. The policy
// is in tiered_scheduler and preemption.
#pragma once

#include "sapphirespar/policy/admission.hpp"
#include "sapphirespar/policy/answer_estimate.hpp"
#include "sapphirespar/policy/pool_queue.hpp"
#include "sapphirespar/policy/slot_table.hpp"

#include <map>
#include <string>
#include <unordered_map>

namespace sapphirespar::policy {

class scheduler_state
{
public:
  // Node-based because pointers to pools must stay valid.
  using pools = std::map<std::string, pool_queue>;

  void Configure(bundle_ptr aBundle);

  // Returns the rules of a class. A class that the bundle does not define gets
  // default rules without an identifier.
  const request_class& RulesOf(const class_id& aId) const;

  pools& Pools() { return mPools; }
  const pools& Pools() const { return mPools; }
  slot_table& Slots() { return mSlots; }
  const slot_table& Slots() const { return mSlots; }
  answer_estimate& Estimate() { return mEstimate; }
  const answer_estimate& Estimate() const { return mEstimate; }

  // PoolOf and LaneIn create an empty pool or lane if there is none.
  pool_queue& PoolOf(const std::string& aPool);
  class_lane& LaneIn(pool_queue& aPool, const class_id& aClass);

  std::span<slot_state* const> MembersOf(const pool_queue& aPool) const;
  admission_view AdmissionOf(const pool_queue& aPool,
                             const class_lane& aLane,
                             steady_time aNow) const;

  bool IsWaiting(const request_id& aRequest) const;

  // Returns a key that sorts after all earlier keys with the same latest start.
  queue_key NewKey(steady_time aStartBy);

  void Enqueue(class_lane& aLane,
               const queue_key& aKey,
               queued_request aRequest);

  // Removes a waiting request; does nothing if the request does not wait.
  void Withdraw(const request_id& aRequest);

  // Gives a slot to a waiting request.
  void Assign(class_lane& aLane,
              const queue_key& aKey,
              const upstream_id& aUpstream,
              steady_time aNow,
              decisions& aDecisions);

  // Adds a request that already runs at aUpstream.
  void Adopt(queued_request aRequest,
             const upstream_id& aUpstream,
             steady_time aNow);

  // Frees a slot, updates the estimates with the completion and returns the
  // former holder; nothing if the request held no slot.
  std::optional<slot_holder> Release(const completion& aCompletion,
                                     steady_time aNow);

  void SetPaused(slot_holder& aHolder,
                 bool aPaused,
                 steady_time aNow,
                 decisions& aDecisions);

  // Removes the request at aItem from the queue and returns the next one.
  waiting_queue::iterator Reject(class_lane& aLane,
                                 waiting_queue::iterator aItem,
                                 rejection aRejection,
                                 decisions& aDecisions);

  std::vector<scheduler_counts> Counts() const;

private:
  struct queue_position
  {
    std::string mPool;
    class_id mClass;
    queue_key mKey;
  };

  request_class ClassOf(const class_id& aId) const;

  bundle_ptr mBundle;
  slot_table mSlots;
  answer_estimate mEstimate;
  pools mPools;
  // Queue position of each waiting request.
  std::unordered_map<request_id, queue_position> mPositions;
  std::uint64_t mSequence = 0;
};

} // namespace sapphirespar::policy
