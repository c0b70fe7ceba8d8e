// The timer service for code that depends on time. Such code reads no clock of
// its own, so that tests can run it on virtual time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace sapphirespar {

using steady_time = std::chrono::steady_clock::time_point;
using steady_duration = std::chrono::steady_clock::duration;
using timer_callback = std::function<void()>;

// Owns a subscription; destroying it cancels the subscription.
class timer_subscription
{
public:
  timer_subscription() = default;
  explicit timer_subscription(std::function<void()> aCancel);
  timer_subscription(timer_subscription&&) noexcept;
  timer_subscription& operator=(timer_subscription&&) noexcept;
  ~timer_subscription();

private:
  // Empty if default-constructed or moved from.
  std::function<void()> mCancel;
};

class timer_service
{
public:
  virtual ~timer_service() = default;

  // Returns the current time of this service.
  virtual steady_time Now() const = 0;

  // Calls aCallback once, aDelay from now.
  [[nodiscard]] virtual timer_subscription After(steady_duration aDelay,
                                                 timer_callback aCallback) = 0;

  // Calls aCallback every aPeriod, for the first time one period from now.
  [[nodiscard]] virtual timer_subscription Every(steady_duration aPeriod,
                                                 timer_callback aCallback) = 0;
};

// Virtual time for tests, which only Advance moves forward.
class manual_timer_service : public timer_service
{
public:
  steady_time Now() const override { return mNow; }
  timer_subscription After(steady_duration aDelay,
                           timer_callback aCallback) override;
  timer_subscription Every(steady_duration aPeriod,
                           timer_callback aCallback) override;

  // Moves time forward by aStep and calls the callbacks that fall due, in the
  // order of their due times.
  void Advance(steady_duration aStep);

private:
  struct entry
  {
    steady_time mDue;
    // Zero for a single call.
    steady_duration mPeriod{};
    timer_callback mCallback;
  };

  timer_subscription Add(entry aEntry);

  steady_time mNow{};
  std::uint64_t mNextId = 1;
  // Shared with subscriptions, which may outlive the service.
  std::shared_ptr<std::map<std::uint64_t, entry>> mEntries =
    std::make_shared<std::map<std::uint64_t, entry>>();
};

} // namespace sapphirespar
