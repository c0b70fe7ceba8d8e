// Gateways that share a store and the platform's interface for duties, under
// virtual time. They can be killed, paused and cut off.
#pragma once

#include "sapphirespar/base/pausable_timer_service.hpp"
#include "sapphirespar/duties/duty_lease.hpp"
#include "sapphirespar/duties/usage_meter.hpp"
#include "sapphirespar/duties/usage_reporter.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::duties {

inline constexpr std::chrono::milliseconds kLeasePeriod{ 3000 };
inline constexpr std::chrono::milliseconds kWindow{ 5000 };

// The platform's side of the duties. Records what breaks a promise.
class fake_duty_platform
{
public:
  explicit fake_duty_platform(timer_service& aTimers)
    : mTimers(aTimers)
  {
  }

  duty_reply Report(const vm_id& aCaller,
                    fencing_token aToken,
                    const usage_report& aReport);

  // Any other call of the holder.
  duty_reply Call(const vm_id& aCaller, fencing_token aToken);

  std::vector<std::string> mBroken;
  std::map<usage_window, usage_report> mReports;
  unsigned mCalls = 0;
  // Calls with a lower token than one seen before are refused; without, they
  // break a promise.
  bool mChecksFencing = true;
  // The next calls are carried out, but get no answer.
  unsigned mLoseAnswers = 0;

private:
  struct call
  {
    vm_id mCaller;
    steady_time mAt{};
  };

  void CheckOrder(const vm_id& aCaller);
  duty_reply Answer();

  timer_service& mTimers;
  fencing_token mHighest = 0;
  std::map<fencing_token, vm_id> mHolders;
  // The calls of the last lease period.
  std::vector<call> mRecent;
};

class duty_fleet;

// One gateway. A restart makes a new object with the same name.
struct duty_gateway
{
  duty_gateway(duty_fleet& aFleet, process_id aSelf, bool aFirstStart);

  duty_fleet& mFleet;
  const process_id mSelf;
  pausable_timer_service mTimers;
  fake_platform mPlatform;
  metrics mMetrics;
  usage_meter mMeter;
  usage_book mBook;
  duty_lease mLease;
  usage_reporter mReporter;
  // Neither hears nor is heard by other gateways.
  bool mIsCut = false;
};

class duty_fleet
{
public:
  explicit duty_fleet(unsigned aGateways);

  void Kill(unsigned aIndex) { mGateways[aIndex].reset(); }
  void Restart(unsigned aIndex);
  // Moves time forward, and lets gateways tell each other what they know.
  void Advance(steady_duration aTime);

  // Null if it was killed.
  duty_gateway* At(unsigned aIndex) { return mGateways[aIndex].get(); }
  std::size_t Size() const { return mGateways.size(); }
  // The gateways that may send calls now.
  std::vector<unsigned> Holders() const;

  policy::wall_time Now() const;
  bool IsHeard(const duty_gateway& aGateway) const;
  void Tell();
  // Each gateway that may send a call does so.
  void CallAll();

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_duty_platform mDuties{ mTimers };

private:
  std::vector<std::unique_ptr<duty_gateway>> mGateways;
  incarnation_number mLastIncarnation = 0;
};

} // namespace sapphirespar::duties
