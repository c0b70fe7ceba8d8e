// Tracks the slots of each upstream and the requests that hold them.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

// One upstream and the requests that this scheduler has assigned to it.
struct slot_state
{
  upstream_view mView;
  // Requests that run now, not counting paused ones.
  unsigned mRunning = 0;
  unsigned mPaused = 0;
  // Running and paused requests that must not run twice.
  unsigned mRunsOnce = 0;
  // Whether the last SetUpstreams contained the upstream. An unlisted upstream
  // is removed by the first SetUpstreams after its last request has ended.
  bool mListed = true;
};

// A request that has been assigned to an upstream and has not finished.
struct slot_holder
{
  queued_request mRequest;
  slot_state* mUpstream = nullptr;
  steady_time mStarted{};
  // Time of the start or the last resumption.
  steady_time mRunningSince{};
  bool mPaused = false;
  // Only valid while paused.
  steady_time mPausedAt{};
  // Sum of all pauses that have ended.
  steady_duration mPausedTime{};

  // Returns the time since the start, not counting pauses.
  steady_duration HeldTime(steady_time aNow) const;
};

// Returns the slots that can be taken now. External load never takes the last
// slot, so that a stale report cannot block an upstream.
unsigned FreeSlots(const slot_state& aState);

// Returns whether the upstream's state allows new requests, regardless of free
// slots.
bool TakesWork(const slot_state& aState);

// Returns whether aRequest may run there, regardless of free slots.
bool MayServe(const slot_state& aState, const queued_request& aRequest);

// Returns whether a running request may be paused so that another one can
// start. This adds no load, so external load does not count.
bool CanPreempt(const slot_state& aState);

using slot_members = std::vector<slot_state*>;

class slot_table
{
public:
  using holders = std::unordered_map<request_id, slot_holder>;

  void SetUpstreams(std::span<const upstream_view> aUpstreams);

  // Returns the listed upstreams of a pool in order of their identifiers.
  std::span<slot_state* const> Members(std::string_view aPool) const;

  // Returns whether any listed upstream can run the request now or later.
  bool CanServe(const queued_request& aRequest) const;

  // Assigns a slot of aUpstream. An unknown upstream is added without slots.
  void Take(queued_request aRequest,
            const upstream_id& aUpstream,
            steady_time aNow);

  // Frees the slot and returns its former holder; nothing if the request held
  // no slot.
  std::optional<slot_holder> Release(const request_id& aRequest);

  // A paused request stays at the upstream but frees its slot.
  void SetPaused(slot_holder& aHolder, bool aPaused, steady_time aNow);

  // Returns null if the request is not at any upstream.
  slot_holder* Find(const request_id& aRequest);

  const holders& Holders() const { return mHolders; }

  // Returns the paused requests of an upstream, earliest deadline first.
  std::vector<slot_holder*> PausedAt(const slot_state& aState);

  // Returns the paused requests of all unlisted upstreams.
  std::vector<slot_holder*> PausedAtUnlisted();

  // Returns the slots and outstanding requests of each pool; mQueued is zero.
  std::vector<scheduler_counts> Counts() const;

private:
  void IndexPools();

  // Node-based because holders point to their upstream.
  std::map<upstream_id, slot_state> mUpstreams;
  std::map<std::string, slot_members, std::less<>> mPools;
  holders mHolders;
};

} // namespace sapphirespar::policy
