// The owner's side of slots: queues requests from all routers for the upstreams
// that this router owns. Used by slot_broker.cpp only.
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

class slot_owner
{
public:
  slot_owner(policy::scheduler_ptr aScheduler,
             slot_broker_settings aSettings,
             slot_sender aSend);

  void Configure(bundle_ptr aBundle);

  // Replaces the upstreams that this router owns.
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

  // Drops the requests and revokes the grants of holders that died or
  // restarted. Returns the number of revoked grants.
  std::size_t Reclaim(const blackboard& aBoard, steady_time aNow);

  // Drops waiting requests that have expired, and asks holders about grants
  // that have not been confirmed for a long time.
  void Tick(steady_time aNow);

  std::vector<pool_load> Loads() const;

private:
  struct waiting_entry
  {
    process_id mHolder;
    // When the holder last sent the request.
    steady_time mRenewedAt{};
  };
  struct grant_entry
  {
    process_id mHolder;
    upstream_id mUpstream;
    // When the holder last confirmed the grant, and when this router last asked
    // about it.
    steady_time mConfirmedAt{};
    steady_time mCheckedAt{};
  };

  void ApplyDecisions(const policy::decisions& aDecisions, steady_time aNow);
  void Grant(const policy::assignment& aAssignment, steady_time aNow);
  void Refuse(const policy::rejection& aRejection);
  void RevokeGrant(const request_id& aRequest, steady_time aNow);
  void RemoveWaiting(const request_id& aRequest, steady_time aNow);
  void CheckGrants(steady_time aNow);

  policy::scheduler_ptr mScheduler;
  slot_broker_settings mSettings;
  slot_sender mSend;
  // A request is in at most one of these maps. The scheduler holds exactly the
  // requests that are in one of them.
  std::unordered_map<request_id, waiting_entry> mWaiting;
  std::unordered_map<request_id, grant_entry> mGrants;
};

// Returns the request in the scheduler's form, with deadlines relative to aNow.
policy::queued_request ToQueued(const slot_request& aRequest, steady_time aNow);

// Returns the message that asks for a slot for aRequest. Its deadlines are
// given as the time left at aNow.
slot_request ToMessage(const policy::queued_request& aRequest,
                       steady_time aNow);

} // namespace sapphirespar::router
