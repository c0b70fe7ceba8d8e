// Sends writes and reads back those whose answers were lost.
#include "resilient_platform_state.hpp"

namespace sapphirespar {

void
resilient_platform::state::SendWrite(const write_ptr& aWrite)
{
  ++mCounts.mWrites;
  auto done = [weak = weak_from_this(), aWrite](object_answer aAnswer) {
    if (const auto self = weak.lock()) {
      self->OnWritten(aWrite, std::move(aAnswer));
    }
  };
  if (aWrite->mValue) {
    mInner.Put(aWrite->mKey, *aWrite->mValue, aWrite->mExpected, done);
  } else {
    mInner.Delete(aWrite->mKey, aWrite->mExpected, done);
  }
}

void
resilient_platform::state::OnWritten(const write_ptr& aWrite,
                                     object_answer aAnswer)
{
  ObserveStatus(aAnswer.mStatus);
  ObserveEra(aAnswer.mEra);
  if (aAnswer.mStatus == platform_status::Unknown) {
    ScheduleReadBack(aWrite);
  } else {
    aWrite->mDone(std::move(aAnswer));
  }
}

// Schedules reading back a write whose answer was lost.
void
resilient_platform::state::ScheduleReadBack(const write_ptr& aWrite)
{
  if (mTimers.Now() >= aWrite->mDeadline) {
    return AnswerUnknown(aWrite);
  }
  Schedule(Jittered(mSettings.mReadBackInterval),
           [this, aWrite] { ReadBack(aWrite); });
}

void
resilient_platform::state::ReadBack(const write_ptr& aWrite)
{
  ++mCounts.mReads;
  mInner.Get(aWrite->mKey,
             [weak = weak_from_this(), aWrite](const object_answer& aAnswer) {
               if (const auto self = weak.lock()) {
                 self->OnReadBack(aWrite, aAnswer);
               }
             });
}

void
resilient_platform::state::OnReadBack(const write_ptr& aWrite,
                                      const object_answer& aAnswer)
{
  ObserveEra(aAnswer.mEra);
  const bool exists = aAnswer.mStatus == platform_status::Ok;
  if (!exists && aAnswer.mStatus != platform_status::NotFound) {
    return ScheduleReadBack(aWrite);
  }
  const auto version = exists ? aAnswer.mObject.mVersion : kNoObject;
  const bool applied = exists ? aWrite->mValue == aAnswer.mObject.mValue
                              : !aWrite->mValue.has_value();
  if (applied && version != aWrite->mExpected) {
    ++mCounts.mResolved;
    auto answer = aAnswer;
    answer.mStatus = platform_status::Ok;
    return aWrite->mDone(std::move(answer));
  }
  if (aWrite->mEra != 0 && aAnswer.mEra > aWrite->mEra) {
    // In the new era, the expected version may belong to another value.
    return AnswerUnknown(aWrite);
  }
  if (version != aWrite->mExpected) {
    // Another process has written the object. This write may or may not have
    // taken effect before that.
    return AnswerUnknown(aWrite);
  }
  if (mTimers.Now() >= aWrite->mDeadline) {
    return AnswerUnknown(aWrite);
  }
  // Both writes expect the same version, so at most one takes effect.
  SendWrite(aWrite);
}

void
resilient_platform::state::AnswerUnknown(const write_ptr& aWrite)
{
  ++mCounts.mUnresolved;
  object_answer answer;
  answer.mStatus = platform_status::Unknown;
  aWrite->mDone(std::move(answer));
}

} // namespace sapphirespar
