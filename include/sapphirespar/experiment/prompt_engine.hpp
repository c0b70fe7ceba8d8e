// A simulated engine with chunked prefill, a cache of shared prompt prefixes,
// and preemption of running requests by ones of a more urgent priority. Runs in
// virtual milliseconds.
#pragma once

#include "sapphirespar/experiment/event_queue.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sapphirespar::experiment {

struct prompt_engine_settings
{
  std::size_t mSlots = 12;
  double mMemoryTokens = 430'000;
  // Tokens in one event of a stream.
  unsigned mTokensPerEvent = 9;
  // Prompt tokens that one step processes at most.
  double mChunkTokens = 4096;
};

// One request as an engine sees it.
struct prompt_job
{
  std::uint64_t mId = 0;
  // 0 is the most urgent.
  unsigned mPriority = 0;
  // Identifies the prompt prefix that other requests share.
  std::uint64_t mSharedKey = 0;
  double mSharedTokens = 0;
  double mOwnTokens = 0;
  unsigned mOutputTokens = 1;
};

struct prompt_engine_hooks
{
  // Called for each event of a stream; aLast marks the end of the stream.
  std::function<void(std::uint64_t aId, bool aLast)> mOnEvent;
  // Called when a request starts and its shared prefix must be computed, as the
  // cache lacks it. Not called when a preempted request resumes its output.
  std::function<void(const prompt_job&)> mOnSharedPrefill;
};

class prompt_engine
{
public:
  // aQueue must outlive the engine.
  prompt_engine(event_queue& aQueue,
                prompt_engine_settings aSettings,
                prompt_engine_hooks aHooks);

  void Start(const prompt_job& aJob);

  // Drops a running or waiting request without further events.
  void Cancel(std::uint64_t aId);

  std::uint64_t Preemptions() const { return mPreemptions; }

private:
  struct job_state
  {
    prompt_job mJob;
    std::uint64_t mOrder = 0;
    unsigned mGeneratedTokens = 0;
    // Tokens still to be prefilled: of the prompt, and after a preemption of
    // the output generated before it.
    double mPrefillTokens = 0;
    // Tokens of the prompt and of the output so far.
    double mContext = 0;
  };

  // Key and size in tokens.
  using cache_entry = std::pair<std::uint64_t, double>;

  static bool HasPrecedence(const job_state& aLeft, const job_state& aRight);
  void Admit();
  void StartJob(job_state aNext);
  void Step();
  void FinishStep(const std::vector<std::uint64_t>& aDecoding);
  void CachePrefix(std::uint64_t aKey, double aTokens);

  event_queue& mQueue;
  const prompt_engine_settings mSettings;
  const prompt_engine_hooks mHooks;
  std::vector<job_state> mRunning;
  std::vector<job_state> mWaiting;
  bool mStepping = false;
  std::uint64_t mOrder = 0;
  std::uint64_t mPreemptions = 0;
  // Cached prefixes in order of use, the most recently used one first.
  std::list<cache_entry> mCache;
  std::unordered_map<std::uint64_t, std::list<cache_entry>::iterator>
    mCacheIndex;
  double mCachedTokens = 0;
};

} // namespace sapphirespar::experiment
