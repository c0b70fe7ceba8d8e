// Loads a shard, answers claims from memory, and commits new ones in groups.
#include "sapphirespar/ledger/claim_shard.hpp"

#include "claim_shard_state.hpp"
#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {

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
  mLoaded = mLoaded && !IsStale();
  if (mLoaded) {
    AnswerDecided();
  }
  // A callback may have added a claim, which may have started a call.
  if (mCallPending || (mQueue.Empty() && !MustRestore())) {
    return;
  }
  const auto now = mTimers.Now();
  if (now < mNextCommit) {
    ScheduleNextStep(mNextCommit);
  } else if (!mLoaded) {
    LoadHead();
  } else if (now < mRestores.GrantsFrom()) {
    // Claims may expire before.
    ScheduleNextStep(
      std::min(mRestores.GrantsFrom(), now + mSettings.mCommitInterval));
  } else if (MustRestore()) {
    CommitRestored();
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
  if (!mLoaded || !IsUncertain() || mTimers.Now() < mRestores.GrantsFrom()) {
    return;
  }
  // The holder of a lost claim is unknown, so the answer names none.
  for (const auto& item : mQueue.TakeUncertain(mCache, CertainAfter(mCache))) {
    claim_answer answer;
    answer.mKey = item.mRequest.mKey;
    answer.mRequest = item.mRequest.mRequest;
    answer.mVerdict = claim_verdict::Taken;
    item.mDone(answer);
  }
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
  const bool read = aAnswer.mStatus == platform_status::Ok ||
                    aAnswer.mStatus == platform_status::NotFound;
  if (read && IsCached(aAnswer.mObject.mVersion)) {
    mLoaded = true;
    RunNextStep();
    return;
  }
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
  mCache.mEra = mEra;
  if (IsFromEarlierEra(mCache) && !mRestores.HasBegun()) {
    const auto since = mHooks.mEraKnownAt ? mHooks.mEraKnownAt() : std::nullopt;
    mRestores.Begin(since.value_or(mTimers.Now()));
  }
  LoadArchives();
}

// Adds as many waiting claims as fit to mNextHead and writes it.
void
claim_shard::state::Commit()
{
  mNextCommit = mTimers.Now() + mSettings.mCommitInterval;
  PrepareNextHead();
  mQueue.FillBatch(mCache, mSettings.mMaxBatchClaims, mNextHead);
  DropOldArchives(mNextHead,
                  static_cast<std::uint64_t>(mSettings.mRetention.count()));
  WriteHead();
}

// Sets the clock and what is known of restores in the next head.
void
claim_shard::state::PrepareNextHead()
{
  mNextHead.mClock = Clock();
  if (IsFromEarlierEra(mCache)) {
    mNextHead.mUncertainUntil =
      mNextHead.mClock + static_cast<std::uint64_t>(kUncertainTime.count());
  }
  mNextHead.mEra = mCache.mEra;
}

void
claim_shard::state::WriteHead()
{
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
  mRestores.Forget(mCache);
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

// Marks a call as in flight until its answer or its timeout, and returns its
// callback. Answers after the timeout are ignored.
object_callback
claim_shard::state::Call(handler aHandler)
{
  mCallPending = true;
  mCallSentAt = mTimers.Now();
  const auto finish = [weak = weak_from_this(), call = ++mCallNumber, aHandler](
                        const object_answer& aAnswer) {
    const auto self = weak.lock();
    if (self && self->mCallNumber == call) {
      ++self->mCallNumber;
      self->mCallPending = false;
      self->Finish(aHandler, aAnswer);
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
                         claim_shard_settings aSettings,
                         claim_shard_hooks aHooks)
  : mState(std::make_shared<state>(aNumber,
                                   aPlatform,
                                   aTimers,
                                   aSettings,
                                   std::move(aHooks)))
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

void
claim_shard::NoteStoreEra(store_era aEra)
{
  mState->NoteStoreEra(aEra);
}

void
claim_shard::Report(const process_id& aHolder, const claim_finished& aClaim)
{
  mState->Report(aHolder, aClaim);
}

steady_time
claim_shard::LastUsed() const
{
  return mState->mLastUsed;
}

} // namespace sapphirespar::ledger
