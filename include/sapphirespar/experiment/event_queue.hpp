// Virtual time in milliseconds for simulations with millions of events, for
// which the manual timer service is too slow. Events can't be cancelled.
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

  // Calls aWork aDelayMs from now; a negative delay counts as zero. Events due
  // at the same time run in the order in which they were added.
  void After(double aDelayMs, std::function<void()> aWork);

  // Runs all events due at or before aEndMs and sets the clock to aEndMs.
  void RunUntil(double aEndMs);

private:
  struct event
  {
    double mDueMs;
    std::uint64_t mOrder;
    std::function<void()> mWork;

    bool operator<(const event& aOther) const
    {
      // std::priority_queue pops the greatest element, so the earliest event
      // compares as the greatest.
      return mDueMs != aOther.mDueMs ? mDueMs > aOther.mDueMs
                                     : mOrder > aOther.mOrder;
    }
  };

  double mNowMs = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
};

} // namespace sapphirespar::experiment
