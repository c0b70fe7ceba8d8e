// Shares the slots of upstreams among routers.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <variant>
#include <vector>

namespace sapphirespar::router {

// The upstream at which to run the request, or the final refusal.
using slot_outcome = std::variant<upstream_id, refusal>;
using slot_callback = std::function<void(slot_outcome)>;

struct slot_broker_settings
{
  // A holder asks another owner if one has not answered within this time.
  std::chrono::milliseconds mOwnerTimeout{ 200 };
  // Period at which a waiting request is sent to its owner again.
  std::chrono::milliseconds mRenewPeriod{ 1000 };
  // An owner drops a waiting request that has not been sent again for this
  // long.
  std::chrono::milliseconds mWaitingExpiry{ 5000 };
  // An owner that has received nothing about a grant for this long asks the
  // grant's holder whether it is still in use.
  std::chrono::milliseconds mGrantCheckPeriod{ 15000 };
  // Number of owners to ask before an upstream is chosen directly.
  unsigned mOwnerTries = 2;
};

struct slot_broker_hooks
{
  // Pauses or resumes a request that this router runs. May be empty.
  std::function<void(const policy::pause_order&)> mPause;
  // Returns a random number. Must not be empty.
  std::function<std::uint64_t()> mRandom;
};

// Totals since the start.
struct slot_broker_counts
{
  std::uint64_t mGranted = 0;
  std::uint64_t mRefused = 0;
  // Failovers from owners that timed out, died or restarted.
  std::uint64_t mOwnerFailovers = 0;
  // Upstreams that were chosen directly, without a grant of an owner.
  std::uint64_t mDirectChoices = 0;
  // Slots reclaimed from holders that died or restarted.
  std::uint64_t mReclaimed = 0;
};

// Each upstream has one owner, a router that queues requests for it and counts
// the slots that it has granted. The router that received a request, called the
// holder, asks an owner for a slot, runs the request itself and then releases
// the slot.
//
// The class implements both sides. It runs on the control thread, sends only
// through peer_network, and can run under virtual time. It handles these
// failures:
// - An owner does not answer: the holder asks another owner, and then chooses
//   an upstream directly, the less loaded of two random ones by reported load.
// - An owner dies or restarts: the holder sends waiting requests to another
//   owner. Running requests continue, and the holder reports their slots to the
//   new owner.
// - A holder dies or restarts: the owners reclaim its slots.
// - A message is lost: the holder repeats its request, and an owner that has
//   received nothing about a grant for a long time asks whether it is in use.
// - Two routers consider themselves the owner: each may grant every slot, so
//   until they agree an upstream gets at most twice as many requests as slots.
class slot_broker
{
public:
  // aBoard, aPeers and aTimers outlive the broker. It reads the board's members
  // and upstreams and writes nothing there.
  slot_broker(const blackboard& aBoard,
              peer_network& aPeers,
              timer_service& aTimers,
              policy::scheduler_ptr aScheduler,
              slot_broker_settings aSettings,
              slot_broker_hooks aHooks);
  ~slot_broker();
  slot_broker(const slot_broker&) = delete;
  slot_broker& operator=(const slot_broker&) = delete;

  // Replaces the bundle in force.
  void Configure(bundle_ptr aBundle);

  // Replaces the upstreams that may receive requests, whoever owns them.
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams);

  // Must be called when the members on the board have changed.
  void OnMembersChanged();

  // Requests a slot. aDone is called once, possibly before Acquire returns. If
  // aDone receives an upstream, Finish must be called later.
  void Acquire(policy::queued_request aRequest, slot_callback aDone);

  // Cancels a waiting request whose caller has disconnected. Its callback will
  // not be called.
  void Withdraw(const request_id& aRequest);

  // Releases the slot of a request that has left its upstream.
  void Finish(const policy::completion& aCompletion);

  // Handles a message about slots. Returns false for all other messages.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  // Repeats requests, fails over from owners that have timed out, and checks
  // and expires grants. Must be called about every 50 ms.
  void Tick();

  // Returns the load of each pool, summed over the upstreams that this router
  // owns, for heartbeats.
  std::vector<pool_load> Loads() const;

  const slot_broker_counts& Counts() const;

  struct state;

private:
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
