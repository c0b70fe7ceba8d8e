// A timer service that tests can pause, to simulate a suspended VM.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <memory>
#include <vector>

namespace sapphirespar {

// Forwards subscriptions to another service. Callbacks that fall due while it
// is paused are deferred and run when Resume is called.
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
    // Callbacks in the order in which they fell due. Expired pointers belong to
    // subscriptions that have been cancelled since.
    std::vector<std::weak_ptr<timer_callback>> mDeferred;
  };

  static void Call(const std::weak_ptr<state>& aState,
                   const std::weak_ptr<timer_callback>& aCallback);
  timer_callback Wrap(const shared_callback& aCallback);

  timer_service& mInner;
  // Shared with subscriptions, which may outlive the service.
  std::shared_ptr<state> mState = std::make_shared<state>();
};

} // namespace sapphirespar
