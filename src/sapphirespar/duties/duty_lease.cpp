// Takes, renews and gives up the record of the holder.
#include "sapphirespar/duties/duty_lease.hpp"

#include "lease_record.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::duties {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 250 };
// Between two reads by a gateway that waits for the record to expire.
constexpr milliseconds kLookPeriod{ 500 };
constexpr milliseconds kCallTimeout{ 1500 };

// A record that is not written again expires after so many periods.
constexpr int kLifeInPeriods = 2;
// The holder stops sending this long before the end, so that what it has sent
// arrives before another gateway can send anything.
constexpr milliseconds kSendMargin{ 500 };
// Added to the pause of a gateway that takes the duties again, for calls that
// were still on their way.
constexpr milliseconds kReturnMargin{ 300 };

constexpr store_era kFirstEra = 1;

} // namespace

struct duty_lease::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        duty_lease_settings aSettings,
        duty_lease_hooks aHooks)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mSettings(std::move(aSettings))
    , mHooks(std::move(aHooks))
  {
    // What an earlier process of this VM may just have sent is not known.
    mMaySendAt = mHooks.mNow();
    if (!mSettings.mFirstStart) {
      mMaySendAt += mSettings.mPeriod + kReturnMargin;
    }
  }

  static object_key Key()
  {
    return { std::string(kLeaseKind), std::string(kLeaseName) };
  }

  void Tick()
  {
    if (mBusy) {
      return;
    }
    if (mHeldVersion) {
      if (mTimers.Now() >= mNextWrite) {
        Write(*mHeldVersion);
      }
      return;
    }
    const auto told = mHooks.mToldToken();
    if (told != 0) {
      See(told);
    } else if (!mReleased && mHooks.mIsCandidate() &&
               mTimers.Now() >= mNextLook) {
      Read();
    }
  }

  // Records the token of the record as it is now.
  void See(fencing_token aToken)
  {
    if (!mSeen || mSeen->first != aToken) {
      mSeen.emplace(aToken, mHooks.mNow());
    }
  }

  // Begins a call and returns the callback for its answer. Without an answer in
  // time, aHandler gets the status Unknown.
  template<class Handler>
  object_callback BeginCall(Handler aHandler)
  {
    mBusy = true;
    auto finish = [weak = weak_from_this(), call = ++mCall, aHandler](
                    const object_answer& aAnswer) {
      const auto self = weak.lock();
      if (self && self->mCall == call) {
        ++self->mCall;
        self->mBusy = false;
        aHandler(*self, aAnswer);
      }
    };
    mTimeout = mTimers.After(kCallTimeout, [finish] {
      object_answer timedOut;
      timedOut.mStatus = platform_status::Unknown;
      finish(timedOut);
    });
    return finish;
  }

  void Read()
  {
    mNextLook = mTimers.Now() + kLookPeriod;
    mPlatform.Get(Key(), BeginCall([](state& aSelf, const auto& aAnswer) {
                    aSelf.OnRead(aAnswer);
                  }));
  }

  void OnRead(const object_answer& aAnswer)
  {
    const bool found = aAnswer.mStatus == platform_status::Ok;
    if (!found && aAnswer.mStatus != platform_status::NotFound) {
      return;
    }
    const auto version = found ? aAnswer.mObject.mVersion : kNoObject;
    const auto record =
      found ? ReadLeaseRecord(aAnswer.mObject.mValue) : lease_record{};
    if (mHeldVersion) {
      OnOwnRead(record, version, aAnswer.mEra);
      return;
    }
    See(FencingNumber(aAnswer.mEra, version));
    if (MayTake(found, record, aAnswer.mEra)) {
      mEra = aAnswer.mEra;
      Write(version);
    }
  }

  // Called while this gateway holds the duties and the effect of its last write
  // is not known.
  void OnOwnRead(const lease_record& aRecord,
                 object_version aVersion,
                 store_era aEra)
  {
    if (aEra != mEra || aRecord.mHolder != mSettings.mSelf) {
      Lose("replaced");
      return;
    }
    // The write that was not answered may have been carried out.
    mHeldVersion = aVersion;
    mNextWrite = mTimers.Now();
    Tick();
  }

  bool MayTake(bool aFound, const lease_record& aRecord, store_era aEra) const
  {
    const auto life = kLifeInPeriods * mSettings.mPeriod;
    if (mHooks.mNow() - mSeen->second >= life) {
      return true;
    }
    // A record, or none, of a restored store may not be the latest.
    if (!aFound) {
      return aEra <= kFirstEra;
    }
    // A record of this VM is that of a process that has ended, or of a write of
    // this one that was not answered.
    const auto& vm = aRecord.mHolder.mVm;
    return aRecord.mEra == aEra && (vm.Empty() || vm == mSettings.mSelf.mVm);
  }

  void Write(object_version aExpected)
  {
    const auto sentAt = mHooks.mNow();
    mNextWrite = mTimers.Now() + mSettings.mPeriod;
    mPlatform.Put(
      Key(),
      WriteLeaseRecord({ mSettings.mSelf, mEra, ++mWrites }),
      aExpected,
      BeginCall([sentAt](state& aSelf, const object_answer& aAnswer) {
        aSelf.OnWritten(aAnswer, sentAt);
      }));
  }

  void OnWritten(const object_answer& aAnswer, boot_time aSentAt)
  {
    if (aAnswer.mStatus == platform_status::Ok && aAnswer.mEra == mEra) {
      Hold(aAnswer.mObject.mVersion, aSentAt);
    } else if (aAnswer.mStatus == platform_status::Ok) {
      // The version that was overwritten may be that of another holder.
      Lose("store_restored");
    } else {
      OnUncertain();
    }
  }

  // A write was not answered, or another one came first, possibly an earlier
  // one of this gateway.
  void OnUncertain()
  {
    mNextWrite = mTimers.Now() + kLookPeriod;
    if (mHeldVersion) {
      Read();
    }
  }

  void Hold(object_version aVersion, boot_time aSentAt)
  {
    if (mReleased) {
      WriteReleased(aVersion);
      return;
    }
    const bool taken = !mHeldVersion;
    mHeldVersion = aVersion;
    const auto life = kLifeInPeriods * mSettings.mPeriod - kSendMargin;
    mSendUntil = aSentAt + life;
    if (taken) {
      if (mLastCall) {
        mMaySendAt =
          std::max(mMaySendAt, *mLastCall + mSettings.mPeriod + kReturnMargin);
      }
      const auto wait =
        std::max(mMaySendAt - mHooks.mNow(), boot_clock::duration::zero());
      LogEvent(log_level::Info,
               "duties_taken",
               { { "token", FencingNumber(mEra, aVersion) },
                 { "era", mEra },
                 { "first_call_in_ms",
                   std::chrono::duration_cast<milliseconds>(wait).count() } });
      NotifyChanged();
    }
  }

  void WriteReleased(object_version aVersion)
  {
    mHeldVersion.reset();
    mPlatform.Put(Key(),
                  WriteLeaseRecord({ {}, mEra, ++mWrites }),
                  aVersion,
                  BeginCall([](state&, const object_answer&) {}));
  }

  void Lose(std::string_view aCause)
  {
    if (std::exchange(mHeldVersion, std::nullopt)) {
      LogEvent(log_level::Warning,
               "duties_lost",
               { { "cause", aCause }, { "era", mEra } });
      NotifyChanged();
    }
    mNextLook = mTimers.Now() + kLookPeriod;
  }

  void NotifyChanged() const
  {
    if (mHooks.mChanged) {
      mHooks.mChanged();
    }
  }

  std::optional<fencing_token> Token() const
  {
    const auto now = mHooks.mNow();
    const bool maySend =
      mHeldVersion && !mReleased && now >= mMaySendAt && now < mSendUntil;
    return maySend ? std::optional(FencingNumber(mEra, *mHeldVersion))
                   : std::nullopt;
  }

  void Release()
  {
    if (std::exchange(mReleased, true) || !mHeldVersion) {
      return;
    }
    LogEvent(log_level::Info,
             "duties_released",
             { { "token", FencingNumber(mEra, *mHeldVersion) } });
    // A write in progress is followed by the release once it is answered.
    if (!mBusy) {
      WriteReleased(*mHeldVersion);
    }
    NotifyChanged();
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  const duty_lease_settings mSettings;
  const duty_lease_hooks mHooks;
  // The record's version as this gateway wrote it last; unset unless it holds
  // the duties.
  std::optional<object_version> mHeldVersion;
  // The store's era in which the record was taken.
  store_era mEra = 0;
  // Calls may be sent in this time only.
  boot_time mMaySendAt{};
  boot_time mSendUntil{};
  std::optional<boot_time> mLastCall;
  // Writes of the record so far.
  std::uint64_t mWrites = 0;
  // The token of the record as last seen or told, and since when.
  std::optional<std::pair<fencing_token, boot_time>> mSeen;
  bool mReleased = false;
  // A call to the store is in progress. Answers to earlier ones are ignored.
  bool mBusy = false;
  std::uint64_t mCall = 0;
  steady_time mNextWrite{};
  steady_time mNextLook{};
  timer_subscription mTimeout;
  timer_subscription mTick;
};

duty_lease::duty_lease(platform_api& aPlatform,
                       timer_service& aTimers,
                       duty_lease_settings aSettings,
                       duty_lease_hooks aHooks)
  : mState(std::make_shared<state>(aPlatform,
                                   aTimers,
                                   std::move(aSettings),
                                   std::move(aHooks)))
{
}

duty_lease::~duty_lease() = default;

void
duty_lease::Start()
{
  mState->mTick =
    mState->mTimers.Every(kTick, [self = mState.get()] { self->Tick(); });
}

std::optional<fencing_token>
duty_lease::Token() const
{
  return mState->Token();
}

fencing_token
duty_lease::HeldToken() const
{
  const auto& self = *mState;
  const bool holds = self.mHeldVersion && !self.mReleased &&
                     self.mHooks.mNow() < self.mSendUntil;
  return holds ? FencingNumber(self.mEra, *self.mHeldVersion) : 0;
}

void
duty_lease::NoteCall()
{
  mState->mLastCall = mState->mHooks.mNow();
}

void
duty_lease::RaiseToken()
{
  mState->mNextWrite = mState->mTimers.Now();
  mState->Tick();
}

void
duty_lease::Release()
{
  mState->Release();
}

} // namespace sapphirespar::duties
