// The slots of a stand-in engine and the queue for them.
#include "engine_batch.hpp"

#include <algorithm>

namespace sapphirespar::tools {

void
engine_batch::Add(const job_ptr& aJob)
{
  const auto position = std::ranges::upper_bound(
    mWaiting, aJob->mPriority, {}, [](const job_ptr& aWaiting) {
      return aWaiting->mPriority;
    });
  mWaiting.insert(position, aJob);
  FillSlots();
}

void
engine_batch::Remove(const job_ptr& aJob)
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
    job->mWakeTimer.cancel();
  }
}

} // namespace sapphirespar::tools
