// What the owner of a claim shard knows of claims that a restore of the store
// from an older copy may have removed. Does no I/O.
#pragma once

#include "claim_cache.hpp"
#include "sapphirespar/base/timer_service.hpp"

namespace sapphirespar::ledger {

// Claimants learn of a restore and report their claims within this time. No
// claim is granted before. It exceeds the age of any cache from which a commit
// is made, the timeout of a call and that of a claim together.
inline constexpr std::chrono::milliseconds kClaimRecovery{ 6000 };

// Where not all claimants have reported, lost claims count as possible for this
// long.
inline constexpr std::chrono::seconds kUncertainTime{ 600 };

class claim_restores
{
public:
  // Keeps the rows of a cache whose era has ended.
  void Keep(const claim_cache& aCache);

  // Keeps a claim that its holder has reported.
  void Report(const process_id& aHolder, const claim_finished& aClaim);

  // Forgets the rows that aCache holds, or that it has replaced.
  void Forget(const claim_cache& aCache);

  bool Empty() const { return mKept.empty() && mReported.empty(); }

  // Adds the rows to a head that is to be committed. Those that the present
  // cache holds must have been forgotten.
  void AddTo(claim_head& aNext) const;

  // Starts the time in which no claim is granted.
  void Begin(steady_time aNow) { mGrantsFrom = aNow + kClaimRecovery; }
  bool HasBegun() const { return mGrantsFrom != steady_time{}; }
  steady_time GrantsFrom() const { return mGrantsFrom; }

private:
  bool KeptIsMissing(const std::string& aHash,
                     const claim_row& aRow,
                     const claim_cache& aCache) const;
  static bool ReportIsMissing(const std::string& aHash,
                              const claim_row& aRow,
                              const claim_cache& aCache);

  claim_rows mKept;
  // The version of the head from which mKept was last taken, and the era in
  // which that head was committed.
  object_version mKeptVersion = kNoObject;
  store_era mKeptHeadEra = 0;
  claim_rows mReported;
  steady_time mGrantsFrom{};
};

// Returns the time on the shard's clock after which claims in aCache are known
// to be the latest of their keys, although the store was restored.
std::uint64_t CertainAfter(const claim_cache& aCache);

// Returns whether aCache holds a head that was committed before the store's
// last restore. A store in its first era has not been restored.
bool IsFromEarlierEra(const claim_cache& aCache);

} // namespace sapphirespar::ledger
