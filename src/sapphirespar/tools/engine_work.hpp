// Execution of jobs at the stand-in engine: they wait for slots, pause, and
// generate tokens at a rate that depends on the batch size.
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
  // Tokens generated, including those that no client received.
  std::uint64_t mTokens = 0;
  // Largest number of requests that waited for a slot at the same time.
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
  // Highest fencing number of the orders received so far.
  std::uint64_t mFence = 0;
  // By request id. A job is kept after its connection breaks, so that a client
  // can continue its stream.
  std::map<std::string, job_ptr> mJobs;
  // Number of requests received, by prompt marker.
  std::map<std::string, unsigned> mReceived;
};

engine_time Now();

// Returns a delay multiplied by the engine's slow_factor fault.
std::chrono::microseconds ScaledDelay(const engine_state& aState,
                                      double aMicroseconds);

// Waits for a slot, then generates and sends the job's tokens from the next one
// to the last. aFirstTokenDelay is the delay before generation begins.
asio::awaitable<void> RunJob(engine_state& aState,
                             job_ptr aJob,
                             std::chrono::microseconds aFirstTokenDelay,
                             wire::http_reply& aReply);

} // namespace sapphirespar::tools
