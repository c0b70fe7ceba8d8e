// An engine that reads prompts in pieces between the tokens of running streams,
// keeps the shared parts that it has read, and gives the slot of a less urgent
// request to a more urgent one. Runs in virtual milliseconds.
#pragma once

#include "sapphirespar/experiment/event_queue.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace sapphirespar::experiment {

struct prompt_engine_shape
{
  std::size_t mSlots = 12;
  double mMemoryTokens = 430'000;
  // Tokens that one event of a stream holds.
  unsigned mTokensPerEvent = 9;
};

// One request as an engine sees it.
struct prompt_job
{
  std::uint64_t mId = 0;
  // 0 goes first.
  unsigned mPriority = 0;
  // Names the part of the prompt that others share.
  std::uint64_t mSharedKey = 0;
  double mSharedTokens = 0;
  double mOwnTokens = 0;
  unsigned mOutputTokens = 1;
};

struct prompt_engine_hooks
{
  // An event of a stream is made; the last one ends it.
  std::function<void(std::uint64_t aId, bool aLast)> mEvent;
  // A request's shared part is read, as it was not kept.
  std::function<void(const prompt_job&)> mRead;
};

class prompt_engine
{
public:
  // The queue outlives the engine.
  prompt_engine(event_queue& aQueue,
                prompt_engine_shape aShape,
                prompt_engine_hooks aHooks);

  void Start(const prompt_job& aJob);

  // Drops a request that nobody waits for any more.
  void Cancel(std::uint64_t aId);

  std::uint64_t Preemptions() const { return mPreemptions; }

private:
  struct run
  {
    prompt_job mJob;
    std::uint64_t mOrder = 0;
    unsigned mMade = 0;
    // Of the prompt and of what was made before a preemption.
    double mToRead = 0;
    double mContext = 0;
  };

  using cached = std::pair<std::uint64_t, double>;

  static bool GoesBefore(const run& aLeft, const run& aRight);
  void Admit();
  void Run(run aNext);
  void Step();
  void FinishStep(const std::vector<std::uint64_t>& aMakers);
  void Keep(std::uint64_t aKey, double aTokens);

  event_queue& mQueue;
  const prompt_engine_shape mShape;
  const prompt_engine_hooks mHooks;
  std::vector<run> mRunning;
  std::vector<run> mWaiting;
  bool mStepping = false;
  std::uint64_t mOrder = 0;
  std::uint64_t mPreemptions = 0;
  // Parts kept, the one used last at the front.
  std::list<cached> mKept;
  std::unordered_map<std::uint64_t, std::list<cached>::iterator> mKeptPlaces;
  double mKeptTokens = 0;
};

} // namespace sapphirespar::experiment
