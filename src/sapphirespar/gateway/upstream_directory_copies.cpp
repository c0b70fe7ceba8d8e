// Makes digests, deltas and other copies of the upstreams for other gateways.
#include "sapphirespar/gateway/upstream_directory.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace sapphirespar::gateway {
namespace {

// Number of changes kept, from which deltas for other gateways are made. While
// a service is being replaced there are several changes a second.
constexpr std::size_t kMaximumSteps = 64;

// Number of removed incarnations that other gateways are told of.
constexpr std::size_t kSentFormer = 64;

} // namespace

void
upstream_directory::RecordStep(std::set<upstream_id> aChangedIds)
{
  const auto before = std::exchange(mDigest, MakeDigest());
  if (mDigest == before) {
    return;
  }
  mSteps.push_back({ before, std::move(aChangedIds) });
  if (mSteps.size() > kMaximumSteps) {
    mSteps.pop_front();
  }
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

std::optional<upstream_delta>
upstream_directory::ChangedSince(std::uint64_t aBase) const
{
  upstream_delta delta{ aBase, {}, {} };
  if (aBase == mDigest) {
    return delta;
  }
  std::set<upstream_id> changedIds;
  for (auto recorded = mSteps.rbegin(); recorded != mSteps.rend(); ++recorded) {
    changedIds.insert(recorded->mChangedIds.begin(),
                      recorded->mChangedIds.end());
    if (recorded->mFrom != aBase) {
      continue;
    }
    for (const auto& id : changedIds) {
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

std::vector<std::uint64_t>
upstream_directory::Former() const
{
  const auto count = std::min(mFormer.size(), kSentFormer);
  std::vector<std::uint64_t> keys;
  std::transform(mFormer.end() - static_cast<std::ptrdiff_t>(count),
                 mFormer.end(),
                 std::back_inserter(keys),
                 [](const upstream_ptr& aUpstream) { return aUpstream->mKey; });
  return keys;
}

std::uint64_t
upstream_directory::MakeDigest() const
{
  std::uint64_t digest = mUpstreams.size();
  for (const auto& [id, known] : mUpstreams) {
    const auto& entry = known->mEntry;
    const std::string text =
      entry.mPool + ' ' + entry.mAddress + ' ' + std::to_string(entry.mPort) +
      ' ' + entry.mDataCentre.mText + ' ' + std::to_string(entry.mSlots) + ' ' +
      std::to_string(static_cast<int>(entry.mDraining)) + ' ' + entry.mSoftware;
    digest =
      XXH3_64bits_withSeed(text.data(), text.size(), digest ^ known->mKey);
  }
  return digest;
}

std::vector<engine_pace_report>
upstream_directory::SlowEngines(
  const std::function<engine_figures(const std::string&)>& aFigures) const
{
  constexpr double kUsPerMs = 1000;
  std::vector<engine_pace_report> reports;
  for (const auto& [id, known] : mUpstreams) {
    const auto step = known->mPace.OwnStepMs();
    // Only those with work of this gateway, whose pace it measures now.
    if (step && !known->mOwnLoad.Empty() &&
        known->mPace.Slowness(aFigures(known->mEntry.mPool)) > 1) {
      reports.push_back(
        { known->mKey, static_cast<std::uint32_t>(kUsPerMs * *step) });
    }
  }
  return reports;
}

void
upstream_directory::NotePaces(std::span<const engine_pace_report> aReports)
{
  constexpr double kMsPerUs = 0.001;
  for (const auto& report : aReports) {
    if (const auto known = Find(report.mUpstream)) {
      known->mPace.AddReport(kMsPerUs * report.mStepUs);
    }
  }
}

} // namespace sapphirespar::gateway
