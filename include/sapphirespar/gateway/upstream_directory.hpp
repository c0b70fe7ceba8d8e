// The upstreams that a gateway knows, their load from this and from other
// gateways, and their observed health.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/routing.hpp"
#include "sapphirespar/policy/engine_model.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/passive_health.hpp"
#include "sapphirespar/policy/upstream_load.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::gateway {

// Estimates which shared prompt segments an upstream has in its cache: those
// that this gateway sent there recently.
class prefix_cache_estimate
{
public:
  // Records that the upstream has processed the segments.
  void Add(std::span<const prompt_segment> aSegments, steady_time aNow);
  // The tokens of the leading segments that the upstream is likely to have
  // cached. A segment is of use only after all those before it.
  double CachedTokens(std::span<const prompt_segment> aSegments,
                      steady_time aNow) const;

private:
  std::unordered_map<std::uint64_t, steady_time> mAddedAt;
};

// The requests that a gateway may send to an upstream in one period.
struct send_ration
{
  steady_time mPeriodEnd{};
  unsigned mSendsLeft = 0;
  // When the upstream last turned a request away, as far as is known, and the
  // requests that were known to run there then; the epoch if never.
  steady_time mFullAt{};
  double mRunningWhenFull = 0;
  // Whether the last answer of the upstream said that it is brittle; unset
  // before the first one.
  std::optional<bool> mSaysBrittle;
};

// A hash that names a pool; the same at all gateways.
std::uint64_t PoolKey(std::string_view aPool);

// One incarnation of an upstream. A restarted upstream gets a new object.
struct upstream
{
  upstream_entry mEntry;
  // Identifies the incarnation; the same at all gateways.
  std::uint64_t mKey = 0;
  // No longer listed, or replaced by a new incarnation. Requests that run there
  // are not aborted.
  bool mRemoved = false;
  // Load from this gateway's requests.
  policy::upstream_load mOwnLoad;
  // Load from the requests of all other gateways.
  policy::upstream_load mPeerLoad;
  policy::passive_health mHealth;
  prefix_cache_estimate mPrefixCache;
  policy::engine_pace mPace;
  // The upstream has stated that it is shutting down; never reset.
  bool mLeaving = false;
  // When the upstream is taken away, as it has stated; see leave_time.
  std::optional<boot_time> mLeavesAt;
  // How often this gateway has asked for that, and whether it is doing so.
  unsigned mLeaveQueries = 0;
  bool mIsAskedWhenItLeaves = false;
  // The upstream wants no request from this gateway until then.
  steady_time mTurnsAwayUntil{};
  // What this gateway may send while the pool is rationed; see brittle_guard.
  send_ration mRation;

  bool TakesWork() const { return !mRemoved && !mEntry.mDraining && !mLeaving; }
  // The platform has called the upstream back and takes it away soon.
  bool IsReclaimed() const { return mEntry.mPreemptible && !TakesWork(); }
  bool TurnsAway(steady_time aNow) const { return aNow < mTurnsAwayUntil; }
};

using upstream_ptr = std::shared_ptr<upstream>;

// Counts the load of one request on an upstream until it is destroyed.
class load_reservation
{
public:
  load_reservation(upstream_ptr aUpstream, const policy::upstream_load& aLoad);
  ~load_reservation();
  load_reservation(const load_reservation&) = delete;
  load_reservation& operator=(const load_reservation&) = delete;

  // Releases the prompt tokens: the first event shows that the prefill is over.
  void OnFirstEvent();

private:
  upstream_ptr mUpstream;
  policy::upstream_load mLoad;
};

// How upstreams that are missing from a list are treated.
enum class list_completeness
{
  // Missing upstreams are removed.
  Complete,
  // The store was unavailable. Entries of live upstreams may have expired and
  // will be written again, so missing upstreams are kept unless they drain.
  PossiblyPartial,
  // The store was restored from an older copy. Missing upstreams are kept as in
  // a partial list. Upstreams that were removed are not listed again, and
  // draining ones keep draining, as the copy may be older than these changes.
  Restored,
  // Like Restored, but missing upstreams have had time to write their entries.
  RestoredComplete,
};

struct directory_change
{
  std::vector<upstream_id> mAdded;
  // Those that have started to drain.
  std::vector<upstream_id> mDraining;
  std::vector<upstream_id> mRemoved;

  bool Empty() const
  {
    return mAdded.empty() && mDraining.empty() && mRemoved.empty();
  }
};

