// The work of the stand-in engine: jobs wait for slots, pause, and generate
// their tokens at a pace that depends on the batch.
#pragma once

#include "engine_batch.hpp"
#include "engine_cache.hpp"

#include "sapphirespar/tools/standin_engine.hpp"

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace sapphirespar::tools {

struct engine_counts
{
  std::uint64_t mStarted = 0;
  std::uint64_t mFinished = 0;
  // Tokens generated, whether or not they reached anyone.
  std::uint64_t mTokens = 0;
  // Most requests that ever waited inside for a slot.
  std::size_t mMostWaiting = 0;
};

struct engine_state
{
  explicit engine_state(engine_settings aSettings)
    : mSettings(std::move(aSettings))
    , mBatch(mSettings.mSlots)
    , mModels(mSettings.mModels.begin(), mSettings.mModels.end())
  {
  }

  engine_settings mSettings;
  engine_batch mBatch;
  prefix_cache mCache;
  load_history mLoad;
  upstream_faults mFaults;
  engine_counts mCounts;
  std::set<std::string> mModels;
  std::string mRole = "mixed";
  // Highest fencing number of an order obeyed so far.
  std::uint64_t mFence = 0;
  // By request; kept after a broken connection so that it can be continued.
  std::map<std::string, job_ptr> mJobs;
  // How often a request with each prompt marker has been started.
  std::map<std::string, unsigned> mStarts;
};

engine_time Now();

// Returns a time as long as the engine's slowness makes it.
std::chrono::microseconds Slowed(const engine_state& aState,
                                 double aMicroseconds);

// Runs a job from its next token to its end.
asio::awaitable<void> RunJob(engine_state& aState,
                             job_ptr aJob,
                             std::chrono::microseconds aFirstToken,
                             wire::http_reply& aReply);

} // namespace sapphirespar::tools
