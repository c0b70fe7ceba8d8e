// Slots and the queue in front of them.
#include "engine_batch.hpp"

#include <algorithm>

namespace sapphirespar::tools {

void
engine_batch::Enter(const job_ptr& aJob)
{
  const auto place = std::ranges::upper_bound(
    mWaiting, aJob->mPriority, {}, [](const job_ptr& aWaiting) {
      return aWaiting->mPriority;
    });
  mWaiting.insert(place, aJob);
  FillSlots();
}

void
engine_batch::Leave(const job_ptr& aJob)
{
  if (aJob->mRunning) {
    aJob->mRunning = false;
    --mRunning;
  } else {
    std::erase(mWaiting, aJob);
  }
  FillSlots();
}

void
engine_batch::FillSlots()
{
  while (mRunning < mSlots && !mWaiting.empty()) {
    const auto job = mWaiting.front();
    mWaiting.pop_front();
    job->mRunning = true;
    ++mRunning;
    job->mSignal.cancel();
  }
}

} // namespace sapphirespar::tools
