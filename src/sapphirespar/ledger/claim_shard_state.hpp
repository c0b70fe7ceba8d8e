// The state of a claim shard. claim_shard.cpp implements the queue and the
// commits, claim_shard_archives.cpp the reading and writing of archives, and
// claim_shard_restores.cpp what follows a restore of the store.
#pragma once

#include "claim_queue.hpp"
#include "claim_restores.hpp"
#include "sapphirespar/ledger/claim_shard.hpp"

#include <memory>
#include <utility>
#include <vector>

namespace sapphirespar::ledger {

class claim_shard::state : public std::enable_shared_from_this<state>
{
public:
  state(std::uint32_t aNumber,
        platform_api& aPlatform,
        timer_service& aTimers,
        const claim_shard_settings& aSettings,
        claim_shard_hooks aHooks)
    : mNumber(aNumber)
    , mPlatform(aPlatform)
    , mTimers(aTimers)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
  {
  }

  void Claim(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);
  void NoteStoreEra(store_era aEra);
  void Report(const process_id& aHolder, const claim_finished& aClaim);

  steady_time mLastUsed{};

private:
  using handler = void (state::*)(const object_answer&);

  void RunNextStep();
  void ScheduleNextStep(steady_time aUntil);
  void RefuseExpired();
  void AnswerDecided();
  void Answer(const std::vector<waiting_claim>& aDecided);

  void LoadHead();
  void OnHead(const object_answer& aAnswer);
  void LoadArchives();
  void OnArchive(const object_answer& aAnswer);
  bool IsExpiring(std::uint64_t aArchive) const;

  void Commit();
  void OnCommit(const object_answer& aAnswer);
  std::uint64_t Clock() const;

  void BeginArchive();
  void OnNewArchive(const object_answer& aAnswer);
  void WriteArchive();
  void OnArchiveWritten(const object_answer& aAnswer);

  // Restores of the store.
  bool IsStale() const;
  bool IsCached(object_version aVersion) const;
  bool IsUncertain() const;
  bool MustRestore() const;
  bool NoteEra(store_era aEra);
  void CommitRestored();
  void PrepareNextHead();
  void WriteHead();

  object_callback Call(handler aHandler);
  void Finish(handler aHandler, object_answer aAnswer);
  void Fail();

  const std::uint32_t mNumber;
  platform_api& mPlatform;
  timer_service& mTimers;
  const claim_shard_settings mSettings;
  const claim_shard_hooks mHooks;

  // The latest era that the store or a peer has told; zero if none.
  store_era mEra = 0;
  claim_restores mRestores;
  // When the latest call was sent, and the latest one that was answered in the
  // cache's era.
  steady_time mCallSentAt{};
  steady_time mConfirmedAt{};

  // The shard as last read or written; valid only if mLoaded is set.
  bool mLoaded = false;
  claim_cache mCache;
  // When mCache.mHead was read or committed; zero if it was not.
  steady_time mClockReadAt{};

  // At most one read or write is in flight. mCallNumber identifies it.
  bool mCallPending = false;
  std::uint64_t mCallNumber = 0;
  timer_subscription mCallTimer;
  steady_time mNextCommit{};
  timer_subscription mWakeTimer;

  claim_queue mQueue;
  // The head that the current commit writes.
  claim_head mNextHead;
  // The archive that is being read or written, and its new rows.
  std::uint64_t mTargetArchive = 0;
  claim_rows mTargetRows;
};

} // namespace sapphirespar::ledger
