// The upstreams that a gateway knows, the work that it and other gateways have
// on each, and what it has seen of them.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/routing.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/upstream_load.hpp"
#include "sapphirespar/policy/upstream_record.hpp"

#include <map>
#include <memory>
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
  policy::upstream_record mRecord;
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

  std::size_t Size() const { return mUpstreams.size(); }

private:
  void Drop(upstream_id aId, directory_change& aChange);
  std::uint64_t MakeDigest() const;

  std::map<upstream_id, upstream_ptr> mUpstreams;
  // Of mUpstreams as they are now.
  std::uint64_t mDigest = 0;
};

} // namespace sapphirespar::gateway
