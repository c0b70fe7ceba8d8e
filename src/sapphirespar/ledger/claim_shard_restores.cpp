// Follows restores of the store: which of a shard's answers and versions are
// valid, and which rows have to be committed again.
#include "claim_shard_state.hpp"

#include "sapphirespar/base/log.hpp"

#include <utility>

namespace sapphirespar::ledger {

// Writes the known rows that the restored store lacks. Claims wait for the next
// commit, which then sees these rows.
void
claim_shard::state::CommitRestored()
{
  mNextCommit = mTimers.Now() + mSettings.mCommitInterval;
  mNextHead = mCache.mHead;
  PrepareNextHead();
  mRestores.AddTo(mNextHead);
  LogEvent(log_level::Info,
           "claims_restored",
           { { "shard", mNumber },
             { "era", mEra },
             { "rows", mNextHead.mRows.size() - mCache.mHead.mRows.size() } });
  WriteHead();
}

// Returns whether the store may have been restored since the cache was last
// confirmed, so that a commit on its versions could hit other content.
bool
claim_shard::state::IsStale() const
{
  return mCache.mEra != 0 &&
         mTimers.Now() - mConfirmedAt > mSettings.mCallTimeout;
}

// Returns whether the cache holds all that belongs to a head just read, whose
// version is aVersion. The shard's clock then goes on.
bool
claim_shard::state::IsCached(object_version aVersion) const
{
  return mClockReadAt != steady_time{} && mCache.mEra == mEra &&
         mCache.mVersion == aVersion && !mCache.MissingArchive();
}

// Returns whether claims of a lost span may be missing in the shard.
bool
claim_shard::state::IsUncertain() const
{
  const bool mayMiss =
    IsFromEarlierEra(mCache) || Clock() < mCache.mHead.mUncertainUntil;
  return mayMiss && !(mHooks.mAllReported && mHooks.mAllReported());
}

// Returns whether the store was restored since the last known era. What was
// read before is kept, but is not valid any more.
bool
claim_shard::state::NoteEra(store_era aEra)
{
  if (aEra <= mEra) {
    return false;
  }
  const bool restored = std::exchange(mEra, aEra) != 0;
  if (restored) {
    mRestores.Keep(mCache);
    mRestores.Begin(mTimers.Now());
    mCache = {};
    mClockReadAt = {};
    mLoaded = false;
  }
  return restored;
}

// Returns whether the head must be committed for the present era, with or
// without missing rows.
bool
claim_shard::state::MustRestore() const
{
  return !mRestores.Empty() || (mLoaded && IsFromEarlierEra(mCache));
}

void
claim_shard::state::NoteStoreEra(store_era aEra)
{
  if (NoteEra(aEra)) {
    RunNextStep();
  }
}

void
claim_shard::state::Report(const process_id& aHolder,
                           const claim_finished& aClaim)
{
  mLastUsed = mTimers.Now();
  mCache.RecordOutcome(aClaim);
  mRestores.Report(aHolder, aClaim);
  if (mLoaded) {
    mRestores.Forget(mCache);
  }
  RunNextStep();
}

// Passes an answer on. If the call was based on the state of an earlier era,
// its effect counts as unknown. The first read of a head is based on nothing.
void
claim_shard::state::Finish(handler aHandler, object_answer aAnswer)
{
  const bool readsHead = aHandler == &state::OnHead;
  NoteEra(aAnswer.mEra);
  const bool told = aAnswer.mEra != 0;
  const auto era = readsHead ? mEra : mCache.mEra;
  if (mEra == era && (!told || aAnswer.mEra == era)) {
    mConfirmedAt = mCallSentAt;
  } else {
    aAnswer = { platform_status::Unknown, {}, 0 };
  }
  (this->*aHandler)(aAnswer);
}

} // namespace sapphirespar::ledger
