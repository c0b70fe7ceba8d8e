// The careful platform: budgets, the outage gate and the settling of writes.
#include "sapphirespar/config/careful_platform.hpp"

#include "call_budget.hpp"
#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace sapphirespar {
namespace {

using std::chrono::milliseconds;

// Rate right after an outage, as a share of the whole.
constexpr double kLeastShare = 0.1;

// An object that nobody writes: reading it only tells that the store answers.
const object_key kProbeKey{ "probe", "probe" };

// One write until it is settled. mValue is unset for a deletion.
struct careful_write
{
  object_key mKey;
  std::optional<std::string> mValue;
  object_version mExpected = kNoObject;
  object_callback mDone;
  // After this a lost answer is given up.
  steady_time mDeadline{};
};

using write_ptr = std::shared_ptr<careful_write>;

} // namespace

struct careful_platform::state : std::enable_shared_from_this<state>
{
  state(platform_api& aInner,
        timer_service& aTimers,
        careful_platform_settings aSettings,
        careful_platform_hooks aHooks);

  template<class Answer>
  using callback = std::function<void(Answer)>;

  // Sends a read through the budget; aSend gets the callback to pass on.
  template<class Answer>
  void Read(std::function<void(callback<Answer>)> aSend,
            callback<Answer> aDone,
            bool aTellsHealth);
  template<class Answer>
  void Refuse(const callback<Answer>& aDone, bool aForRate);

  void Write(write_ptr aWrite);
  void SendWrite(const write_ptr& aWrite);
  void OnWritten(const write_ptr& aWrite, object_answer aAnswer);
  void Settle(const write_ptr& aWrite);
  void ReadBack(const write_ptr& aWrite);
  void OnReadBack(const write_ptr& aWrite, const object_answer& aAnswer);
  void GiveUp(const write_ptr& aWrite);

  void Note(platform_status aStatus);
  void Tell();
  void GoDown();
  void GoUp();
  void Probe();
  double Share() const;
  double Rate(double aFleetRate) const;
  void SlowDown(double aShare);
  milliseconds Jittered(milliseconds aDelay);
  void Later(steady_duration aDelay, std::function<void()> aWork);

  platform_api& mInner;
  timer_service& mTimers;
  careful_platform_settings mSettings;
  careful_platform_hooks mHooks;
  careful_platform_counts mCounts;
  std::mt19937_64 mRandom;
  call_budget mReads;
  call_budget mWrites;

  bool mUp = true;
  // Whether the hook has been told of mUp, which starts as a guess.
  bool mTold = false;
  milliseconds mProbeDelay{ 0 };
  // The share of the rate at a moment; it grows from there.
  double mShare = 1;
  steady_time mShareAt{};

  std::uint64_t mNextTimer = 1;
  std::map<std::uint64_t, timer_subscription> mPending;
};

careful_platform::state::state(platform_api& aInner,
                               timer_service& aTimers,
                               careful_platform_settings aSettings,
                               careful_platform_hooks aHooks)
  : mInner(aInner)
  , mTimers(aTimers)
  , mSettings(aSettings)
  , mHooks(std::move(aHooks))
  , mRandom(aSettings.mSeed)
  , mReads(
      aTimers,
      [this] { return Rate(mSettings.mFleetReadsPerSecond); },
      aSettings.mBurst,
      aSettings.mQueueLimit)
  , mWrites(
      aTimers,
      [this] { return Rate(mSettings.mFleetWritesPerSecond); },
      aSettings.mBurst,
      aSettings.mQueueLimit)
  , mShareAt(aTimers.Now())
{
}

milliseconds
careful_platform::state::Jittered(milliseconds aDelay)
{
  std::uniform_int_distribution<std::int64_t> pick(aDelay.count() / 2,
                                                   aDelay.count() * 3 / 2);
  return milliseconds(pick(mRandom));
}

void
careful_platform::state::Later(steady_duration aDelay,
                               std::function<void()> aWork)
{
  const auto id = mNextTimer++;
  mPending[id] = mTimers.After(aDelay, [this, id, work = std::move(aWork)] {
    // The work may end this object, so nothing of it is used afterwards.
    const auto node = mPending.extract(id);
    work();
  });
}

double
careful_platform::state::Share() const
{
  const std::chrono::duration<double> passed = mTimers.Now() - mShareAt;
  const std::chrono::duration<double> ramp = mSettings.mRampUp;
  return std::min(1.0, mShare + passed / ramp);
}

