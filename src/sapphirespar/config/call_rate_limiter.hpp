// Token bucket with a queue. Calls are sent at a limited rate; calls without a
// token wait in order.
#pragma once

#include "sapphirespar/base/timer_service.hpp"

#include <chrono>
#include <deque>
#include <functional>

namespace sapphirespar {

// Exactly one of the two functions is called.
struct rate_limited_call
{
  std::function<void()> mSend;
  // Called if the call is not sent: with true if the queue is full, with false
  // if the platform is unavailable.
  std::function<void(bool aThrottled)> mRefuse;
};

class call_rate_limiter
{
public:
  // aRate returns the present rate in calls per second. The bucket holds the
  // tokens of aBurst, but at least one.
  call_rate_limiter(timer_service& aTimers,
                    std::function<double()> aRate,
                    steady_duration aBurst,
                    std::size_t aQueueLimit);

  // Sends aCall at once or queues it. Refuses it if the queue is full.
  void Submit(rate_limited_call aCall);

  // Refuses all queued calls, because the platform is unavailable.
  void RefuseAll();

  // Lowers the number of tokens to at most -aDebt. Different debts keep routers
  // that stopped together from sending again at the same time.
  void LowerTokens(double aDebt);

private:
  void Refill();
  void SendWaiting();

  timer_service& mTimers;
  std::function<double()> mRate;
  steady_duration mBurst;
  std::size_t mQueueLimit;
  // Tokens in the bucket; each allows one call. Negative while in debt.
  double mTokens = 1;
  steady_time mRefilledAt;
  std::deque<rate_limited_call> mWaiting;
  timer_subscription mTimer;
};

} // namespace sapphirespar
