// The stand-in engine's batch: which requests run and which wait for a slot.
#pragma once

#include "standin_http.hpp"

#include <deque>
#include <memory>
#include <string>

namespace sapphirespar::tools {

// One request at the engine.
struct engine_job
{
  engine_job(std::string aId, asio::any_io_executor aExecutor)
    : mId(std::move(aId))
    , mWakeTimer(aExecutor)
  {
  }

  std::string mId;
  std::string mMarker;
  std::string mModel;
  // Length of the complete answer. Load reports don't contain it.
  unsigned mTokens = 0;
  // Index of the next token to generate, from 0.
  unsigned mNextToken = 0;
  // Jobs with lower values run first.
  int mPriority = 0;
  bool mStream = false;
  bool mPaused = false;
  bool mCancelled = false;
  // Whether the job holds a slot.
  bool mRunning = false;
  // The job's waits use this timer. Cancelling it makes a waiting job check its
  // state.
  asio::steady_timer mWakeTimer;
};

using job_ptr = std::shared_ptr<engine_job>;

class engine_batch
{
public:
  explicit engine_batch(unsigned aSlots)
    : mSlots(aSlots)
  {
  }

  unsigned Slots() const { return mSlots; }
  unsigned Running() const { return mRunning; }
  std::size_t Waiting() const { return mWaiting.size(); }

  // Gives aJob a slot, or queues it by priority if none is free.
  void Add(const job_ptr& aJob);

  // Releases the job's slot or removes the job from the queue, then gives free
  // slots to waiting jobs.
  void Remove(const job_ptr& aJob);

private:
  void FillSlots();

  unsigned mSlots;
  // Jobs with mRunning set; at most mSlots.
  unsigned mRunning = 0;
  // Ordered by priority, then by arrival.
  std::deque<job_ptr> mWaiting;
};

} // namespace sapphirespar::tools
