// Implements the rate limits and the circuit breaker of the resilient platform.
#include "sapphirespar/config/resilient_platform.hpp"

#include "resilient_platform_state.hpp"
#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {
namespace {

using std::chrono::milliseconds;

// Lowest rate, right after an outage, as a share of the full rate.
constexpr double kMinShare = 0.1;

// Key of an object that is never written. Reading it only shows whether the
// store answers.
const object_key kProbeKey{ "probe", "probe" };

} // namespace

resilient_platform::state::state(platform_api& aInner,
                                 timer_service& aTimers,
                                 resilient_platform_settings aSettings,
                                 resilient_platform_hooks aHooks)
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
resilient_platform::state::Jittered(milliseconds aDelay)
{
  std::uniform_int_distribution<std::int64_t> pick(aDelay.count() / 2,
                                                   aDelay.count() * 3 / 2);
  return milliseconds(pick(mRandom));
}

void
resilient_platform::state::Schedule(steady_duration aDelay,
                                    std::function<void()> aWork)
{
  const auto id = mNextTimer++;
  mSubscriptions[id] =
    mTimers.After(aDelay, [this, id, work = std::move(aWork)] {
      // The work may destroy this object, so no member is used after it. The
      // extracted node keeps the subscription alive until the work has
      // returned.
      const auto node = mSubscriptions.extract(id);
      work();
    });
}

double
resilient_platform::state::RateShare() const
{
  const std::chrono::duration<double> passed = mTimers.Now() - mShareAt;
  const std::chrono::duration<double> ramp = mSettings.mRampUp;
  return std::min(1.0, mShare + passed / ramp);
}

// Lowers the rate to aShare of the full rate, but not below kMinShare, and
// removes the saved tokens. Random debts keep the routers from sending again at
// the same time.
void
resilient_platform::state::SlowDown(double aShare)
{
  mShare = std::max(kMinShare, aShare);
  mShareAt = mTimers.Now();
  std::uniform_real_distribution<double> debt(0, 1);
  mReads.LowerTokens(debt(mRandom));
  mWrites.LowerTokens(debt(mRandom));
}

double
resilient_platform::state::Rate(double aFleetRate) const
{
  const auto size = mHooks.mFleetSize ? mHooks.mFleetSize() : 1;
  const auto routers = std::max<std::size_t>(1, size);
  return aFleetRate / static_cast<double>(routers) * RateShare();
}

template<class Answer>
void
resilient_platform::state::Refuse(const callback<Answer>& aDone,
                                  bool aThrottled)
{
  ++mCounts.mRejected;
  Answer answer;
  answer.mStatus =
    aThrottled ? platform_status::Throttled : platform_status::Unavailable;
  Schedule(steady_duration::zero(), [aDone, answer] { aDone(answer); });
}

template<class Answer>
void
resilient_platform::state::Read(std::function<void(callback<Answer>)> aSend,
                                callback<Answer> aDone,
                                bool aReportsHealth)
{
  constexpr bool kNotThrottled = false;
  if (!mUp) {
    return Refuse(aDone, kNotThrottled);
  }
  rate_limited_call call;
  call.mSend = [this, send = std::move(aSend), aDone, aReportsHealth] {
    ++mCounts.mReads;
    send([weak = weak_from_this(), aDone, aReportsHealth](Answer aAnswer) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aReportsHealth) {
        self->ObserveStatus(aAnswer.mStatus);
      }
      if constexpr (requires { aAnswer.mEra; }) {
        self->ObserveEra(aAnswer.mEra);
      }
      aDone(std::move(aAnswer));
    });
  };
  call.mRefuse = [this, aDone](bool aThrottled) { Refuse(aDone, aThrottled); };
  mReads.Submit(std::move(call));
}

void
resilient_platform::state::Write(write_ptr aWrite)
{
  constexpr bool kNotThrottled = false;
  if (!mUp) {
    return Refuse(aWrite->mDone, kNotThrottled);
  }
  rate_limited_call call;
  aWrite->mEra = mEra;
  call.mSend = [this, aWrite] {
    aWrite->mDeadline = mTimers.Now() + mSettings.mReadBackTimeout;
    SendWrite(aWrite);
  };
  call.mRefuse = [this, aWrite](bool aThrottled) {
    Refuse(aWrite->mDone, aThrottled);
  };
  mWrites.Submit(std::move(call));
}

// Updates the availability and the rate from the status of an answer.
void
resilient_platform::state::ObserveStatus(platform_status aStatus)
{
  if (aStatus == platform_status::Unavailable ||
      aStatus == platform_status::Unknown) {
    return OnUnavailable();
  }
  if (aStatus == platform_status::Throttled) {
    SlowDown(RateShare() / 2);
  }
  if (mUp && !mReported) {
    ReportAvailability();
  }
}

