// Holding back the callbacks of a paused process.
#include "sapphirespar/base/pausable_timer_service.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {

pausable_timer_service::pausable_timer_service(timer_service& aInner)
  : mInner(aInner)
{
}

timer_subscription
pausable_timer_service::After(steady_duration aDelay, timer_callback aCallback)
{
  const auto shared = std::make_shared<timer_callback>(std::move(aCallback));
  // The subscription owns the callback and the inner subscription.
  auto inner =
    std::make_shared<timer_subscription>(mInner.After(aDelay, Wrap(shared)));
  return timer_subscription(
    [shared, inner = std::move(inner)]() mutable { inner.reset(); });
}

timer_subscription
pausable_timer_service::Every(steady_duration aPeriod, timer_callback aCallback)
{
  const auto shared = std::make_shared<timer_callback>(std::move(aCallback));
  auto inner =
    std::make_shared<timer_subscription>(mInner.Every(aPeriod, Wrap(shared)));
  return timer_subscription(
    [shared, inner = std::move(inner)]() mutable { inner.reset(); });
}

timer_callback
pausable_timer_service::Wrap(const shared_callback& aCallback)
{
  return [state = std::weak_ptr(mState), weak = std::weak_ptr(aCallback)] {
    Call(state, weak);
  };
}

void
pausable_timer_service::Call(const std::weak_ptr<state>& aState,
                             const std::weak_ptr<timer_callback>& aCallback)
{
  const auto state = aState.lock();
  const auto callback = aCallback.lock();
  if (!state || !callback) {
    return;
  }
  if (!state->mPaused) {
    // A copy, because the callback may end its own subscription.
    const auto copy = *callback;
    copy();
    return;
  }
  // A repeated callback that fell due many times runs once.
  const auto held = std::ranges::any_of(
    state->mHeld, [&](const auto& aHeld) { return aHeld.lock() == callback; });
  if (!held) {
    state->mHeld.push_back(aCallback);
  }
}

void
pausable_timer_service::Pause()
{
  mState->mPaused = true;
}

void
pausable_timer_service::Resume()
{
  mState->mPaused = false;
  const auto held = std::exchange(mState->mHeld, {});
  std::ranges::for_each(held, [&](const auto& aWeak) { Call(mState, aWeak); });
}

} // namespace sapphirespar
