// Decides which of the known rows a restored shard lacks.
#include "claim_restores.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace sapphirespar::ledger {

// Rows that were kept before and are not in the store yet are newer than those
// of a later cache.
void
claim_restores::Keep(const claim_cache& aCache)
{
  auto rows = aCache.AllRows();
  mKept.insert(std::make_move_iterator(rows.begin()),
               std::make_move_iterator(rows.end()));
  mKeptVersion = aCache.mVersion;
  mKeptHeadEra = aCache.mHead.mEra;
}

void
claim_restores::Report(const process_id& aHolder, const claim_finished& aClaim)
{
  mReported[HashClaimKey(aClaim.mKey)] = {
    aHolder, aClaim.mRequest, aClaim.mOutcome, 0
  };
}

// A head of an earlier era is a copy. Rows that were read with a later version
// of it are newer; the versions compare only if both heads were committed in
// the same era.
bool
claim_restores::KeptIsMissing(const std::string& aHash,
                              const claim_row& aRow,
                              const claim_cache& aCache) const
{
  const auto* const present = aCache.Find(aHash);
  if (present == nullptr) {
    return true;
  }
  const bool isLater =
    mKeptHeadEra == aCache.mHead.mEra && mKeptVersion > aCache.mVersion;
  return IsFromEarlierEra(aCache) && isLater &&
         present->mRequest != aRow.mRequest;
}

// A reported attempt may have run and so was not released before the restore:
// it is newer than the copy's. In a head of the present era, it may have been
// released since.
bool
claim_restores::ReportIsMissing(const std::string& aHash,
                                const claim_row& aRow,
                                const claim_cache& aCache)
{
  const auto* const present = aCache.Find(aHash);
  return present == nullptr ||
         (IsFromEarlierEra(aCache) && present->mRequest != aRow.mRequest);
}

void
claim_restores::Forget(const claim_cache& aCache)
{
  std::erase_if(mKept, [&](const auto& aItem) {
    return !KeptIsMissing(aItem.first, aItem.second, aCache);
  });
  std::erase_if(mReported, [&](const auto& aItem) {
    return !ReportIsMissing(aItem.first, aItem.second, aCache);
  });
}

void
claim_restores::AddTo(claim_head& aNext) const
{
  // The shard's clock has gone back too, and a kept row may not be the latest.
  for (const auto& [hash, row] : mKept) {
    auto& added = aNext.mRows[hash] = row;
    added.mClaimedAt = std::min(added.mClaimedAt, aNext.mClock);
  }
  for (const auto& [hash, row] : mReported) {
    auto& added = aNext.mRows[hash] = row;
    added.mClaimedAt = aNext.mClock;
  }
}

std::uint64_t
CertainAfter(const claim_cache& aCache)
{
  const auto until = aCache.mHead.mUncertainUntil;
  constexpr auto kTime = static_cast<std::uint64_t>(kUncertainTime.count());
  return IsFromEarlierEra(aCache) ? std::numeric_limits<std::uint64_t>::max()
                                  : until - std::min(until, kTime);
}

bool
IsFromEarlierEra(const claim_cache& aCache)
{
  constexpr store_era kFirstEra = 1;
  return aCache.mHead.mEra != aCache.mEra &&
         (aCache.mHead.mEra != 0 || aCache.mEra > kFirstEra);
}

} // namespace sapphirespar::ledger
