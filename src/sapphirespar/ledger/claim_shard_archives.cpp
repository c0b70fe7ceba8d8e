// Reads the archives of a shard, and moves the rows of a full head to one.
#include "claim_shard_state.hpp"

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

void
claim_shard::state::OnArchive(const object_answer& aAnswer)
{
  auto rows = aAnswer.mStatus == platform_status::Ok
                ? DecodeArchive(aAnswer.mObject.mValue)
                : std::nullopt;
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
