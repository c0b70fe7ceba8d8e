// Subscriptions and the virtual timer service.
#include "sapphirespar/base/timer_service.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar {

timer_subscription::timer_subscription(std::function<void()> aCancel)
  : mCancel(std::move(aCancel))
{
}

timer_subscription::timer_subscription(timer_subscription&& aOther) noexcept
  : mCancel(std::exchange(aOther.mCancel, nullptr))
{
}

timer_subscription&
timer_subscription::operator=(timer_subscription&& aOther) noexcept
{
  std::swap(mCancel, aOther.mCancel);
  return *this;
}

timer_subscription::~timer_subscription()
{
  if (mCancel) {
    mCancel();
  }
}

timer_subscription
manual_timer_service::After(steady_duration aDelay, timer_callback aCallback)
{
  return Add({ mNow + aDelay, steady_duration::zero(), std::move(aCallback) });
}

timer_subscription
manual_timer_service::Every(steady_duration aPeriod, timer_callback aCallback)
{
  return Add({ mNow + aPeriod, aPeriod, std::move(aCallback) });
}

timer_subscription
manual_timer_service::Add(entry aEntry)
{
  const auto id = mNextId++;
  mEntries->emplace(id, std::move(aEntry));
  return timer_subscription([entries = std::weak_ptr(mEntries), id] {
    if (const auto live = entries.lock()) {
      live->erase(id);
    }
  });
}

void
manual_timer_service::Advance(steady_duration aStep)
{
  const auto end = mNow + aStep;
  while (!mEntries->empty()) {
    const auto next = std::ranges::min_element(
      *mEntries, {}, [](const auto& aItem) { return aItem.second.mDue; });
    if (next->second.mDue > end) {
      break;
    }
    mNow = std::max(mNow, next->second.mDue);
    const auto callback = next->second.mCallback;
    if (next->second.mPeriod > steady_duration::zero()) {
      next->second.mDue += next->second.mPeriod;
    } else {
      mEntries->erase(next);
    }
    callback();
  }
  mNow = end;
}

} // namespace sapphirespar
