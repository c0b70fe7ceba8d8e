// The entering router's side of slots: asks homes, falls back to a direct
// choice, keeps what it holds known to the homes. For use by slot_broker.cpp
// only.
#pragma once

#include "home_map.hpp"
#include "slot_home.hpp"

#include "sapphirespar/router/slot_broker.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace sapphirespar::router {

class slot_seeker
{
public:
  // aBoard, aHomes and aCounts outlive the seeker. aOwnLoads returns the loads
  // of the homes kept at this router.
  slot_seeker(const blackboard& aBoard,
              home_map& aHomes,
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

  // The upstream of a request that this router runs, if it does.
  std::optional<upstream_id> HeldAt(const request_id& aRequest) const;

  // Homes or members have changed.
  void OnHomesChanged(steady_time aNow);

  void Tick(steady_time aNow);

private:
  // A request that waits for a slot.
  struct seeking
  {
    policy::queued_request mRequest;
    slot_callback mDone;
    // The home that has been asked, as the member it was then.
    process_id mHome;
    // When it was last asked, and since when that has gone unanswered.
    steady_time mAsked{};
    std::optional<steady_time> mUnansweredSince;
    // Homes that refused, did not answer or were lost.
    std::set<vm_id> mTried;
  };
  // A request that runs.
  struct holding
  {
    policy::queued_request mRequest;
    upstream_id mUpstream;
    // Who counts it, the latest last; at most kHomesTold.
    std::vector<vm_id> mHomes;
    // When the latest home is told once more, in case that was lost.
    std::optional<steady_time> mTellAgain;
  };

  void AskNext(const request_id& aId, steady_time aNow);
  void Ask(seeking& aSeeking, const vm_id& aHome, steady_time aNow);
  void PassOver(const request_id& aId, steady_time aNow);
  void GoDirect(const request_id& aId, steady_time aNow);
  void Hold(const request_id& aId,
            const upstream_id& aUpstream,
            std::vector<vm_id> aHomes);
  void Refuse(const request_id& aId, const refusal& aRefusal);
  void TellHome(holding& aHolding, const vm_id& aHome, steady_time aNow);
  bool HomeIsLost(const seeking& aSeeking) const;
  std::vector<request_id> SeekingIds() const;

  const blackboard& mBoard;
  home_map& mHomes;
  slot_broker_settings mSettings;
  slot_broker_counts& mCounts;
  slot_sender mSend;
  std::function<std::vector<pool_load>()> mOwnLoads;
  std::unordered_map<request_id, seeking> mSeeking;
  std::unordered_map<request_id, holding> mHoldings;
  // How many of mHoldings run at an upstream; no entry is zero.
  std::map<upstream_id, unsigned> mHeldCounts;
};

} // namespace sapphirespar::router
