// Loading, answering from memory, and group commit of one shard.
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

  void Ask(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);

  steady_time mLastUsed{};

private:
  using handler = void (state::*)(const object_answer&);

  void Pump();
  void Wait(steady_time aUntil);
  void Expire();
  void AnswerKnown();
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

  // As last read or written; meaningless unless mLoaded.
  bool mLoaded = false;
  claim_image mImage;
  steady_time mClockRead{};

  // One call to the platform at a time.
  bool mBusy = false;
  std::uint64_t mCall = 0;
  timer_subscription mCallTimer;
  steady_time mNextCommit{};
  timer_subscription mWake;

  claim_queue mQueue;
  // The head that commits the batch.
  claim_head mNext;
  // The archive that is being read or written.
  std::uint64_t mTarget = 0;
  claim_rows mTargetRows;
};

void
claim_shard::state::Ask(claim_request aRequest, claim_callback aDone)
{
  mLastUsed = mTimers.Now();
  mQueue.Add(
    std::move(aRequest), std::move(aDone), mLastUsed + mSettings.mPatience);
  Pump();
}

void
claim_shard::state::Finished(const claim_finished& aEnd)
{
  mImage.Note(aEnd);
}

// Does the next thing that is to be done, if any.
void
claim_shard::state::Pump()
{
  Expire();
  if (mBusy) {
    return;
  }
  if (mLoaded) {
    AnswerKnown();
  }
  // An answer may have led to another question, and that to a call.
  if (mBusy || mQueue.Empty()) {
    return;
  }
  if (mTimers.Now() < mNextCommit) {
    Wait(mNextCommit);
  } else if (!mLoaded) {
    LoadHead();
  } else if (mImage.mHead.mRows.size() >= mSettings.mHeadRows) {
    BeginArchive();
  } else {
    mNext = mImage.mHead;
    Commit();
  }
}

void
claim_shard::state::Wait(steady_time aUntil)
{
  mWake = mTimers.After(aUntil - mTimers.Now(), [this] { Pump(); });
}

// Refuses claims that have waited too long.
void
claim_shard::state::Expire()
{
  for (const auto& item : mQueue.TakeLate(mTimers.Now())) {
    claim_answer answer;
    answer.mKey = item.mRequest.mKey;
    answer.mRequest = item.mRequest.mRequest;
    item.mDone(answer);
  }
}

// Answers what the committed claims already decide.
void
claim_shard::state::AnswerKnown()
{
  Answer(mQueue.TakeDecided(mImage));
}

// A callback may ask again, so the answers are put together first.
void
claim_shard::state::Answer(const std::vector<waiting_claim>& aDecided)
{
  std::vector<claim_answer> answers;
  std::ranges::transform(
    aDecided, std::back_inserter(answers), [&](const auto& aItem) {
      return AnswerTo(aItem.mRequest, *mImage.Find(aItem.mHash));
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
    mImage.Reset({}, kNoObject);
  } else if (aAnswer.mStatus == platform_status::Ok) {
    auto head = DecodeHead(aAnswer.mObject.mValue);
    if (!head) {
      LogEvent(log_level::Error, "claims_unreadable", { { "shard", mNumber } });
      Fail();
      return;
    }
    mImage.Reset(std::move(*head), aAnswer.mObject.mVersion);
  } else {
    Fail();
    return;
  }
  mClockRead = mTimers.Now();
  LoadArchives();
}

void
claim_shard::state::LoadArchives()
{
  const auto missing = mImage.MissingArchive();
  if (!missing) {
    mLoaded = true;
    Pump();
    return;
  }
  mTarget = *missing;
  mPlatform.Get(ArchiveKey(mNumber, mTarget), Call(&state::OnArchive));
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
  mImage.mArchives[mTarget] = { aAnswer.mObject.mVersion, std::move(*rows) };
  LoadArchives();
}

// Writes mNext with as many waiting claims as fit.
void
claim_shard::state::Commit()
{
  mNextCommit = mTimers.Now() + mSettings.mCommitGap;
  mNext.mClock = Clock();
  mQueue.FillBatch(mImage, mSettings.mBatchLimit, mNext);
  DropOldArchives(mNext,
                  static_cast<std::uint64_t>(mSettings.mRetention.count()));
  mPlatform.Put(HeadKey(mNumber),
                EncodeHead(mNext),
                mImage.mVersion,
                Call(&state::OnCommit));
}

void
claim_shard::state::OnCommit(const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    // Whether they are claimed is read before anything else.
    mQueue.PutBatchBack();
    Fail();
    return;
  }
  mImage.mHead = std::exchange(mNext, {});
  mImage.mVersion = aAnswer.mObject.mVersion;
  mClockRead = mTimers.Now();
  for (const auto& [number, archive] : mImage.TakeUnnamed()) {
    mPlatform.Delete(
      ArchiveKey(mNumber, number), archive.mVersion, [](const auto&) {});
  }
  Answer(mQueue.TakeBatch());
  Pump();
}

