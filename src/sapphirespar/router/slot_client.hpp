// The side of the router that received a request: asks owners for a slot, falls
// back to choosing an upstream directly, and keeps the owners informed of the
// slots that it holds. Used by slot_broker.cpp only.
#pragma once

#include "owner_map.hpp"
#include "slot_owner.hpp"

#include "sapphirespar/router/slot_broker.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sapphirespar::router {

class slot_client
{
public:
  // aBoard, aOwnerMap and aCounts outlive the client. aOwnLoads returns the
  // loads of the pools whose upstreams this router owns.
  slot_client(const blackboard& aBoard,
              owner_map& aOwnerMap,
              slot_broker_settings aSettings,
              slot_broker_counts& aCounts,
              slot_sender aSend,
              std::function<std::vector<pool_load>()> aOwnLoads);

  void Acquire(policy::queued_request aRequest,
               slot_callback aDone,
               steady_time aNow);
  void Withdraw(const request_id& aRequest);
  void Finish(const policy::completion& aCompletion);

  void OnGrant(const process_id& aFrom,
               const slot_grant& aGrant,
               steady_time aNow);
  void OnRefusal(const process_id& aFrom,
                 const slot_refusal& aRefusal,
                 steady_time aNow);
  void OnWaiting(const process_id& aFrom,
                 const slot_waiting& aWaiting,
                 steady_time aNow);

  // Returns the upstream of a request that this router runs, or nothing if it
  // does not run the request.
  std::optional<upstream_id> UpstreamOf(const request_id& aRequest) const;

  // Must be called when owners or members have changed.
  void OnOwnersChanged(steady_time aNow);

  void Tick(steady_time aNow);

private:
  // A request that waits for a slot.
  struct waiting_request
  {
    policy::queued_request mRequest;
    slot_callback mDone;
    // The owner that was asked last, with its incarnation at that time.
    process_id mOwner;
    // When the request was last sent, and since when it has been unanswered.
    steady_time mSentAt{};
    std::optional<steady_time> mUnansweredSince;
    // Owners that refused, timed out or were lost.
    std::set<vm_id> mTried;
  };
  // A request that runs.
  struct running_request
  {
    policy::queued_request mRequest;
    upstream_id mUpstream;
    // Owners that count the slot, the latest last; at most kMaxNotifiedOwners.
    std::vector<vm_id> mOwners;
    // When to notify the latest owner again, in case the first message was
    // lost.
    std::optional<steady_time> mResendAt;
  };

  void AskNextOwner(const request_id& aId, steady_time aNow);
  void SendRequest(waiting_request& aWaiting,
                   const vm_id& aOwner,
                   steady_time aNow);
  void FailOver(const request_id& aId, steady_time aNow);
  void ChooseDirectly(const request_id& aId, steady_time aNow);
  void StartRunning(const request_id& aId,
                    const upstream_id& aUpstream,
                    std::vector<vm_id> aOwners);
  void Refuse(const request_id& aId, const refusal& aRefusal);
  void NotifyOwner(running_request& aRunning,
                   const vm_id& aOwner,
                   steady_time aNow);
  bool OwnerIsLost(const waiting_request& aWaiting) const;
  std::vector<request_id> WaitingIds() const;

  const blackboard& mBoard;
  owner_map& mOwnerMap;
  slot_broker_settings mSettings;
  slot_broker_counts& mCounts;
  slot_sender mSend;
  std::function<std::vector<pool_load>()> mOwnLoads;
  std::unordered_map<request_id, waiting_request> mWaiting;
  std::unordered_map<request_id, running_request> mRunning;
  // Number of entries of mRunning at each upstream; no value is zero.
  std::map<upstream_id, unsigned> mRunningCounts;
};

} // namespace sapphirespar::router
