// Reads the archives of a shard, and moves the rows of a full head to one.
#include "claim_shard_state.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace sapphirespar::ledger {

void
claim_shard::state::LoadArchives()
{
  const auto missing = mCache.MissingArchive();
  if (!missing) {
    mLoaded = true;
    mRestores.Forget(mCache);
    RunNextStep();
    return;
  }
  mTargetArchive = *missing;
  mPlatform.Get(ArchiveKey(mNumber, mTargetArchive), Call(&state::OnArchive));
}

// Returns whether the shard's clock before a restore may have reached the time
// at which an archive is removed.
bool
claim_shard::state::IsExpiring(std::uint64_t aArchive) const
{
  constexpr std::uint64_t kLongestLossSeconds = 60;
  const auto retention =
    static_cast<std::uint64_t>(mSettings.mRetention.count());
  const auto latest = mCache.mHead.mClock + kLongestLossSeconds;
  return std::ranges::any_of(
    mCache.mHead.mArchives, [&](const claim_archive_ref& aRef) {
      return aRef.mNumber == aArchive && aRef.mNewest + retention < latest;
    });
}

// An archive that was about to expire may have been removed after the copy was
// made from which the store was restored.
void
claim_shard::state::OnArchive(const object_answer& aAnswer)
{
  auto rows = aAnswer.mStatus == platform_status::Ok
                ? DecodeArchive(aAnswer.mObject.mValue)
                : std::nullopt;
  const bool isRemoved = aAnswer.mStatus == platform_status::NotFound &&
                         mCache.mEra != 0 && IsExpiring(mTargetArchive);
  if (isRemoved) {
    rows.emplace();
  }
  if (!rows) {
    Fail();
    return;
  }
  mCache.mArchives[mTargetArchive] = { aAnswer.mObject.mVersion,
                                       std::move(*rows) };
  LoadArchives();
}

// Moves the head's rows to the last archive, or to a new one if they do not
// fit. The archive is written first. Until the head is committed without the
// rows, both objects hold them, which does not change any answer.
void
claim_shard::state::BeginArchive()
{
  mTargetArchive = mCache.ArchiveTarget(mSettings.mMaxArchiveBytes);
  if (mCache.mArchives.contains(mTargetArchive)) {
    WriteArchive();
    return;
  }
  // An owner that crashed before its commit may have left this archive behind.
  mPlatform.Get(ArchiveKey(mNumber, mTargetArchive),
                Call(&state::OnNewArchive));
}

void
claim_shard::state::OnNewArchive(const object_answer& aAnswer)
{
  const auto exists = aAnswer.mStatus == platform_status::Ok;
  if (!exists && aAnswer.mStatus != platform_status::NotFound) {
    Fail();
    return;
  }
  mCache.mArchives[mTargetArchive] = { exists ? aAnswer.mObject.mVersion
                                              : kNoObject,
                                       {} };
  WriteArchive();
}

void
claim_shard::state::WriteArchive()
{
  mTargetRows = mCache.MergedRows(mTargetArchive);
  mPlatform.Put(ArchiveKey(mNumber, mTargetArchive),
                EncodeArchive(mTargetRows),
                mCache.mArchives.at(mTargetArchive).mVersion,
                Call(&state::OnArchiveWritten));
}

void
claim_shard::state::OnArchiveWritten(const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    Fail();
    return;
  }
  mCache.mArchives[mTargetArchive] = { aAnswer.mObject.mVersion,
                                       std::move(mTargetRows) };
  mNextHead = mCache.ArchivedHead(mTargetArchive, Clock());
  Commit();
}

} // namespace sapphirespar::ledger
