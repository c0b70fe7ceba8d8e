// Lookups and changes of a shard in memory.
#include "claim_cache.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

bool
References(const claim_head& aHead, std::uint64_t aArchive)
{
  return std::ranges::find(
           aHead.mArchives, aArchive, &claim_archive_ref::mNumber) !=
         aHead.mArchives.end();
}

void
SetOutcome(claim_rows& aRows,
           const std::string& aHash,
           const claim_finished& aEnd)
{
  const auto found = aRows.find(aHash);
  if (found != aRows.end() && found->second.mRequest == aEnd.mRequest) {
    found->second.mOutcome = aEnd.mOutcome;
  }
}

} // namespace

const claim_row*
claim_cache::Find(const std::string& aHash) const
{
  const auto inHead = mHead.mRows.find(aHash);
  if (inHead != mHead.mRows.end()) {
    return &inHead->second;
  }
  for (auto item = mArchives.rbegin(); item != mArchives.rend(); ++item) {
    const auto found = item->second.mRows.find(aHash);
    if (found != item->second.mRows.end()) {
      return &found->second;
    }
  }
  return nullptr;
}

claim_rows
claim_cache::AllRows() const
{
  auto rows = mHead.mRows;
  for (auto item = mArchives.rbegin(); item != mArchives.rend(); ++item) {
    rows.insert(item->second.mRows.begin(), item->second.mRows.end());
  }
  return rows;
}

void
claim_cache::RecordOutcome(const claim_finished& aEnd)
{
  const auto hash = HashClaimKey(aEnd.mKey);
  SetOutcome(mHead.mRows, hash, aEnd);
  std::ranges::for_each(mArchives, [&](auto& aItem) {
    SetOutcome(aItem.second.mRows, hash, aEnd);
  });
}

// Only the last archive can still change, so the others are not read again.
void
claim_cache::Reset(claim_head aHead, object_version aVersion)
{
  mHead = std::move(aHead);
  mVersion = aVersion;
  TakeUnreferenced();
  if (!mHead.mArchives.empty()) {
    mArchives.erase(mHead.mArchives.back().mNumber);
  }
}

std::optional<std::uint64_t>
claim_cache::MissingArchive() const
{
  const auto missing =
    std::ranges::find_if(mHead.mArchives, [&](const auto& aRef) {
      return !mArchives.contains(aRef.mNumber);
    });
  return missing == mHead.mArchives.end() ? std::nullopt
                                          : std::optional(missing->mNumber);
}

std::uint64_t
claim_cache::ArchiveTarget(std::size_t aLimitBytes) const
{
  if (mHead.mArchives.empty()) {
    return 1;
  }
  const auto last = mHead.mArchives.back().mNumber;
  const auto size = EncodeArchive(mArchives.at(last).mRows).size() +
                    EncodeArchive(mHead.mRows).size();
  return size <= aLimitBytes ? last : last + 1;
}

claim_rows
claim_cache::MergedRows(std::uint64_t aArchive) const
{
  auto rows = mArchives.at(aArchive).mRows;
  std::ranges::for_each(
    mHead.mRows, [&](const auto& aItem) { rows[aItem.first] = aItem.second; });
  return rows;
}

claim_head
claim_cache::ArchivedHead(std::uint64_t aArchive, std::uint64_t aClock) const
{
  auto head = mHead;
  head.mRows.clear();
  if (!References(head, aArchive)) {
    head.mArchives.push_back({ aArchive, 0 });
  }
  head.mArchives.back().mNewest = aClock;
  return head;
}

std::map<std::uint64_t, claim_archive>
claim_cache::TakeUnreferenced()
{
  std::map<std::uint64_t, claim_archive> unreferenced;
  for (auto item = mArchives.begin(); item != mArchives.end();) {
    const auto next = std::next(item);
    if (!References(mHead, item->first)) {
      unreferenced.insert(mArchives.extract(item));
    }
    item = next;
  }
  return unreferenced;
}

void
DropOldArchives(claim_head& aHead, std::uint64_t aRetention)
{
  auto& archives = aHead.mArchives;
  while (archives.size() > 1 &&
         archives.front().mNewest + aRetention < aHead.mClock) {
    archives.erase(archives.begin());
  }
}

bool
IsFree(const claim_request& aRequest, const claim_row* aRow)
{
  return aRow == nullptr ||
         (!aRequest.mReleased.Empty() && aRow->mRequest == aRequest.mReleased);
}

claim_answer
AnswerTo(const claim_request& aRequest, const claim_row& aRow)
{
  const auto granted =
    aRow.mHolder == aRequest.mClaimant && aRow.mRequest == aRequest.mRequest;
  return { aRequest.mKey,
           aRequest.mRequest,
           granted ? claim_verdict::Granted : claim_verdict::Taken,
           aRow.mHolder,
           aRow.mRequest,
           aRow.mOutcome };
}

} // namespace sapphirespar::ledger
