// The token bucket with a queue.
#include "call_budget.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {
namespace {

using seconds = std::chrono::duration<double>;

} // namespace

call_budget::call_budget(timer_service& aTimers,
                         std::function<double()> aRate,
                         steady_duration aBurst,
                         std::size_t aQueueLimit)
  : mTimers(aTimers)
  , mRate(std::move(aRate))
  , mBurst(aBurst)
  , mQueueLimit(aQueueLimit)
  , mFilledAt(aTimers.Now())
{
}

void
call_budget::Refill()
{
  const auto now = mTimers.Now();
  const auto rate = mRate();
  const auto most = std::max(1.0, rate * seconds(mBurst).count());
  mLeft = std::min(most, mLeft + rate * seconds(now - mFilledAt).count());
  mFilledAt = now;
}

void
call_budget::Empty(double aDebt)
{
  Refill();
  mLeft = std::min(mLeft, -aDebt);
}

void
call_budget::Submit(budgeted_call aCall)
{
  if (mWaiting.size() >= mQueueLimit) {
    constexpr bool kForRate = true;
    return aCall.mRefuse(kForRate);
  }
  mWaiting.push_back(std::move(aCall));
  SendWaiting();
}

void
call_budget::SendWaiting()
{
  Refill();
  while (!mWaiting.empty() && mLeft >= 1) {
    mLeft -= 1;
    const auto call = std::move(mWaiting.front());
    mWaiting.pop_front();
    call.mSend();
  }
  if (mWaiting.empty()) {
    return;
  }
  // A little more than needed, so that rounding never wakes it too early.
  constexpr std::chrono::milliseconds kMargin{ 1 };
  const seconds wait((1 - mLeft) / mRate());
  mTimer =
    mTimers.After(std::chrono::duration_cast<steady_duration>(wait) + kMargin,
                  [this] { SendWaiting(); });
}

void
call_budget::RefuseAll()
{
  constexpr bool kForRate = false;
  const auto refused = std::exchange(mWaiting, {});
  for (const auto& call : refused) {
    call.mRefuse(kForRate);
  }
}

} // namespace sapphirespar
