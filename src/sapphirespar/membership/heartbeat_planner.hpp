// Decides which heartbeats to send to which routers. Used only by
// membership_controller.cpp.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/membership/member_table.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace sapphirespar::membership {

struct planned_heartbeat
{
  vm_id mTo;
  heartbeat mHeartbeat;
};

class heartbeat_planner
{
public:
  // aBoard outlives the planner.
  heartbeat_planner(const blackboard& aBoard,
                    std::chrono::milliseconds aPeriod);

  // Returns whether every router sends heartbeats to every other one.
  bool IsFullMesh() const;

  // Reads the blackboard at the start of a period. The relay role and the
  // targets of this data centre stay the same until the next call.
  void BeginPeriod();

  // Returns whether this router is the relay of its data centre, which
  // exchanges members with the relays of the others.
  bool IsRelay() const { return mIsRelay; }

  // Returns the heartbeats of one period. aOwn is the heartbeat that describes
  // this router.
  std::vector<planned_heartbeat> Plan(const heartbeat& aOwn);

  // Report to this data centre that a member elsewhere is heard or lost.
  void AnnounceHeard(const process_id& aProcess);
  void AnnounceLost(const process_id& aProcess);

  // Report to the other relays that a member of this data centre is heard or
  // lost.
  void RelayHeard(const process_id& aProcess);
  void RelayLost(const process_id& aProcess);

  // Sends all live members of this data centre to data centre aTo in this
  // period.
  void RelayAllMembers(const data_centre_id& aTo);

  // Sends the live members elsewhere to a new router of this data centre.
  void QueueFullUpdate(const vm_id& aNewMember);

  // Returns the timeouts of a member, which depend on how often this router
  // should receive its heartbeats.
  liveness_timeouts TimeoutsFor(const member& aMember) const;

private:
  // A change of one member and the number of periods in which it is still sent.
  struct member_update
  {
    process_id mProcess;
    bool mLost = false;
    std::size_t mPeriodsLeft = 0;
  };
  using update_list = std::vector<member_update>;

  static void AddUpdates(const update_list& aUpdates, heartbeat& aHeartbeat);
  static void AgeUpdates(update_list& aUpdates);
  void PlanFullMesh(const heartbeat& aOwn,
                    std::vector<planned_heartbeat>& aPlan) const;
  void PlanLocal(const heartbeat& aOwn,
                 std::vector<planned_heartbeat>& aPlan) const;
  void PlanFullUpdates(const heartbeat& aOwn,
                       std::vector<planned_heartbeat>& aPlan);
  void PlanRelay(const heartbeat& aOwn, std::vector<planned_heartbeat>& aPlan);
  std::optional<vm_id> RemoteRelay(const data_centre_id& aDataCentre) const;
  void AddRotatingMembers(heartbeat& aHeartbeat) const;
  void AddLocalMembers(heartbeat& aHeartbeat) const;
  std::vector<process_id> LiveRemoteMembers() const;

  const blackboard& mBoard;
  std::chrono::milliseconds mPeriod;
  std::uint64_t mTick = 0;
  bool mIsRelay = false;
  // The other routers of this data centre, sorted by VM.
  std::vector<vm_id> mLocalRouters;
  // Periods between two heartbeats from one router of this data centre to
  // another.
  std::size_t mLocalPeriods = 1;
  update_list mLocalUpdates;
  update_list mRelayUpdates;
  std::set<vm_id> mNewMembers;
  // Data centres that receive all members of this one in this period.
  std::set<data_centre_id> mFullRelayDue;
};

// Returns the relay of a data centre as this router sees it, or nothing if
// aBoard lists no live or joining router there.
std::optional<vm_id> RelayOf(const data_centre_id& aDataCentre,
                             const blackboard& aBoard);

} // namespace sapphirespar::membership
