// The stand-in engine's batch: which requests run, which wait, and how fast
// tokens come while so many run.
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
    , mSignal(aExecutor)
  {
  }

  std::string mId;
  std::string mMarker;
  std::string mModel;
  // Length of the whole answer, which nobody outside knows before its end.
  unsigned mTokens = 0;
  // The next token to send.
  unsigned mNext = 0;
  // Lower ones run first.
  int mPriority = 0;
  bool mStream = false;
  bool mPaused = false;
  bool mCancelled = false;
  // True from being given a slot until it is released.
  bool mRunning = false;
  // Cancelled to make a waiting job look at its state.
  asio::steady_timer mSignal;
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

  // Gives aJob a slot or a place among the waiting, by priority.
  void Enter(const job_ptr& aJob);

  // Takes aJob out, wherever it is, and runs the next.
  void Leave(const job_ptr& aJob);

private:
  void FillSlots();

  unsigned mSlots;
  // Jobs with mRunning set; at most mSlots.
  unsigned mRunning = 0;
  // By priority and, within one, by arrival.
  std::deque<job_ptr> mWaiting;
};

} // namespace sapphirespar::tools
