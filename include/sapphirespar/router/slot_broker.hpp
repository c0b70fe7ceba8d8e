// Slots across routers. Each upstream has one home, which queues requests for
// it and counts what it has granted; the router where a request entered asks a
// home for a slot, runs the request itself and gives the slot back.
//
// Both sides are in this class: pure logic on the control thread, which sends
// through peer_network and runs under virtual time. What can go wrong:
// - A home does not answer: another one is asked, and after that an upstream is
//   chosen directly, the better of two at random by its reported load.
// - A home dies or restarts: waiting requests are put to another home; those
//   that run go on, and their slots are made known to the new home.
// - A holder dies or restarts: its homes take back what it held.
// - Any one message is lost: the asking side repeats its request, and a home
//   that has not heard of a grant for long asks whether it is still held.
// - Two routers think they are home: each may grant every slot, so for the time
//   they disagree an upstream gets at most twice its slots.
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

// An upstream to run the request at, or the final answer.
using slot_outcome = std::variant<upstream_id, refusal>;
using slot_callback = std::function<void(slot_outcome)>;

struct slot_broker_settings
{
  // A home that has not answered by then is passed over.
  std::chrono::milliseconds mOwnerTimeout{ 200 };
  // A waiting request is put to its home again this often.
  std::chrono::milliseconds mRenewPeriod{ 1000 };
  // A home forgets a waiting request that has not been renewed for this long.
  std::chrono::milliseconds mWaitingExpiry{ 5000 };
  // A home asks after a grant that it has not heard of for this long.
  std::chrono::milliseconds mGrantCheckPeriod{ 15000 };
  // Homes asked before an upstream is chosen directly.
  unsigned mOwnerTries = 2;
};

struct slot_broker_hooks
{
  // Pauses or resumes a request that this router runs.
  std::function<void(const policy::pause_order&)> mPause;
  // Returns a random number; never empty.
  std::function<std::uint64_t()> mRandom;
};

// Totals since the start.
struct slot_broker_counts
{
  std::uint64_t mGranted = 0;
  std::uint64_t mRefused = 0;
  // Homes that were passed over because they did not answer or were lost.
  std::uint64_t mOwnerFailovers = 0;
  // Upstreams chosen without a home.
  std::uint64_t mDirectChoices = 0;
  // Slots taken back from holders that died or restarted.
  std::uint64_t mReclaimed = 0;
};

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

  // Takes over the bundle in force.
  void Configure(bundle_ptr aBundle);

  // Replaces every upstream that may get work, homed here or not.
  void SetUpstreams(std::span<const policy::upstream_view> aUpstreams);

  // The board's members have changed.
  void OnMembersChanged();

  // Asks for a slot. aDone is called once, perhaps before this returns. After
  // an upstream has been given, Finish must follow.
  void Acquire(policy::queued_request aRequest, slot_callback aDone);

  // The caller of a waiting request has gone: aDone will not be called.
  void Withdraw(const request_id& aRequest);

  // A request that was given an upstream has left it.
  void Finish(const policy::completion& aCompletion);

  // Takes over a message about slots; false for any other kind.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  // Call every 50 ms or so: repeats, passes over, checks and reclaims.
  void Tick();

  // What the homes kept here can take, for heartbeats.
  std::vector<pool_load> Loads() const;

  const slot_broker_counts& Counts() const;

  struct state;

private:
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
