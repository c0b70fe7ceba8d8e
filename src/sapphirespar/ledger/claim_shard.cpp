// Loads a shard, answers claims from memory, and commits new ones in groups.
#include "sapphirespar/ledger/claim_shard.hpp"

#include "claim_queue.hpp"
#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {

class claim_shard::state : public std::enable_shared_from_this<state>
{
public:
  state(std::uint32_t aNumber,
        platform_api& aPlatform,
        timer_service& aTimers,
        const claim_shard_settings& aSettings)
    : mNumber(aNumber)
    , mPlatform(aPlatform)
    , mTimers(aTimers)
    , mSettings(aSettings)
  {
  }

  void Claim(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);

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

  void Commit();
  void OnCommit(const object_answer& aAnswer);
  std::uint64_t Clock() const;

  void BeginArchive();
  void OnNewArchive(const object_answer& aAnswer);
  void WriteArchive();
  void OnArchiveWritten(const object_answer& aAnswer);

  object_callback Call(handler aHandler);
  void Fail();

  const std::uint32_t mNumber;
  platform_api& mPlatform;
  timer_service& mTimers;
  const claim_shard_settings mSettings;

  // The shard as last read or written; valid only if mLoaded is set.
  bool mLoaded = false;
  claim_cache mCache;
  // When mCache.mHead was read or committed.
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

void
claim_shard::state::Claim(claim_request aRequest, claim_callback aDone)
{
  mLastUsed = mTimers.Now();
  mQueue.Add(std::move(aRequest),
             std::move(aDone),
             mLastUsed + mSettings.mDecisionTimeout);
  RunNextStep();
}

void
claim_shard::state::Finished(const claim_finished& aEnd)
{
  mCache.RecordOutcome(aEnd);
}

// Answers the claims that can be decided, then starts the next platform call
// unless one is in flight or no claim waits.
void
claim_shard::state::RunNextStep()
{
  RefuseExpired();
  if (mCallPending) {
    return;
  }
  if (mLoaded) {
    AnswerDecided();
  }
  // A callback may have added a claim, which may have started a call.
  if (mCallPending || mQueue.Empty()) {
    return;
  }
  if (mTimers.Now() < mNextCommit) {
    ScheduleNextStep(mNextCommit);
  } else if (!mLoaded) {
    LoadHead();
  } else if (mCache.mHead.mRows.size() >= mSettings.mMaxHeadRows) {
    BeginArchive();
  } else {
    mNextHead = mCache.mHead;
    Commit();
  }
}

void
claim_shard::state::ScheduleNextStep(steady_time aUntil)
{
  mWakeTimer = mTimers.After(aUntil - mTimers.Now(), [this] { RunNextStep(); });
}

// Refuses claims whose deadline has passed.
void
claim_shard::state::RefuseExpired()
{
  for (const auto& item : mQueue.TakeExpired(mTimers.Now())) {
    claim_answer answer;
    answer.mKey = item.mRequest.mKey;
    answer.mRequest = item.mRequest.mRequest;
    item.mDone(answer);
  }
}

// Answers claims of keys that are already claimed.
void
claim_shard::state::AnswerDecided()
{
  Answer(mQueue.TakeDecided(mCache));
}

// All answers are computed before the first callback runs, because a callback
// may add a claim.
void
claim_shard::state::Answer(const std::vector<waiting_claim>& aDecided)
{
  std::vector<claim_answer> answers;
  std::ranges::transform(
    aDecided, std::back_inserter(answers), [&](const auto& aItem) {
      return AnswerTo(aItem.mRequest, *mCache.Find(aItem.mHash));
    });
  for (std::size_t i = 0; i < answers.size(); ++i) {
    aDecided[i].mDone(answers[i]);
  }
}

void
claim_shard::state::LoadHead()
{
  mPlatform.Get(HeadKey(mNumber), Call(&state::OnHead));
}

void
claim_shard::state::OnHead(const object_answer& aAnswer)
{
  if (aAnswer.mStatus == platform_status::NotFound) {
    mCache.Reset({}, kNoObject);
  } else if (aAnswer.mStatus == platform_status::Ok) {
    auto head = DecodeHead(aAnswer.mObject.mValue);
    if (!head) {
      LogEvent(log_level::Error, "claims_unreadable", { { "shard", mNumber } });
      Fail();
      return;
    }
    mCache.Reset(std::move(*head), aAnswer.mObject.mVersion);
  } else {
    Fail();
    return;
  }
  mClockReadAt = mTimers.Now();
  LoadArchives();
}

void
claim_shard::state::LoadArchives()
{
  const auto missing = mCache.MissingArchive();
  if (!missing) {
    mLoaded = true;
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

// Adds as many waiting claims as fit to mNextHead and writes it.
void
claim_shard::state::Commit()
{
  mNextCommit = mTimers.Now() + mSettings.mCommitInterval;
  mNextHead.mClock = Clock();
  mQueue.FillBatch(mCache, mSettings.mMaxBatchClaims, mNextHead);
  DropOldArchives(mNextHead,
                  static_cast<std::uint64_t>(mSettings.mRetention.count()));
  mPlatform.Put(HeadKey(mNumber),
                EncodeHead(mNextHead),
                mCache.mVersion,
                Call(&state::OnCommit));
}

void
claim_shard::state::OnCommit(const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    // The write may still have succeeded. Fail reads the shard again before
    // these claims are decided.
    mQueue.PutBatchBack();
    Fail();
    return;
  }
  mCache.mHead = std::exchange(mNextHead, {});
  mCache.mVersion = aAnswer.mObject.mVersion;
  mClockReadAt = mTimers.Now();
  for (const auto& [number, archive] : mCache.TakeUnreferenced()) {
    mPlatform.Delete(
      ArchiveKey(mNumber, number), archive.mVersion, [](const auto&) {});
  }
  Answer(mQueue.TakeBatch());
  RunNextStep();
}

std::uint64_t
claim_shard::state::Clock() const
{
  const auto elapsed =
    std::chrono::floor<std::chrono::seconds>(mTimers.Now() - mClockReadAt);
  return mCache.mHead.mClock + static_cast<std::uint64_t>(elapsed.count());
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

// Marks a call as in flight until its answer or its timeout, and returns its
// callback. Answers after the timeout are ignored.
object_callback
claim_shard::state::Call(handler aHandler)
{
  mCallPending = true;
  const auto finish = [weak = weak_from_this(), call = ++mCallNumber, aHandler](
                        const object_answer& aAnswer) {
    const auto self = weak.lock();
    if (self && self->mCallNumber == call) {
      ++self->mCallNumber;
      self->mCallPending = false;
      ((*self).*aHandler)(aAnswer);
    }
  };
  mCallTimer = mTimers.After(mSettings.mCallTimeout, [finish] {
    object_answer timedOut;
    timedOut.mStatus = platform_status::Unknown;
    finish(timedOut);
  });
  return finish;
}

// Discards the loaded shard after any failed call, so that the next step reads
// it again.
void
claim_shard::state::Fail()
{
  mLoaded = false;
  mNextCommit =
    std::max(mNextCommit, mTimers.Now() + mSettings.mCommitInterval);
  RunNextStep();
}

claim_shard::claim_shard(std::uint32_t aNumber,
                         platform_api& aPlatform,
                         timer_service& aTimers,
                         claim_shard_settings aSettings)
  : mState(std::make_shared<state>(aNumber, aPlatform, aTimers, aSettings))
{
}

claim_shard::~claim_shard() = default;

void
claim_shard::Claim(claim_request aRequest, claim_callback aDone)
{
  mState->Claim(std::move(aRequest), std::move(aDone));
}

void
claim_shard::Finished(const claim_finished& aEnd)
{
  mState->Finished(aEnd);
}

steady_time
claim_shard::LastUsed() const
{
  return mState->mLastUsed;
}

} // namespace sapphirespar::ledger