void
careful_platform::state::SlowDown(double aShare)
{
  mShare = std::max(kLeastShare, aShare);
  mShareAt = mTimers.Now();
  std::uniform_real_distribution<double> debt(0, 1);
  mReads.Empty(debt(mRandom));
  mWrites.Empty(debt(mRandom));
}

double
careful_platform::state::Rate(double aFleetRate) const
{
  const auto size = mHooks.mFleetSize ? mHooks.mFleetSize() : 1;
  const auto routers = std::max<std::size_t>(1, size);
  return aFleetRate / static_cast<double>(routers) * Share();
}

template<class Answer>
void
careful_platform::state::Refuse(const callback<Answer>& aDone, bool aForRate)
{
  ++mCounts.mHeldBack;
  Answer answer;
  answer.mStatus =
    aForRate ? platform_status::Throttled : platform_status::Unavailable;
  Later(steady_duration::zero(), [aDone, answer] { aDone(answer); });
}

template<class Answer>
void
careful_platform::state::Read(std::function<void(callback<Answer>)> aSend,
                              callback<Answer> aDone,
                              bool aTellsHealth)
{
  constexpr bool kForRate = false;
  if (!mUp) {
    return Refuse(aDone, kForRate);
  }
  budgeted_call call;
  call.mSend = [this, send = std::move(aSend), aDone, aTellsHealth] {
    ++mCounts.mReads;
    send([weak = weak_from_this(), aDone, aTellsHealth](Answer aAnswer) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aTellsHealth) {
        self->Note(aAnswer.mStatus);
      }
      aDone(std::move(aAnswer));
    });
  };
  call.mRefuse = [this, aDone](bool aForRate) { Refuse(aDone, aForRate); };
  mReads.Submit(std::move(call));
}

void
careful_platform::state::Write(write_ptr aWrite)
{
  constexpr bool kForRate = false;
  if (!mUp) {
    return Refuse(aWrite->mDone, kForRate);
  }
  budgeted_call call;
  call.mSend = [this, aWrite] {
    aWrite->mDeadline = mTimers.Now() + mSettings.mReadBackLimit;
    SendWrite(aWrite);
  };
  call.mRefuse = [this, aWrite](bool aForRate) {
    Refuse(aWrite->mDone, aForRate);
  };
  mWrites.Submit(std::move(call));
}

void
careful_platform::state::SendWrite(const write_ptr& aWrite)
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
careful_platform::state::OnWritten(const write_ptr& aWrite,
                                   object_answer aAnswer)
{
  Note(aAnswer.mStatus);
  if (aAnswer.mStatus == platform_status::Unknown) {
    Settle(aWrite);
  } else {
    aWrite->mDone(std::move(aAnswer));
  }
}

// Asks again after a while what has become of a write.
void
careful_platform::state::Settle(const write_ptr& aWrite)
{
  if (mTimers.Now() >= aWrite->mDeadline) {
    return GiveUp(aWrite);
  }
  Later(Jittered(mSettings.mReadBackAfter),
        [this, aWrite] { ReadBack(aWrite); });
}

void
careful_platform::state::ReadBack(const write_ptr& aWrite)
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
careful_platform::state::OnReadBack(const write_ptr& aWrite,
                                    const object_answer& aAnswer)
{
  const bool exists = aAnswer.mStatus == platform_status::Ok;
  if (!exists && aAnswer.mStatus != platform_status::NotFound) {
    return Settle(aWrite);
  }
  const auto version = exists ? aAnswer.mObject.mVersion : kNoObject;
  const bool took = exists ? aWrite->mValue == aAnswer.mObject.mValue
                           : !aWrite->mValue.has_value();
  if (took && version != aWrite->mExpected) {
    ++mCounts.mSettled;
    auto answer = aAnswer;
    answer.mStatus = platform_status::Ok;
    return aWrite->mDone(std::move(answer));
  }
  if (version != aWrite->mExpected) {
    // Somebody else has written since; whether before or after is not known.
    return GiveUp(aWrite);
  }
  if (mTimers.Now() >= aWrite->mDeadline) {
    return GiveUp(aWrite);
  }
  // Both writes expect the same version, so at most one takes effect.
  SendWrite(aWrite);
}

void
careful_platform::state::GiveUp(const write_ptr& aWrite)
{
  ++mCounts.mUnsettled;
  object_answer answer;
  answer.mStatus = platform_status::Unknown;
  aWrite->mDone(std::move(answer));
}

