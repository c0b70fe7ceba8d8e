// Keeps the member table current: sends heartbeats, reads the platform's VM
// list, applies liveness timeouts, and detects pauses of this process.
//
// With up to kMaxFullMeshMembers routers, every router sends a heartbeat to
// every other one each period. With more, each router sends heartbeats to a few
// routers of its data centre in rotation. One relay per data centre, chosen by
// rendezvous hashing, exchanges lists of live members with the other relays and
// reports changes elsewhere to its own data centre.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/membership/member_table.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirespar::membership {

// Maximum number of routers that exchange heartbeats as a full mesh.
inline constexpr std::size_t kMaxFullMeshMembers = 12;

// Time between two reads of the platform's VM list, per known member. The
// interval grows with the list, so the bytes read per second do not.
inline constexpr std::chrono::milliseconds kListPeriodPerMember{ 400 };

// Beyond kMaxFullMeshMembers, a heartbeat contains at most this many accounts,
// those with the highest demand.
inline constexpr std::size_t kMaxDemandsPerHeartbeat = 6;

struct membership_settings
{
  std::chrono::milliseconds mHeartbeatPeriod{ 1000 };
  // Shortest time between two reads of the platform's VM list.
  std::chrono::milliseconds mListPeriod{ 3000 };
  // A gap of at least this length between two ticks counts as a pause of this
  // process.
  std::chrono::milliseconds mPauseThreshold{ 3000 };
  // This router's process, data centre and address.
  member mSelf;
};

// Functions that the controller calls; each may be empty.
struct membership_hooks
{
  // Return this router's pool loads and account demands for its heartbeats.
  std::function<std::vector<pool_load>()> mPools;
  std::function<std::vector<account_demand>()> mDemands;
  // Called after a member was added or removed or changed its state or process.
  std::function<void()> mChanged;
  // Called after this process was paused for the given time. Leases and other
  // rights may have expired meanwhile and must be checked before use.
  std::function<void(steady_duration)> mPaused;
};

class membership_controller
{
public:
  membership_controller(blackboard& aBoard,
                        platform_api& aPlatform,
                        peer_network& aPeers,
                        timer_service& aTimers,
                        membership_settings aSettings,
                        membership_hooks aHooks);
  ~membership_controller();
  membership_controller(const membership_controller&) = delete;
  membership_controller& operator=(const membership_controller&) = delete;

  // Handles a heartbeat from a peer.
  void OnHeartbeat(const heartbeat& aHeartbeat);

  // Handles the failure of a new connection to a peer.
  void OnUnreachable(const vm_id& aVm);

  // Notifies the other routers at once that this router is leaving: all of them
  // in a full mesh, otherwise those of its data centre.
  void Leave();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::membership
