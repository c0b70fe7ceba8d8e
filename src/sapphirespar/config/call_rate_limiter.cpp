// Implements the token bucket with its queue.
#include "call_rate_limiter.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {
namespace {

using seconds = std::chrono::duration<double>;

} // namespace

call_rate_limiter::call_rate_limiter(timer_service& aTimers,
                                     std::function<double()> aRate,
                                     steady_duration aBurst,
                                     std::size_t aQueueLimit)
  : mTimers(aTimers)
  , mRate(std::move(aRate))
  , mBurst(aBurst)
  , mQueueLimit(aQueueLimit)
  , mRefilledAt(aTimers.Now())
{
}

void
call_rate_limiter::Refill()
{
  const auto now = mTimers.Now();
  const auto rate = mRate();
  const auto capacity = std::max(1.0, rate * seconds(mBurst).count());
  mTokens =
    std::min(capacity, mTokens + rate * seconds(now - mRefilledAt).count());
  mRefilledAt = now;
}

void
call_rate_limiter::LowerTokens(double aDebt)
{
  Refill();
  mTokens = std::min(mTokens, -aDebt);
}

void
call_rate_limiter::Submit(rate_limited_call aCall)
{
  if (mWaiting.size() >= mQueueLimit) {
    constexpr bool kThrottled = true;
    return aCall.mRefuse(kThrottled);
  }
  mWaiting.push_back(std::move(aCall));
  SendWaiting();
}

void
call_rate_limiter::SendWaiting()
{
  Refill();
  while (!mWaiting.empty() && mTokens >= 1) {
    mTokens -= 1;
    const auto call = std::move(mWaiting.front());
    mWaiting.pop_front();
    call.mSend();
  }
  if (mWaiting.empty()) {
    return;
  }
  // Added to the wait, so that rounding never makes the timer fire early.
  constexpr std::chrono::milliseconds kMargin{ 1 };
  const seconds wait((1 - mTokens) / mRate());
  mTimer =
    mTimers.After(std::chrono::duration_cast<steady_duration>(wait) + kMargin,
                  [this] { SendWaiting(); });
}

void
call_rate_limiter::RefuseAll()
{
  constexpr bool kNotThrottled = false;
  const auto refused = std::exchange(mWaiting, {});
  for (const auto& call : refused) {
    call.mRefuse(kNotThrottled);
  }
}

} // namespace sapphirespar
