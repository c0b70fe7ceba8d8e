// Bounds of the wait for a ration.
#include "ration_waiting.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sapphirespar::gateway {

asio::awaitable<bool>
WaitForRation(const forward_services& aServices,
              const forwarded_request& aForwarded,
              std::unique_ptr<ration_wait>& aWait)
{
  constexpr std::chrono::milliseconds kStep{ 20 };
  auto& guard = aServices.mBrittleGuard;
  const auto until =
    std::min({ aForwarded.mArrived + aForwarded.mRoute->mTargetLatency / 2,
               aForwarded.mDeadline - kTimerTolerance,
               aForwarded.mCallerDeadline - kTimerTolerance });
  if (!guard.IsRationed(aForwarded.mPool) ||
      std::chrono::steady_clock::now() >= until) {
    co_return false;
  }
  if (!aWait) {
    aWait = guard.StartWait(aForwarded.mPool, aForwarded.mPriority);
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, kStep);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  co_return true;
}

} // namespace sapphirespar::gateway