// Learns from the status of a call whether the platform is there.
void
careful_platform::state::Note(platform_status aStatus)
{
  if (aStatus == platform_status::Unavailable ||
      aStatus == platform_status::Unknown) {
    return GoDown();
  }
  if (aStatus == platform_status::Throttled) {
    SlowDown(Share() / 2);
  }
  if (mUp && !mTold) {
    Tell();
  }
}

void
careful_platform::state::Tell()
{
  mTold = true;
  if (mHooks.mUpChanged) {
    mHooks.mUpChanged(mUp);
  }
}

void
careful_platform::state::GoDown()
{
  if (!mUp) {
    return;
  }
  mUp = false;
  mProbeDelay = mSettings.mProbeAfter;
  LogEvent(log_level::Warning, "platform_down");
  Tell();
  mReads.RefuseAll();
  mWrites.RefuseAll();
  Later(Jittered(mProbeDelay), [this] { Probe(); });
}

void
careful_platform::state::Probe()
{
  ++mCounts.mProbes;
  mInner.Get(kProbeKey,
             [weak = weak_from_this()](const object_answer& aAnswer) {
               const auto self = weak.lock();
               if (!self) {
                 return;
               }
               if (aAnswer.mStatus == platform_status::NotFound ||
                   aAnswer.mStatus == platform_status::Ok) {
                 return self->GoUp();
               }
               self->mProbeDelay =
                 std::min(2 * self->mProbeDelay, self->mSettings.mProbeLimit);
               self->Later(self->Jittered(self->mProbeDelay),
                           [state = self.get()] { state->Probe(); });
             });
}

void
careful_platform::state::GoUp()
{
  mUp = true;
  SlowDown(kLeastShare);
  LogEvent(log_level::Info, "platform_up");
  Tell();
}

careful_platform::careful_platform(platform_api& aInner,
                                   timer_service& aTimers,
                                   careful_platform_settings aSettings,
                                   careful_platform_hooks aHooks)
  : mState(
      std::make_shared<state>(aInner, aTimers, aSettings, std::move(aHooks)))
{
}

careful_platform::~careful_platform() = default;

void
careful_platform::Get(object_key aKey, object_callback aDone)
{
  constexpr bool kTellsHealth = true;
  mState->Read<object_answer>(
    [&inner = mState->mInner, key = std::move(aKey)](object_callback aAnswer) {
      inner.Get(key, std::move(aAnswer));
    },
    std::move(aDone),
    kTellsHealth);
}

void
careful_platform::List(std::string aKind, list_callback aDone)
{
  constexpr bool kTellsHealth = true;
  mState->Read<list_answer>(
    [&inner = mState->mInner, kind = std::move(aKind)](list_callback aAnswer) {
      inner.List(kind, std::move(aAnswer));
    },
    std::move(aDone),
    kTellsHealth);
}

void
careful_platform::Put(object_key aKey,
                      std::string aValue,
                      object_version aExpected,
                      object_callback aDone)
{
  mState->Write(std::make_shared<careful_write>(careful_write{
    std::move(aKey), std::move(aValue), aExpected, std::move(aDone), {} }));
}

void
careful_platform::Delete(object_key aKey,
                         object_version aExpected,
                         object_callback aDone)
{
  mState->Write(std::make_shared<careful_write>(careful_write{
    std::move(aKey), std::nullopt, aExpected, std::move(aDone), {} }));
}

void
careful_platform::Watch(std::string aKind,
                        object_version aFrom,
                        milliseconds aWait,
                        list_callback aDone)
{
  // A watch may be lost on its own while the platform is well.
  constexpr bool kTellsHealth = false;
  mState->Read<list_answer>(
    [&inner = mState->mInner, kind = std::move(aKind), aFrom, aWait](
      list_callback aAnswer) {
      inner.Watch(kind, aFrom, aWait, std::move(aAnswer));
    },
    std::move(aDone),
    kTellsHealth);
}

void
careful_platform::ListVms(vm_list_callback aDone)
{
  constexpr bool kTellsHealth = true;
  mState->Read<vm_list_answer>(
    [&inner = mState->mInner](vm_list_callback aAnswer) {
      inner.ListVms(std::move(aAnswer));
    },
    std::move(aDone),
    kTellsHealth);
}

bool
careful_platform::IsUp() const
{
  return mState->mUp;
}

const careful_platform_counts&
careful_platform::Counts() const
{
  return mState->mCounts;
}

} // namespace sapphirespar
