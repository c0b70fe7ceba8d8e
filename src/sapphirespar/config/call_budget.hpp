// A token bucket with a queue: calls go out at a rate, the rest wait in order.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <chrono>
#include <deque>
#include <functional>

namespace sapphirespar {

// One call: exactly one of the two is called.
struct budgeted_call
{
  std::function<void()> mSend;
  // Told that it was not sent, for rate or because the platform is away.
  std::function<void(bool aForRate)> mRefuse;
};

class call_budget
{
public:
  // aRate gives the calls per second at this moment.
  call_budget(timer_service& aTimers,
              std::function<double()> aRate,
              steady_duration aBurst,
              std::size_t aQueueLimit);

  // Sends aCall now or in its turn, or refuses it if too many wait.
  void Submit(budgeted_call aCall);

  // Refuses all that wait, because the platform is away.
  void RefuseAll();

  // Gives up what was saved for a burst and owes aDebt calls, so that routers
  // that stopped together do not go on together.
  void Empty(double aDebt);

private:
  void Refill();
  void SendWaiting();

  timer_service& mTimers;
  std::function<double()> mRate;
  steady_duration mBurst;
  std::size_t mQueueLimit;
  // Calls that may go out now; at least one can always be saved up.
  double mLeft = 1;
  steady_time mFilledAt;
  std::deque<budgeted_call> mWaiting;
  timer_subscription mTimer;
};

} // namespace sapphirespar
