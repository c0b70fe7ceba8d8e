// Keeps one router's use of the platform within its share of the fleet's
// budget, holds calls back during an outage, returns gently after it, and
// settles writes whose answer was lost.
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
  // Of the whole fleet; a waiting watch counts as one read.
  double mFleetReadsPerSecond = 1000;
  double mFleetWritesPerSecond = 200;
  // How long unused calls are saved up for a burst.
  std::chrono::milliseconds mBurst{ 10000 };
  // Calls that wait for their turn, of reads and of writes.
  std::size_t mQueueLimit = 64;
  // Between probes during an outage, doubling up to the limit, with jitter.
  std::chrono::milliseconds mInitialProbeDelay{ 250 };
  std::chrono::milliseconds mMaxProbeDelay{ 5000 };
  // From a tenth of the rate after an outage or a throttled call to all of it.
  std::chrono::milliseconds mRampUp{ 10000 };
  // How long a lost answer is asked after.
  std::chrono::milliseconds mReadBackTimeout{ 5000 };
  std::chrono::milliseconds mReadBackInterval{ 200 };
  // Seeds the jitter.
  std::uint64_t mSeed = 1;
};

struct resilient_platform_hooks
{
  // Routers that share the budget, this one included; unset means one.
  std::function<std::size_t()> mFleetSize;
  // Called after the first call and when the platform has gone or come back.
  std::function<void(bool aUp)> mOnAvailabilityChange;
};

struct resilient_platform_counts
{
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mProbes = 0;
  // Lost answers that were settled, and those that were not.
  std::uint64_t mResolved = 0;
  std::uint64_t mUnresolved = 0;
  // Answered here without a call, as Unavailable or Throttled.
  std::uint64_t mRejected = 0;
};

// During an outage every call is answered Unavailable at once, which proves
// that it was not applied; the platform itself only sees the probes. A write
// is answered Unknown only after it could not be settled in time.
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
