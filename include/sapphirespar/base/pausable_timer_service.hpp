// Timers of one process that tests can pause, as when a VM is suspended.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <memory>
#include <vector>

namespace sapphirespar {

// Passes subscriptions on to another service. While paused, callbacks that
// fall due are held back; they run on Resume, late.
class pausable_timer_service : public timer_service
{
public:
  explicit pausable_timer_service(timer_service& aInner);

  steady_time Now() const override { return mInner.Now(); }
  timer_subscription After(steady_duration aDelay,
                           timer_callback aCallback) override;
  timer_subscription Every(steady_duration aPeriod,
                           timer_callback aCallback) override;

  void Pause();
  void Resume();
  bool Paused() const { return mState->mPaused; }

private:
  using shared_callback = std::shared_ptr<timer_callback>;

  struct state
  {
    bool mPaused = false;
    // Due callbacks in order; gone ones have been cancelled since.
    std::vector<std::weak_ptr<timer_callback>> mHeld;
  };

  static void Call(const std::weak_ptr<state>& aState,
                   const std::weak_ptr<timer_callback>& aCallback);
  timer_callback Wrap(const shared_callback& aCallback);

  timer_service& mInner;
  // Shared with subscriptions, which may outlive the service.
  std::shared_ptr<state> mState = std::make_shared<state>();
};

} // namespace sapphirespar