std::uint64_t
claim_shard::state::Clock() const
{
  const auto elapsed =
    std::chrono::floor<std::chrono::seconds>(mTimers.Now() - mClockRead);
  return mImage.mHead.mClock + static_cast<std::uint64_t>(elapsed.count());
}

// Moves the head's rows to the last archive, or to a new one if they do not
// fit. The archive is written first: until the head is committed without them
// the rows stand in both, which changes nothing.
void
claim_shard::state::BeginArchive()
{
  mTarget = mImage.ArchiveTarget(mSettings.mArchiveBytes);
  if (mImage.mArchives.contains(mTarget)) {
    WriteArchive();
    return;
  }
  // An owner that crashed before its commit may have left this one behind.
  mPlatform.Get(ArchiveKey(mNumber, mTarget), Call(&state::OnNewArchive));
}

void
claim_shard::state::OnNewArchive(const object_answer& aAnswer)
{
  const auto left = aAnswer.mStatus == platform_status::Ok;
  if (!left && aAnswer.mStatus != platform_status::NotFound) {
    Fail();
    return;
  }
  mImage.mArchives[mTarget] = { left ? aAnswer.mObject.mVersion : kNoObject,
                                {} };
  WriteArchive();
}

void
claim_shard::state::WriteArchive()
{
  mTargetRows = mImage.Merged(mTarget);
  mPlatform.Put(ArchiveKey(mNumber, mTarget),
                EncodeArchive(mTargetRows),
                mImage.mArchives.at(mTarget).mVersion,
                Call(&state::OnArchiveWritten));
}

void
claim_shard::state::OnArchiveWritten(const object_answer& aAnswer)
{
  if (aAnswer.mStatus != platform_status::Ok) {
    Fail();
    return;
  }
  mImage.mArchives[mTarget] = { aAnswer.mObject.mVersion,
                                std::move(mTargetRows) };
  mNext = mImage.Archived(mTarget, Clock());
  Commit();
}

// Marks the shard busy until its call is answered, late answers are ignored.
object_callback
claim_shard::state::Call(handler aHandler)
{
  mBusy = true;
  const auto finish = [weak = weak_from_this(), call = ++mCall, aHandler](
                        const object_answer& aAnswer) {
    const auto self = weak.lock();
    if (self && self->mCall == call) {
      ++self->mCall;
      self->mBusy = false;
      ((*self).*aHandler)(aAnswer);
    }
  };
  mCallTimer = mTimers.After(mSettings.mCallTimeout, [finish] {
    object_answer silence;
    silence.mStatus = platform_status::Unknown;
    finish(silence);
  });
  return finish;
}

// Whatever went wrong, the next step is to read the shard again.
void
claim_shard::state::Fail()
{
  mLoaded = false;
  mNextCommit = std::max(mNextCommit, mTimers.Now() + mSettings.mCommitGap);
  Pump();
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
claim_shard::Ask(claim_request aRequest, claim_callback aDone)
{
  mState->Ask(std::move(aRequest), std::move(aDone));
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
