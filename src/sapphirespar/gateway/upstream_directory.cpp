// Keeps upstreams by their entries in the store.
#include "sapphirespar/gateway/upstream_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <string>

namespace sapphirespar::gateway {
namespace {

// How long an engine is believed to keep a shared part that nobody uses.
constexpr std::chrono::seconds kPromptKept{ 30 };

// Bounds the memory for shared parts of one upstream.
constexpr std::size_t kMostPrompts = 1024;

// Steps that are remembered for others who are behind. While a service is
// replaced there are some a second.
constexpr std::size_t kMostSteps = 64;

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

void
prompt_memory::Add(std::uint64_t aKey, steady_time aNow)
{
  if (mReadAt.size() >= kMostPrompts) {
    std::erase_if(mReadAt, [&](const auto& aItem) {
      return aNow - aItem.second > kPromptKept;
    });
  }
  if (mReadAt.size() >= kMostPrompts) {
    mReadAt.clear();
  }
  mReadAt[aKey] = aNow;
}

bool
prompt_memory::Holds(std::uint64_t aKey, steady_time aNow) const
{
  const auto found = mReadAt.find(aKey);
  return found != mReadAt.end() && aNow - found->second <= kPromptKept;
}

work_ticket::work_ticket(upstream_ptr aUpstream,
                         const policy::upstream_load& aLoad)
  : mUpstream(std::move(aUpstream))
  , mLoad(aLoad)
{
  mUpstream->mOwn += mLoad;
}

work_ticket::~work_ticket()
{
  mUpstream->mOwn -= mLoad;
}

void
work_ticket::FirstEvent()
{
  policy::upstream_load read;
  read.mUrgentTokens = mLoad.mUrgentTokens;
  read.mOtherTokens = mLoad.mOtherTokens;
  mUpstream->mOwn -= read;
  mLoad -= read;
}

directory_change
upstream_directory::ApplyList(std::span<const upstream_entry> aEntries,
                              list_trust aTrust)
{
  directory_change change;
  step made{ mDigest, {} };
  std::set<upstream_id> listed;
  for (const auto& entry : aEntries) {
    listed.insert(entry.mId);
    auto& known = mUpstreams[entry.mId];
    const auto key = KeyOf(entry);
    if (known && known->mKey == key) {
      if (entry.mDraining && !known->mEntry.mDraining) {
        change.mDraining.push_back(entry.mId);
      }
      if (known->mEntry != entry) {
        made.mTouched.insert(entry.mId);
        known->mEntry = entry;
      }
      continue;
    }
    made.mTouched.insert(entry.mId);
    if (known) {
      known->mGone = true;
      change.mGone.push_back(entry.mId);
    }
    known = std::make_shared<upstream>();
    known->mEntry = entry;
    known->mKey = key;
    change.mAdded.push_back(entry.mId);
  }
  std::vector<upstream_id> missing;
  for (const auto& [id, known] : mUpstreams) {
    const bool mayReturn =
      aTrust == list_trust::JustBack && !known->mEntry.mDraining;
    if (!listed.contains(id) && !mayReturn) {
      missing.push_back(id);
    }
  }
  std::ranges::for_each(missing,
                        [&](const upstream_id& aId) { Drop(aId, change); });
  made.mTouched.insert(missing.begin(), missing.end());
  mDigest = MakeDigest();
  if (mDigest != made.mFrom) {
    mSteps.push_back(std::move(made));
    if (mSteps.size() > kMostSteps) {
      mSteps.pop_front();
    }
  }
  return change;
}

std::optional<upstream_delta>
upstream_directory::ChangedSince(std::uint64_t aBase) const
{
  upstream_delta delta{ aBase, {}, {} };
  if (aBase == mDigest) {
    return delta;
  }
  std::set<upstream_id> touched;
  for (auto taken = mSteps.rbegin(); taken != mSteps.rend(); ++taken) {
    touched.insert(taken->mTouched.begin(), taken->mTouched.end());
    if (taken->mFrom != aBase) {
      continue;
    }
    for (const auto& id : touched) {
      const auto found = mUpstreams.find(id);
      if (found == mUpstreams.end()) {
        delta.mRemoved.push_back(id);
      } else {
        delta.mChanged.push_back(found->second->mEntry);
      }
    }
    return delta;
  }
  return std::nullopt;
}

std::optional<std::vector<upstream_entry>>
upstream_directory::WithDelta(const upstream_delta& aDelta) const
{
  if (aDelta.mBase != mDigest) {
    return std::nullopt;
  }
  std::map<upstream_id, upstream_entry> entries;
  for (const auto& [id, known] : mUpstreams) {
    entries.emplace(id, known->mEntry);
  }
  for (const auto& id : aDelta.mRemoved) {
    entries.erase(id);
  }
  for (const auto& entry : aDelta.mChanged) {
    entries.insert_or_assign(entry.mId, entry);
  }
  std::vector<upstream_entry> list;
  std::ranges::transform(entries,
                         std::back_inserter(list),
                         [](const auto& aItem) { return aItem.second; });
  return list;
}

void
upstream_directory::Drop(upstream_id aId, directory_change& aChange)
{
  const auto found = mUpstreams.find(aId);
  found->second->mGone = true;
  mUpstreams.erase(found);
  aChange.mGone.push_back(std::move(aId));
}

std::vector<upstream_entry>
upstream_directory::Entries() const
{
  std::vector<upstream_entry> entries;
  std::ranges::transform(
    mUpstreams, std::back_inserter(entries), [](const auto& aItem) {
      return aItem.second->mEntry;
    });
  return entries;
}

std::uint64_t
upstream_directory::MakeDigest() const
{
  std::uint64_t digest = mUpstreams.size();
  for (const auto& [id, known] : mUpstreams) {
    const auto& entry = known->mEntry;
    const std::string text = entry.mPool + ' ' + entry.mAddress + ' ' +
                             std::to_string(entry.mPort) + ' ' +
                             std::to_string(entry.mSlots) + ' ' +
                             std::to_string(static_cast<int>(entry.mDraining));
    digest =
      XXH3_64bits_withSeed(text.data(), text.size(), digest ^ known->mKey);
  }
  return digest;
}

void
upstream_directory::SetOthers(
  const std::unordered_map<std::uint64_t, policy::upstream_load>& aLoads)
{
  for (const auto& [id, known] : mUpstreams) {
    const auto found = aLoads.find(known->mKey);
    known->mOthers =
      found == aLoads.end() ? policy::upstream_load{} : found->second;
  }
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
upstream_directory::SlotsHeld() const
{
  policy::engine_demand held;
  for (const auto& [id, known] : mUpstreams) {
    auto load = known->mOwn;
    load += known->mOthers;
    // Only prompts need memory: plain services hold no slots of engines.
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
    const auto& own = known->mOwn;
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
