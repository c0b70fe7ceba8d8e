// Keeps the state of all routers in blackboard.mMembers. Merges three sources:
// the platform's VM list, which is complete but lags; heartbeats, which show
// which routers are live; and this router's own settings.
//
// A suspect or dead member has not provably ended. It may only be paused or
// partitioned, and becomes live when it is heard again.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace sapphirespar::membership {

// How long a member may send nothing before its state changes.
struct liveness_timeouts
{
  std::chrono::milliseconds mSuspectAfter{ 3500 };
  std::chrono::milliseconds mDeadAfter{ 10000 };
  // A member that the platform does not list is removed after this time at the
  // latest; a dead one is removed with the next VM list.
  std::chrono::milliseconds mRemoveAfter{ 600000 };
};

// After a failed connection a member stays suspect for at least this long, even
// if its heartbeats arrive, because the network may fail in one direction only.
inline constexpr std::chrono::seconds kMinUnreachableTime{ 6 };

class member_table
{
public:
  // aSelf describes this router. It is added as a live member.
  member_table(blackboard& aBoard, member aSelf);
  ~member_table();
  member_table(const member_table&) = delete;
  member_table& operator=(const member_table&) = delete;

  // Applies a new VM list from the platform. Removes unlisted members that are
  // joining or dead; others stay as long as they are heard.
  void ApplyList(std::span<const vm_listing> aVms, steady_time aNow);

  // Applies a heartbeat. Returns false if it is stale (an earlier incarnation,
  // or a sequence number that is not higher) or from this router.
  bool ApplyHeartbeat(const heartbeat& aHeartbeat, steady_time aNow);

  // Applies a report that a router in the member's data centre hears from it.
  // Returns false for an unknown VM.
  bool ApplyHeardReport(const process_id& aProcess, steady_time aNow);

  // Applies a report that a router in the member's data centre no longer hears
  // from it.
  void ApplyLostReport(const process_id& aProcess, steady_time aNow);

  // Applies the failure of a new connection to the member.
  void ApplyUnreachable(const vm_id& aVm, steady_time aNow);

  // Restarts the timeouts of all members. Called after a time in which this
  // router could not receive heartbeats.
  void RestartTimeouts(steady_time aNow);

  // Updates this router's own entry from its heartbeat.
  void UpdateSelf(const heartbeat& aOwn, steady_time aNow);

  // Restarts the timeouts of the live members of aDataCentre, after its relay
  // has reported what changed there.
  void RefreshLiveMembers(const data_centre_id& aDataCentre, steady_time aNow);

  // Marks members as suspect or dead whose timeouts have passed, and removes
  // unlisted ones after mRemoveAfter. aTimeouts returns the timeouts of a
  // member. Returns the members that were live before this call and no longer
  // are.
  using timeouts_function = std::function<liveness_timeouts(const member&)>;
  std::vector<member> Tick(const timeouts_function& aTimeouts,
                           steady_time aNow);

  // Increases whenever a member is added or removed or changes its state or
  // process.
  std::uint64_t Revision() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::membership
