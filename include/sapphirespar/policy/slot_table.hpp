// Which upstream has how many slots, and which request holds one of them.
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

// One upstream and what it has been given here.
struct slot_state
{
  upstream_view mView;
  // Requests that run here now; paused ones do not count.
  unsigned mRunning = 0;
  unsigned mPaused = 0;
  // Those of both that may not run twice.
  unsigned mRunsOnce = 0;
  // False once the owner no longer names it; an unnamed upstream goes at
  // the next change of upstreams after its last request.
  bool mNamed = true;
};

// A request that has been given to an upstream and has not finished.
struct slot_holder
{
  queued_request mRequest;
  slot_state* mUpstream = nullptr;
  steady_time mStarted{};
  // When it got the slot that it has now: at its start or its last resumption.
  steady_time mRunningSince{};
  bool mPaused = false;
  // Only meaningful while paused.
  steady_time mPausedAt{};
  // Sum of all pauses that have ended.
  steady_duration mPausedTime{};

  // Time for which it has really run until aNow.
  steady_duration Held(steady_time aNow) const;
};

// Slots that can be taken now. Foreign load never hides the last one, so that
// a stale report cannot shut an upstream off.
unsigned FreeSlots(const slot_state& aState);

// Whether the upstream's state lets it take new work, free slots or not.
bool TakesWork(const slot_state& aState);

// Whether aRequest may run there, free slots or not.
bool MayServe(const slot_state& aState, const queued_request& aRequest);

// Whether one of its running requests may be paused for another one to start:
// that adds no load, so foreign work does not count.
bool MaySwap(const slot_state& aState);

using slot_members = std::vector<slot_state*>;

class slot_table
{
public:
  using holders = std::unordered_map<request_id, slot_holder>;

  void SetUpstreams(std::span<const upstream_view> aUpstreams);

  // The named upstreams of a pool in order of their identifiers.
  std::span<slot_state* const> Members(std::string_view aPool) const;

  // Whether any upstream could ever run the request as things stand.
  bool CanServe(const queued_request& aRequest) const;

  // Gives a slot of aUpstream, which is created without slots if unknown.
  void Take(queued_request aRequest,
            const upstream_id& aUpstream,
            steady_time aNow);

  // Takes the slot back and returns who held it; nothing if nobody did.
  std::optional<slot_holder> Release(const request_id& aRequest);

  // A paused request keeps its place at the upstream but frees the slot.
  void SetPaused(slot_holder& aHolder, bool aPaused, steady_time aNow);

  // Returns null if the request holds nothing.
  slot_holder* Find(const request_id& aRequest);

  const holders& Holders() const { return mHolders; }

  // The paused requests of an upstream, the one due first at the front.
  std::vector<slot_holder*> PausedAt(const slot_state& aState);

  // The paused requests of upstreams that are not named any more.
  std::vector<slot_holder*> PausedAtUnnamed();

  // Slots and outstanding requests of each pool; nothing is queued here.
  std::vector<scheduler_counts> Counts() const;

private:
  void IndexPools();

  // Node-based, so that holders can point at their upstream.
  std::map<upstream_id, slot_state> mUpstreams;
  std::map<std::string, slot_members, std::less<>> mPools;
  holders mHolders;
};

} // namespace sapphirespar::policy