// The difference between a list of upstreams and an earlier one.
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
  // Replaces the known upstreams by a new list. An incarnation that is listed
  // again keeps what was known of it. One that the sender of a copy only keeps
  // as it may return is not taken if this gateway saw it leave.
  directory_change ApplyList(std::span<const upstream_entry> aEntries,
                             list_completeness aCompleteness);

  // Takes over what another gateway saw before a restore of the store: listed
  // upstreams that it saw drain are draining, and the incarnations aFormer,
  // which it saw leave, are removed and not listed again in the time after the
  // restore.
  directory_change ApplyFormer(std::span<const upstream_entry> aEntries,
                               std::span<const std::uint64_t> aFormer);

  // The latest incarnations that were removed, for other gateways. Limited in
  // number.
  std::vector<std::uint64_t> Former() const;

  // Records that an incarnation has stated that it is shutting down, which it
  // cannot take back. aSource says where from, for the log. Without effect for
  // an unknown one.
  void NoteLeaving(std::uint64_t aKey, std::string_view aSource);

  // The latest incarnations that have said so and are still listed, for other
  // gateways. Limited in number.
  std::vector<std::uint64_t> Leaving() const;

  // Returns a listed incarnation; null if it is not listed.
  upstream_ptr Find(std::uint64_t aKey) const;

  // Returns the id of a listed incarnation; nothing if it is not listed.
  std::optional<upstream_id> NameOf(std::uint64_t aKey) const;

  // Sets the load from other gateways. aLoads is by upstream key; an upstream
  // without an entry has no such load.
  void SetPeerLoads(
    const std::unordered_map<std::uint64_t, policy::upstream_load>& aLoads);

  // All upstreams that accept new requests.
  std::vector<upstream_ptr> Members() const;

  // The upstreams of a pool that accept new requests.
  std::vector<upstream_ptr> Members(std::string_view aPool) const;

  // The slots that the requests of all gateways occupy, in engines. The prefill
  // part of the result is zero.
  policy::engine_demand SlotDemand() const;

  // The engines that this gateway has lately found to be slower than others of
  // their pools, for other gateways; aFigures tells those of a pool.
  std::vector<engine_pace_report> SlowEngines(
    const std::function<engine_figures(const std::string&)>& aFigures) const;

  // Takes what another gateway has found.
  void NotePaces(std::span<const engine_pace_report> aReports);

  // This gateway's load on each upstream, as sent to other gateways.
  std::vector<gossip_load> OwnLoads() const;

  std::vector<upstream_entry> Entries() const;

  // Digest of the entries. Covers only the fields that matter for the choice of
  // an upstream.
  std::uint64_t Digest() const { return mDigest; }

  // The changes since the entries had the digest aBase, or nothing if aBase is
  // not among the digests of the latest changes.
  std::optional<upstream_delta> ChangedSince(std::uint64_t aBase) const;

  // The entries with a change applied, or nothing if the change is not based on
  // the current entries.
  std::optional<std::vector<upstream_entry>> WithDelta(
    const upstream_delta& aDelta) const;

  std::size_t Size() const { return mUpstreams.size(); }

private:
  // Returns the incarnation's position in mFormer, or the end.
  std::deque<upstream_ptr>::iterator FindFormer(std::uint64_t aKey);
  // Returns the former object of the incarnation, or a new one.
  upstream_ptr MakeUpstream(const upstream_entry& aEntry, std::uint64_t aKey);
  void KeepFormer(upstream_ptr aUpstream);
  void Remove(upstream_id aId, directory_change& aChange);
  // Updates the digest and records the change that led to it.
  void RecordStep(std::set<upstream_id> aChangedIds);
  std::uint64_t MakeDigest() const;

  // One change of the entries.
  struct step
  {
    // Digest before the change.
    std::uint64_t mFrom = 0;
    // Upstreams that were added, changed or removed.
    std::set<upstream_id> mChangedIds;
  };

  std::map<upstream_id, upstream_ptr> mUpstreams;
  // Incarnations that were removed, the latest last; limited in number.
  std::deque<upstream_ptr> mFormer;
  // The latest changes in order; the last one led to mDigest.
  std::deque<step> mSteps;
  // Digest of mUpstreams.
  std::uint64_t mDigest = 0;
  // The latest incarnations with mLeaving, the last one at the back.
  std::deque<std::uint64_t> mLeaving;
};

} // namespace sapphirespar::gateway
