// Defers callbacks while the service is paused.
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
    // A copy, because the callback may cancel its own subscription.
    const auto copy = *callback;
    copy();
    return;
  }
  // A periodic callback that falls due several times while paused runs once.
  const auto deferred =
    std::ranges::any_of(state->mDeferred, [&](const auto& aDeferred) {
      return aDeferred.lock() == callback;
    });
  if (!deferred) {
    state->mDeferred.push_back(aCallback);
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
  const auto deferred = std::exchange(mState->mDeferred, {});
  std::ranges::for_each(deferred,
                        [&](const auto& aWeak) { Call(mState, aWeak); });
}

} // namespace sapphirespar
