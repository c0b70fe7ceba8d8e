// Implements timer subscriptions with Asio's steady timer.
#include "sapphirespar/wire/asio_timer_service.hpp"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace sapphirespar::wire {
namespace {

struct subscription_state
{
  boost::asio::steady_timer mTimer;
  // Zero for a single call.
  steady_duration mPeriod{};
  timer_callback mCallback;
  bool mEnded = false;
};

using subscription_ptr = std::shared_ptr<subscription_state>;

void
StartTimer(const subscription_ptr& aState)
{
  aState->mTimer.async_wait([aState](const auto& aError) {
    if (aError || aState->mEnded) {
      return;
    }
    // A copy, because the callback may cancel its own subscription.
    const auto callback = aState->mCallback;
    if (aState->mPeriod > steady_duration::zero()) {
      aState->mTimer.expires_at(aState->mTimer.expiry() + aState->mPeriod);
      StartTimer(aState);
    }
    callback();
  });
}

timer_subscription
Subscribe(const boost::asio::any_io_executor& aExecutor,
          steady_duration aFirst,
          steady_duration aPeriod,
          timer_callback aCallback)
{
  const auto state = std::make_shared<subscription_state>(
    subscription_state{ boost::asio::steady_timer(aExecutor, aFirst),
                        aPeriod,
                        std::move(aCallback) });
  StartTimer(state);
  return timer_subscription([state] {
    state->mEnded = true;
    state->mTimer.cancel();
  });
}

} // namespace

asio_timer_service::asio_timer_service(boost::asio::any_io_executor aExecutor)
  : mExecutor(std::move(aExecutor))
{
}

steady_time
asio_timer_service::Now() const
{
  return std::chrono::steady_clock::now();
}

timer_subscription
asio_timer_service::After(steady_duration aDelay, timer_callback aCallback)
{
  return Subscribe(
    mExecutor, aDelay, steady_duration::zero(), std::move(aCallback));
}

timer_subscription
asio_timer_service::Every(steady_duration aPeriod, timer_callback aCallback)
{
  return Subscribe(mExecutor, aPeriod, aPeriod, std::move(aCallback));
}

} // namespace sapphirespar::wire
