// What a careful platform holds, and the names of its steps. The settling of
// lost writes stands in pending_write.cpp, the rest in resilient_platform.cpp.
#pragma once

#include "call_budget.hpp"
#include "sapphirespar/config/resilient_platform.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>

namespace sapphirespar {

// One write until it is settled. mValue is unset for a deletion.
struct pending_write
{
  object_key mKey;
  std::optional<std::string> mValue;
  object_version mExpected = kNoObject;
  object_callback mDone;
  // After this a lost answer is given up.
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
  std::chrono::milliseconds Jittered(std::chrono::milliseconds aDelay);
  void Later(steady_duration aDelay, std::function<void()> aWork);

  platform_api& mInner;
  timer_service& mTimers;
  resilient_platform_settings mSettings;
  resilient_platform_hooks mHooks;
  resilient_platform_counts mCounts;
  std::mt19937_64 mRandom;
  call_budget mReads;
  call_budget mWrites;

  bool mUp = true;
  // Whether the hook has been told of mUp, which starts as a guess.
  bool mTold = false;
  std::chrono::milliseconds mProbeDelay{ 0 };
  // The share of the rate at a moment; it grows from there.
  double mShare = 1;
  steady_time mShareAt{};

  std::uint64_t mNextTimer = 1;
  std::map<std::uint64_t, timer_subscription> mPending;
};

} // namespace sapphirespar
