// Everything that the tiered scheduler remembers, and the few steps that
// change it. Which step to take is decided elsewhere.
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
  // Node-based: pools are pointed at while decisions are made.
  using pools = std::map<std::string, pool_queue>;

  void Configure(bundle_ptr aBundle);

  // A class that the bundle does not name counts as an undemanding one; its
  // rules then carry no identifier.
  const request_class& RulesOf(const class_id& aId) const;

  pools& Pools() { return mPools; }
  const pools& Pools() const { return mPools; }
  slot_table& Slots() { return mSlots; }
  const slot_table& Slots() const { return mSlots; }
  answer_estimate& Estimate() { return mEstimate; }
  const answer_estimate& Estimate() const { return mEstimate; }

  // Created empty if there is none.
  pool_queue& PoolOf(const std::string& aPool);
  class_lane& LaneIn(pool_queue& aPool, const class_id& aClass);

  std::span<slot_state* const> MembersOf(const pool_queue& aPool) const;
  admission_view AdmissionOf(const pool_queue& aPool,
                             const class_lane& aLane,
                             steady_time aNow) const;

  bool IsWaiting(const request_id& aRequest) const;

  // A key after all earlier ones with the same latest start.
  queue_key NewKey(steady_time aStartBy);

  void Enqueue(class_lane& aLane,
               const queue_key& aKey,
               queued_request aRequest);

  // Takes a waiting request out; does nothing if it does not wait.
  void Withdraw(const request_id& aRequest);

  // Gives a slot to a waiting request.
  void Assign(class_lane& aLane,
              const queue_key& aKey,
              const upstream_id& aUpstream,
              steady_time aNow,
              decisions& aMade);

  // Notes a request that already runs.
  void Adopt(queued_request aRequest,
             const upstream_id& aUpstream,
             steady_time aNow);

  // Takes a slot back and learns from how the request went.
  std::optional<slot_holder> Release(const completion& aCompletion,
                                     steady_time aNow);

  void SetPaused(slot_holder& aHolder,
                 bool aPaused,
                 steady_time aNow,
                 decisions& aMade);

  // Takes the request at aItem out of the queue and returns the next one.
  waiting_queue::iterator Reject(class_lane& aLane,
                                 waiting_queue::iterator aItem,
                                 rejection aRejection,
                                 decisions& aMade);

  std::vector<scheduler_counts> Counts() const;

private:
  struct place
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
  // Where each waiting request stands.
  std::unordered_map<request_id, place> mPlaces;
  std::uint64_t mSequence = 0;
};

} // namespace sapphirespar::policy
