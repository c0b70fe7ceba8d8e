// Keeps the member table current: sends heartbeats, reads the platform's list,
// judges silence, and notices when this process itself was paused.
//
// Small systems exchange heartbeats among all routers each second. Beyond
// kFullMeshMembers each router beats to a rotating few of its data centre, and
// one relay per data centre, the rendezvous winner, exchanges who is heard with
// the other relays and tells its own data centre what has changed elsewhere.
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

// Up to this many routers, each beats to every other each period.
inline constexpr std::size_t kFullMeshMembers = 12;

// The platform's list is read less often the longer it is, so that its bytes
// per second stay the same.
inline constexpr std::chrono::milliseconds kListPeriodPerMember{ 400 };

// Beyond kFullMeshMembers a beat names only so many accounts, those that demand
// most.
inline constexpr std::size_t kDemandsPerBeat = 6;

struct membership_settings
{
  std::chrono::milliseconds mHeartbeatPeriod{ 1000 };
  // Shortest time between two reads of the platform's list.
  std::chrono::milliseconds mListPeriod{ 3000 };
  // A gap between two ticks that counts as a pause of this process.
  std::chrono::milliseconds mPauseLimit{ 3000 };
  // Where this router is reached.
  member mSelf;
};

// What the controller asks of others and tells them; each may be empty.
struct membership_hooks
{
  std::function<std::vector<pool_load>()> mPools;
  std::function<std::vector<account_demand>()> mDemands;
  // A member appeared, went or changed its state or process.
  std::function<void()> mChanged;
  // This process stood still for the given time; rights that may have lapsed
  // meanwhile must be read again before they are used.
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

  // Heartbeats from peers arrive here.
  void OnHeartbeat(const heartbeat& aHeartbeat);

  // A fresh connection to a peer has failed.
  void OnUnreachable(const vm_id& aVm);

  // Tells everyone at once that this router is leaving.
  void Leave();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::membership
