// Applies lists of upstreams and counts load.
#include "sapphirespar/gateway/upstream_directory.hpp"

#include "sapphirespar/base/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>
#include <string>
#include <utility>

namespace sapphirespar::gateway {
namespace {

// How long an engine is assumed to cache a shared segment that is not used.
constexpr std::chrono::seconds kSegmentExpiry{ 30 };

// Bounds the memory for the segments of one upstream.
constexpr std::size_t kMaximumSegments = 1024;

// Number of leaving incarnations that other gateways are told of.
constexpr std::size_t kSentLeaving = 64;

// Number of removed incarnations that are remembered.
constexpr std::size_t kMaximumFormer = 1024;

std::uint64_t
KeyOf(const upstream_entry& aEntry)
{
  return XXH3_64bits_withSeed(aEntry.mId.mText.data(),
                              aEntry.mId.mText.size(),
                              static_cast<std::uint64_t>(aEntry.mStartedAtMs));
}

std::uint32_t
Rounded(double aNumber)
{
  return static_cast<std::uint32_t>(std::lround(std::max(aNumber, 0.0)));
}

} // namespace

std::uint64_t
PoolKey(std::string_view aPool)
{
  return XXH3_64bits(aPool.data(), aPool.size());
}

void
prefix_cache_estimate::Add(std::span<const prompt_segment> aSegments,
                           steady_time aNow)
{
  if (mAddedAt.size() + aSegments.size() > kMaximumSegments) {
    std::erase_if(mAddedAt, [&](const auto& aItem) {
      return aNow - aItem.second > kSegmentExpiry;
    });
  }
  if (mAddedAt.size() + aSegments.size() > kMaximumSegments) {
    mAddedAt.clear();
  }
  for (const auto& segment :
       aSegments.first(std::min(aSegments.size(), kMaximumSegments))) {
    mAddedAt[segment.mId] = aNow;
  }
}

double
prefix_cache_estimate::CachedTokens(std::span<const prompt_segment> aSegments,
                                    steady_time aNow) const
{
  const auto isCached = [&](const prompt_segment& aSegment) {
    const auto found = mAddedAt.find(aSegment.mId);
    return found != mAddedAt.end() && aNow - found->second <= kSegmentExpiry;
  };
  const auto end = std::ranges::find_if_not(aSegments, isCached);
  return std::accumulate(
    aSegments.begin(), end, 0.0, [](double aSum, const auto& aSegment) {
      return aSum + aSegment.mTokens;
    });
}

load_reservation::load_reservation(upstream_ptr aUpstream,
                                   const policy::upstream_load& aLoad)
  : mUpstream(std::move(aUpstream))
  , mLoad(aLoad)
{
  mUpstream->mOwnLoad += mLoad;
}

load_reservation::~load_reservation()
{
  mUpstream->mOwnLoad -= mLoad;
}

void
load_reservation::OnFirstEvent()
{
  policy::upstream_load prefilled;
  prefilled.mUrgentTokens = mLoad.mUrgentTokens;
  prefilled.mOtherTokens = mLoad.mOtherTokens;
  mUpstream->mOwnLoad -= prefilled;
  mLoad -= prefilled;
}

directory_change
upstream_directory::ApplyList(std::span<const upstream_entry> aEntries,
                              list_completeness aCompleteness)
{
  directory_change change;
  std::set<upstream_id> changedIds;
  std::set<upstream_id> listed;
  const bool restored = aCompleteness == list_completeness::Restored ||
                        aCompleteness == list_completeness::RestoredComplete;
  const auto isRemoved = [&](std::uint64_t aKey) {
    return FindFormer(aKey) != mFormer.end();
  };
  for (auto entry : aEntries) {
    const auto key = KeyOf(entry);
    listed.insert(entry.mId);
    if ((restored || entry.mMissing) && isRemoved(key)) {
      continue;
    }
    auto& known = mUpstreams[entry.mId];
    if (restored && known && known->mKey == key) {
      entry.mDraining = entry.mDraining || known->mEntry.mDraining;
    }
    if (known && known->mKey == key) {
      if (entry.mDraining && !known->mEntry.mDraining) {
        change.mDraining.push_back(entry.mId);
      }
      if (known->mEntry != entry) {
        changedIds.insert(entry.mId);
        known->mEntry = entry;
      }
      continue;
    }
    changedIds.insert(entry.mId);
    if (known) {
      change.mRemoved.push_back(entry.mId);
      KeepFormer(std::move(known));
    }
    known = MakeUpstream(entry, key);
    change.mAdded.push_back(entry.mId);
  }
  std::vector<upstream_id> missing;
  for (const auto& [id, known] : mUpstreams) {
    const bool partial = aCompleteness == list_completeness::PossiblyPartial ||
                         aCompleteness == list_completeness::Restored;
    const bool mayReturn = partial && !known->mEntry.mDraining;
    if (listed.contains(id)) {
      continue;
    }
    known->mEntry.mMissing = true;
    if (!mayReturn) {
      missing.push_back(id);
    }
  }
  std::ranges::for_each(missing,
                        [&](const upstream_id& aId) { Remove(aId, change); });
  changedIds.insert(missing.begin(), missing.end());
  RecordStep(std::move(changedIds));
  return change;
}

directory_change
upstream_directory::ApplyFormer(std::span<const upstream_entry> aEntries,
                                std::span<const std::uint64_t> aFormer)
{
  directory_change change;
  std::set<upstream_id> changedIds;
  for (const auto& entry : aEntries) {
    const auto found = mUpstreams.find(entry.mId);
    if (entry.mDraining && found != mUpstreams.end() &&
        found->second->mKey == KeyOf(entry) &&
        !found->second->mEntry.mDraining) {
      found->second->mEntry.mDraining = true;
      changedIds.insert(entry.mId);
      change.mDraining.push_back(entry.mId);
    }
  }
  for (const auto key : aFormer) {
    const auto listed = std::ranges::find_if(
      mUpstreams, [&](const auto& aItem) { return aItem.second->mKey == key; });
    if (listed != mUpstreams.end()) {
      changedIds.insert(listed->first);
      Remove(listed->first, change);
    } else if (FindFormer(key) == mFormer.end()) {
      auto former = std::make_shared<upstream>();
      former->mKey = key;
      KeepFormer(std::move(former));
    }
  }
  RecordStep(std::move(changedIds));
  return change;
}

std::deque<upstream_ptr>::iterator
upstream_directory::FindFormer(std::uint64_t aKey)
{
  return std::ranges::find_if(mFormer, [aKey](const upstream_ptr& aUpstream) {
    return aUpstream->mKey == aKey;
  });
}

upstream_ptr
upstream_directory::MakeUpstream(const upstream_entry& aEntry,
                                 std::uint64_t aKey)
{
  const auto former = FindFormer(aKey);
  auto result = std::make_shared<upstream>();
  if (former != mFormer.end()) {
    result = std::move(*former);
    mFormer.erase(former);
  }
  result->mEntry = aEntry;
  result->mKey = aKey;
  result->mRemoved = false;
  return result;
}

void
upstream_directory::KeepFormer(upstream_ptr aUpstream)
{
  aUpstream->mRemoved = true;
  aUpstream->mPrefixCache = {};
  mFormer.push_back(std::move(aUpstream));
  if (mFormer.size() > kMaximumFormer) {
    mFormer.pop_front();
  }
}

void
upstream_directory::Remove(upstream_id aId, directory_change& aChange)
{
  const auto found = mUpstreams.find(aId);
  KeepFormer(std::move(found->second));
  mUpstreams.erase(found);
  aChange.mRemoved.push_back(std::move(aId));
}

void
upstream_directory::NoteLeaving(std::uint64_t aKey, std::string_view aSource)
{
  if (std::ranges::find(mLeaving, aKey) != mLeaving.end()) {
    return;
  }
  const auto hasKey = [aKey](const auto& aItem) {
    return aItem.second->mKey == aKey;
  };
  const auto found = std::ranges::find_if(mUpstreams, hasKey);
  if (found == mUpstreams.end() || found->second->mLeaving) {
    return;
  }
  found->second->mLeaving = true;
  mLeaving.push_back(aKey);
  if (mLeaving.size() > kSentLeaving) {
    mLeaving.pop_front();
  }
  LogEvent(log_level::Info,
           "upstream_leaving",
           { { "upstream", found->first.mText }, { "source", aSource } });
}

std::vector<std::uint64_t>
upstream_directory::Leaving() const
{
  std::vector<std::uint64_t> listed;
  if (mLeaving.empty()) {
    return listed;
  }
  for (const auto& [id, known] : mUpstreams) {
    if (std::ranges::find(mLeaving, known->mKey) != mLeaving.end()) {
      listed.push_back(known->mKey);
    }
  }
  return listed;
}

upstream_ptr
upstream_directory::Find(std::uint64_t aKey) const
{
  const auto found =
    std::ranges::find_if(mUpstreams, [aKey](const auto& aItem) {
      return aItem.second->mKey == aKey;
    });
  return found == mUpstreams.end() ? nullptr : found->second;
}

std::optional<upstream_id>
upstream_directory::NameOf(std::uint64_t aKey) const
{
  const auto found = Find(aKey);
  return found ? std::optional(found->mEntry.mId) : std::nullopt;
}

void
upstream_directory::SetPeerLoads(
  const std::unordered_map<std::uint64_t, policy::upstream_load>& aLoads)
{
  for (const auto& [id, known] : mUpstreams) {
    const auto found = aLoads.find(known->mKey);
    known->mPeerLoad =
      found == aLoads.end() ? policy::upstream_load{} : found->second;
  }
}

std::vector<upstream_ptr>
upstream_directory::Members() const
{
  std::vector<upstream_ptr> members;
  for (const auto& [id, known] : mUpstreams) {
    if (known->TakesWork()) {
      members.push_back(known);
    }
  }
  return members;
}

std::vector<upstream_ptr>
upstream_directory::Members(std::string_view aPool) const
{
  std::vector<upstream_ptr> members;
  for (const auto& [id, known] : mUpstreams) {
    if (known->mEntry.mPool == aPool && known->TakesWork()) {
      members.push_back(known);
    }
  }
  return members;
}

policy::engine_demand
upstream_directory::SlotDemand() const
{
  policy::engine_demand held;
  for (const auto& [id, known] : mUpstreams) {
    auto load = known->mOwnLoad;
    load += known->mPeerLoad;
    // Only engines have a load of memory; plain services occupy no engine
    // slots.
    if (load.mMemoryTokens > 0 && known->mEntry.mSlots > 0) {
      const auto slots = static_cast<double>(known->mEntry.mSlots);
      held.mInteractive.mSlots += load.mInteractive / slots;
      held.mBulk.mSlots += (load.mRunning - load.mInteractive) / slots;
    }
  }
  return held;
}

std::vector<gossip_load>
upstream_directory::OwnLoads() const
{
  std::vector<gossip_load> loads;
  for (const auto& [id, known] : mUpstreams) {
    const auto& own = known->mOwnLoad;
    if (!own.Empty()) {
      loads.push_back({ known->mKey,
                        Rounded(own.mUrgentTokens),
                        Rounded(own.mOtherTokens),
                        Rounded(own.mMemoryTokens),
                        Rounded(own.mRunning),
                        Rounded(own.mInteractive) });
    }
  }
  return loads;
}

} // namespace sapphirespar::gateway
