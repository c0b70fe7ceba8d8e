// Who the other routers are and how they do. Merges three sources into
// blackboard.mMembers: the platform's list says who exists but lags;
// heartbeats say who is well; this router's own settings say who it is itself.
//
// Nothing here proves that a process has ended: a suspect or dead one may only
// be paused or cut off, and lives on if it is heard again.
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

// How long a member may be silent.
struct silence_limits
{
  std::chrono::milliseconds mSuspectAfter{ 3500 };
  std::chrono::milliseconds mDeadAfter{ 10000 };
  // An unlisted member leaves the blackboard after this long.
  std::chrono::milliseconds mForgetAfter{ 600000 };
};

// After a failed connection a member counts as suspect for at least this long,
// even if it is heard: it may be reachable in one direction only.
inline constexpr std::chrono::seconds kUnreachableHold{ 6 };

class member_table
{
public:
  // aSelf describes this router and is kept as a live member.
  member_table(blackboard& aBoard, member aSelf);
  ~member_table();
  member_table(const member_table&) = delete;
  member_table& operator=(const member_table&) = delete;

  // Takes over a new list from the platform. An unlisted member stays for as
  // long as it is heard.
  void ApplyList(std::span<const vm_listing> aVms, steady_time aNow);

  // Takes over a heartbeat. Returns false for one that is older than what is
  // known: of an earlier incarnation or of a lower sequence number.
  bool ApplyHeartbeat(const heartbeat& aHeartbeat, steady_time aNow);

  // Another router, in the member's own data centre, hears from it. Returns
  // false for a vm that is not known.
  bool ApplyHearsay(const process_id& aProcess, steady_time aNow);

  // Another router, in the member's own data centre, has lost it.
  void ApplyLoss(const process_id& aProcess, steady_time aNow);

  // A fresh connection to the member has failed.
  void ApplyUnreachable(const vm_id& aVm, steady_time aNow);

  // Starts to count everyone's silence anew: so far it was this router that
  // did not listen.
  void RestartSilence(steady_time aNow);

  // Replaces what this router says of itself.
  void UpdateSelf(const heartbeat& aOwn, steady_time aNow);

  // The routers of aDataCentre are as they were, says its relay.
  void ApplyUnchanged(const data_centre_id& aDataCentre, steady_time aNow);

  // Judges silence; aLimits may depend on the member. Returns the members that
  // were live until now and no longer are.
  using limits_function = std::function<silence_limits(const member&)>;
  std::vector<member> Tick(const limits_function& aLimits, steady_time aNow);

  // Rises whenever a member appears, goes or changes state or process.
  std::uint64_t Revision() const;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::membership
