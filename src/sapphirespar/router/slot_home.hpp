// The home's side of slots: queues requests from every router for the upstreams
// homed here. For use by slot_broker.cpp only.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/policy/scheduler.hpp"
#include "sapphirespar/router/slot_broker.hpp"

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::router {

using slot_sender = std::function<void(const vm_id& aTo, peer_message)>;

class slot_home
{
public:
  slot_home(policy::scheduler_ptr aScheduler,
            slot_broker_settings aSettings,
            slot_sender aSend);

  void Configure(bundle_ptr aBundle);

  // Replaces the upstreams homed here.
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams,
                    steady_time aNow);

  void OnRequest(const process_id& aFrom,
                 const slot_request& aRequest,
                 steady_time aNow);
  void OnRelease(const process_id& aFrom,
                 const slot_release& aRelease,
                 steady_time aNow);
  void OnHolding(const process_id& aFrom,
                 const slot_holding& aHolding,
                 steady_time aNow);

  // Takes back what holders that died or restarted had; returns how much.
  std::size_t Reclaim(const blackboard& aBoard, steady_time aNow);

  // Forgets who no longer waits and asks after grants not heard of for long.
  void Tick(steady_time aNow);

  std::vector<pool_load> Loads() const;

private:
  struct waiting_entry
  {
    process_id mHolder;
    // When its holder last asked.
    steady_time mRenewed{};
  };
  struct grant_entry
  {
    process_id mHolder;
    upstream_id mUpstream;
    // When its holder last showed that it holds it.
    steady_time mConfirmed{};
    steady_time mAsked{};
  };

  void Carry(const policy::decisions& aDecisions, steady_time aNow);
  void Grant(const policy::assignment& aAssignment, steady_time aNow);
  void Refuse(const policy::rejection& aRejection);
  void TakeBack(const request_id& aRequest, steady_time aNow);
  void Forget(const request_id& aRequest, steady_time aNow);
  void CheckGrants(steady_time aNow);

  policy::scheduler_ptr mScheduler;
  slot_broker_settings mSettings;
  slot_sender mSend;
  // A request is in at most one of these, and in the scheduler exactly then.
  std::unordered_map<request_id, waiting_entry> mWaiting;
  std::unordered_map<request_id, grant_entry> mGrants;
};

// Returns the request as the scheduler takes it, with deadlines from aNow.
policy::queued_request ToQueued(const slot_request& aRequest, steady_time aNow);

// Returns the message that asks for a slot for aRequest.
slot_request ToMessage(const policy::queued_request& aRequest,
                       steady_time aNow);

} // namespace sapphirespar::router
