// Order and execution of virtual-time events.
#include "sapphirespar/experiment/event_queue.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::experiment {

void
event_queue::After(double aDelayMs, std::function<void()> aWork)
{
  mEvents.push(
    { mNowMs + std::max(aDelayMs, 0.0), mOrder++, std::move(aWork) });
}

void
event_queue::RunUntil(double aEndMs)
{
  while (!mEvents.empty() && mEvents.top().mDueMs <= aEndMs) {
    const auto next = mEvents.top();
    mEvents.pop();
    mNowMs = next.mDueMs;
    next.mWork();
  }
  mNowMs = aEndMs;
}

} // namespace sapphirespar::experiment
