// Platform client that limits the rate of this router's calls to its share of
// the fleet's budget, rejects calls during an outage (circuit breaker), raises
// the rate gradually after it, and reads back writes whose answers were lost.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace sapphirespar {

struct resilient_platform_settings
{
  // Budgets of the whole fleet. A watch counts as one read.
  double mFleetReadsPerSecond = 1000;
  double mFleetWritesPerSecond = 200;
  // A burst may use the calls that were left unused during this time.
  std::chrono::milliseconds mBurst{ 10000 };
  // Limit for the queue of reads and for the queue of writes. Calls beyond it
  // are answered Throttled.
  std::size_t mQueueLimit = 64;
  // Delay between probes during an outage, with jitter. It doubles with each
  // failed probe, up to the maximum.
  std::chrono::milliseconds mInitialProbeDelay{ 250 };
  std::chrono::milliseconds mMaxProbeDelay{ 5000 };
  // Time in which the rate would rise from zero to its full value. It starts at
  // a tenth of the full rate after an outage, and at half the present rate, but
  // no less than a tenth of the full one, after a throttled call.
  std::chrono::milliseconds mRampUp{ 10000 };
  // A write whose answer was lost is read back at this interval, with jitter,
  // until it is resolved or the timeout expires.
  std::chrono::milliseconds mReadBackTimeout{ 5000 };
  std::chrono::milliseconds mReadBackInterval{ 200 };
  // Seed of the random jitter.
  std::uint64_t mSeed = 1;
};

struct resilient_platform_hooks
{
  // Returns the number of routers that share the budget, including this one;
  // unset means one.
  std::function<std::size_t()> mFleetSize;
  // Called after the first answer, and whenever the platform becomes available
  // or unavailable.
  std::function<void(bool aUp)> mOnAvailabilityChange;
  // Called whenever an answer tells a higher era than all answers before it,
  // before that answer is passed on.
  std::function<void(store_era)> mOnEra;
};

struct resilient_platform_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mProbes = 0;
  // Writes with a lost answer that reading back showed to be applied.
  std::uint64_t mResolved = 0;
  // Writes with a lost answer that were answered Unknown.
  std::uint64_t mUnresolved = 0;
  // Calls answered Unavailable or Throttled without reaching the platform.
  std::uint64_t mRejected = 0;
};

// During an outage every new call is answered Unavailable at once, which proves
// that the call was not applied. The platform itself receives only the probes,
// and the reads that read back earlier writes. A write is answered Unknown only
// if reading it back does not resolve it.
class resilient_platform : public platform_api
{
public:
  resilient_platform(platform_api& aInner,
                     timer_service& aTimers,
                     resilient_platform_settings aSettings,
                     resilient_platform_hooks aHooks);
  ~resilient_platform() override;

  void Get(object_key aKey, object_callback aDone) override;
  void List(std::string aKind, list_callback aDone) override;
  void Put(object_key aKey,
           std::string aValue,
           object_version aExpected,
           object_callback aDone) override;
  void Delete(object_key aKey,
              object_version aExpected,
              object_callback aDone) override;
  void Watch(std::string aKind,
             object_version aFrom,
             std::chrono::milliseconds aWait,
             list_callback aDone) override;
  void ListVms(vm_list_callback aDone) override;

  bool IsUp() const;
  const resilient_platform_counts& Counts() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
