// Virtual milliseconds for models with millions of events, for which the manual
// timer service is too slow. Events can't be taken back.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sapphirespar::experiment {

class event_queue
{
public:
  double NowMs() const { return mNowMs; }

  // Calls aWork aDelayMs from now; events of one time keep their order.
  void After(double aDelayMs, std::function<void()> aWork);

  // Runs all that falls due until aEndMs.
  void RunUntil(double aEndMs);

private:
  struct event
  {
    double mDueMs;
    std::uint64_t mOrder;
    std::function<void()> mWork;

    bool operator<(const event& aOther) const
    {
      // The earliest is the greatest, as the queue wants it.
      return mDueMs != aOther.mDueMs ? mDueMs > aOther.mDueMs
                                     : mOrder > aOther.mOrder;
    }
  };

  double mNowMs = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
};

} // namespace sapphirespar::experiment