void
resilient_platform::state::ObserveEra(store_era aEra)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  if (mHooks.mOnEra) {
    mHooks.mOnEra(aEra);
  }
}

void
resilient_platform::state::ReportAvailability()
{
  mReported = true;
  if (mHooks.mOnAvailabilityChange) {
    mHooks.mOnAvailabilityChange(mUp);
  }
}

void
resilient_platform::state::OnUnavailable()
{
  if (!mUp) {
    return;
  }
  mUp = false;
  mProbeDelay = mSettings.mInitialProbeDelay;
  LogEvent(log_level::Warning, "platform_down");
  ReportAvailability();
  mReads.RefuseAll();
  mWrites.RefuseAll();
  Schedule(Jittered(mProbeDelay), [this] { Probe(); });
}

void
resilient_platform::state::Probe()
{
  ++mCounts.mProbes;
  mInner.Get(
    kProbeKey, [weak = weak_from_this()](const object_answer& aAnswer) {
      const auto self = weak.lock();
      if (!self) {
        return;
      }
      if (aAnswer.mStatus == platform_status::NotFound ||
          aAnswer.mStatus == platform_status::Ok) {
        return self->OnAvailable();
      }
      self->mProbeDelay =
        std::min(2 * self->mProbeDelay, self->mSettings.mMaxProbeDelay);
      self->Schedule(self->Jittered(self->mProbeDelay),
                     [state = self.get()] { state->Probe(); });
    });
}

void
resilient_platform::state::OnAvailable()
{
  mUp = true;
  SlowDown(kMinShare);
  LogEvent(log_level::Info, "platform_up");
  ReportAvailability();
}

resilient_platform::resilient_platform(platform_api& aInner,
                                       timer_service& aTimers,
                                       resilient_platform_settings aSettings,
                                       resilient_platform_hooks aHooks)
  : mState(
      std::make_shared<state>(aInner, aTimers, aSettings, std::move(aHooks)))
{
}

resilient_platform::~resilient_platform() = default;

void
resilient_platform::Get(object_key aKey, object_callback aDone)
{
  constexpr bool kReportsHealth = true;
  mState->Read<object_answer>(
    [&inner = mState->mInner, key = std::move(aKey)](object_callback aAnswer) {
      inner.Get(key, std::move(aAnswer));
    },
    std::move(aDone),
    kReportsHealth);
}

void
resilient_platform::List(std::string aKind, list_callback aDone)
{
  constexpr bool kReportsHealth = true;
  mState->Read<list_answer>(
    [&inner = mState->mInner, kind = std::move(aKind)](list_callback aAnswer) {
      inner.List(kind, std::move(aAnswer));
    },
    std::move(aDone),
    kReportsHealth);
}

void
resilient_platform::Put(object_key aKey,
                        std::string aValue,
                        object_version aExpected,
                        object_callback aDone)
{
  mState->Write(std::make_shared<pending_write>(pending_write{
    std::move(aKey), std::move(aValue), aExpected, std::move(aDone), 0, {} }));
}

void
resilient_platform::Delete(object_key aKey,
                           object_version aExpected,
                           object_callback aDone)
{
  mState->Write(std::make_shared<pending_write>(pending_write{
    std::move(aKey), std::nullopt, aExpected, std::move(aDone), 0, {} }));
}

void
resilient_platform::Watch(std::string aKind,
                          object_version aFrom,
                          milliseconds aWait,
                          list_callback aDone)
{
  // A single watch may break while the platform is available.
  constexpr bool kReportsHealth = false;
  mState->Read<list_answer>(
    [&inner = mState->mInner, kind = std::move(aKind), aFrom, aWait](
      list_callback aAnswer) {
      inner.Watch(kind, aFrom, aWait, std::move(aAnswer));
    },
    std::move(aDone),
    kReportsHealth);
}

void
resilient_platform::ListVms(vm_list_callback aDone)
{
  constexpr bool kReportsHealth = true;
  mState->Read<vm_list_answer>(
    [&inner = mState->mInner](vm_list_callback aAnswer) {
      inner.ListVms(std::move(aAnswer));
    },
    std::move(aDone),
    kReportsHealth);
}

bool
resilient_platform::IsUp() const
{
  return mState->mUp;
}

const resilient_platform_counts&
resilient_platform::Counts() const
{
  return mState->mCounts;
}

} // namespace sapphirespar
