// State of a resilient platform. resilient_platform_writes.cpp implements
// sending writes and reading them back, resilient_platform.cpp the rest.
#pragma once

#include "call_rate_limiter.hpp"
#include "sapphirespar/config/resilient_platform.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace sapphirespar {

// A write that has not been answered yet.
struct pending_write
{
  object_key mKey;
  // Unset for a deletion.
  std::optional<std::string> mValue;
  object_version mExpected = kNoObject;
  object_callback mDone;
  // The latest era when the write was submitted.
  store_era mEra = 0;
  // After this time a write with a lost answer is answered Unknown.
  steady_time mDeadline{};
};

using write_ptr = std::shared_ptr<pending_write>;

struct resilient_platform::state : std::enable_shared_from_this<state>
{
  state(platform_api& aInner,
        timer_service& aTimers,
        resilient_platform_settings aSettings,
        resilient_platform_hooks aHooks);

  template<class Answer>
  using callback = std::function<void(Answer)>;

  // Sends a read through the rate limiter by calling aSend with the callback
  // for the answer. aReportsHealth says whether the answer's status shows if
  // the platform is available.
  template<class Answer>
  void Read(std::function<void(callback<Answer>)> aSend,
            callback<Answer> aDone,
            bool aReportsHealth);
  template<class Answer>
  void Refuse(const callback<Answer>& aDone, bool aThrottled);

  void Write(write_ptr aWrite);
  void SendWrite(const write_ptr& aWrite);
  void OnWritten(const write_ptr& aWrite, object_answer aAnswer);
  void ScheduleReadBack(const write_ptr& aWrite);
  void ReadBack(const write_ptr& aWrite);
  void OnReadBack(const write_ptr& aWrite, const object_answer& aAnswer);
  void AnswerUnknown(const write_ptr& aWrite);

  void ObserveStatus(platform_status aStatus);
  void ObserveEra(store_era aEra);
  void ReportAvailability();
  void OnUnavailable();
  void OnAvailable();
  void Probe();
  double RateShare() const;
  double Rate(double aFleetRate) const;
  void SlowDown(double aShare);
  std::chrono::milliseconds Jittered(std::chrono::milliseconds aDelay);
  void Schedule(steady_duration aDelay, std::function<void()> aWork);

  platform_api& mInner;
  timer_service& mTimers;
  resilient_platform_settings mSettings;
  resilient_platform_hooks mHooks;
  resilient_platform_counts mCounts;
  std::mt19937_64 mRandom;
  call_rate_limiter mReads;
  call_rate_limiter mWrites;

  // The highest era told so far; zero if none.
  store_era mEra = 0;

  bool mUp = true;
  // Whether mOnAvailabilityChange has been called. Until then mUp is only an
  // assumption.
  bool mReported = false;
  std::chrono::milliseconds mProbeDelay{ 0 };
  // Share of the full rate at the time mShareAt; it rises from there.
  double mShare = 1;
  steady_time mShareAt{};

  std::uint64_t mNextTimer = 1;
  std::map<std::uint64_t, timer_subscription> mSubscriptions;
};

} // namespace sapphirespar
