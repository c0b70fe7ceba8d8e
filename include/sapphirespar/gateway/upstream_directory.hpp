// The upstreams that a gateway knows, the work that it and other gateways have
// on each, and what it has seen of them.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/routing.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/passive_health.hpp"
#include "sapphirespar/policy/upstream_load.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::gateway {

// Shared parts of prompts that an upstream has read lately.
class prompt_memory
{
public:
  void Add(std::uint64_t aKey, steady_time aNow);
  bool Holds(std::uint64_t aKey, steady_time aNow) const;

private:
  std::unordered_map<std::uint64_t, steady_time> mReadAt;
};

// One life of one upstream.
struct upstream
{
  upstream_entry mEntry;
  // Names this life to all gateways alike.
  std::uint64_t mKey = 0;
  // No longer listed; requests that run there end by themselves.
  bool mGone = false;
  policy::upstream_load mOwn;
  policy::upstream_load mOthers;
  policy::passive_health mHealth;
  prompt_memory mPrompts;

  bool TakesWork() const { return !mGone && !mEntry.mDraining; }
};

using upstream_ptr = std::shared_ptr<upstream>;

// The load that one request puts on an upstream, for as long as it lives.
class work_ticket
{
public:
  work_ticket(upstream_ptr aUpstream, const policy::upstream_load& aLoad);
  ~work_ticket();
  work_ticket(const work_ticket&) = delete;
  work_ticket& operator=(const work_ticket&) = delete;

  // The prompt has been read.
  void FirstEvent();

private:
  upstream_ptr mUpstream;
  policy::upstream_load mLoad;
};

// What a list may say of upstreams that are not on it.
enum class list_trust
{
  // They are gone.
  Whole,
  // They may have lapsed while the store was away, and may come back.
  JustBack,
};

struct directory_change
{
  std::vector<upstream_id> mAdded;
  std::vector<upstream_id> mDraining;
  std::vector<upstream_id> mGone;

  bool Empty() const
  {
    return mAdded.empty() && mDraining.empty() && mGone.empty();
  }
};

// How one list of upstreams differs from an earlier one.
struct upstream_delta
{
  // Digest of the earlier list.
  std::uint64_t mBase = 0;
  std::vector<upstream_entry> mChanged;
  std::vector<upstream_id> mRemoved;
};

class upstream_directory
{
public:
  // Takes over a new list.
  directory_change ApplyList(std::span<const upstream_entry> aEntries,
                             list_trust aTrust);

  // Replaces the load that other gateways put on the upstreams, by their keys.
  void SetOthers(
    const std::unordered_map<std::uint64_t, policy::upstream_load>& aLoads);

  // The upstreams of a pool that take new work.
  std::vector<upstream_ptr> Members(std::string_view aPool) const;

  // The engines' worth of slots that the requests of all gateways hold.
  policy::engine_demand SlotsHeld() const;

  // What this gateway tells others of its work.
  std::vector<gossip_load> OwnLoads() const;

  // The entries as they are now, and a number that is the same for directories
  // that lead to the same choices.
  std::vector<upstream_entry> Entries() const;
  std::uint64_t Digest() const { return mDigest; }

  // What has changed since the entries had the digest aBase; nothing if that is
  // not known any more.
  std::optional<upstream_delta> ChangedSince(std::uint64_t aBase) const;

  // The entries with a change applied; nothing unless it builds on them.
  std::optional<std::vector<upstream_entry>> WithDelta(
    const upstream_delta& aDelta) const;

  std::size_t Size() const { return mUpstreams.size(); }

private:
  void Drop(upstream_id aId, directory_change& aChange);
  std::uint64_t MakeDigest() const;

  // The entries went from one digest to the next.
  struct step
  {
    std::uint64_t mFrom = 0;
    std::set<upstream_id> mTouched;
  };

  std::map<upstream_id, upstream_ptr> mUpstreams;
  // The newest steps in order; the last one led to mDigest.
  std::deque<step> mSteps;
  // Of mUpstreams as they are now.
  std::uint64_t mDigest = 0;
};

} // namespace sapphirespar::gateway
