// A simulated engine with continuous batching under virtual time: each step
// generates one token for every request of the batch and takes longer for a
// larger batch.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <functional>
#include <map>
#include <vector>

namespace sapphirespar::experiment {

enum class stream_outcome
{
  Finished,
  // The stream ended before its last token.
  Broken,
};

// How a stream ended.
struct engine_report
{
  request_id mRequest;
  stream_outcome mOutcome = stream_outcome::Finished;
  unsigned mTokens = 0;
  // Epoch if no token was generated.
  steady_time mFirstToken{};
};

struct engine_settings
{
  unsigned mSlots = 16;
  // Duration of a step before the additions below.
  std::chrono::microseconds mStep{ 20000 };
  // Added to a step for each request of the batch and of the external load.
  std::chrono::microseconds mStepPerRequest{ 500 };
  // Added to a request's first step for each token of its prompt.
  std::chrono::microseconds mPrefillPerToken{ 10 };
};

class fake_engine
{
public:
  using report_hook = std::function<void(const engine_report&)>;

  fake_engine(timer_service& aTimers,
              engine_settings aSettings,
              report_hook aReport);

  // Returns false while the engine is crashed, as it refuses connections then.
  bool Start(const request_id& aRequest,
             unsigned aPromptTokens,
             unsigned aTokens);
  void SetPaused(const request_id& aRequest, bool aPaused);

  // Drops a request without a report; returns the number of its tokens so far,
  // or 0 for an unknown request.
  unsigned Cancel(const request_id& aRequest);

  // A crash breaks all streams. New ones are refused until SetCrashed(false).
  void SetCrashed(bool aCrashed);
  // Multiplies the duration of each step by aFactor.
  void SetSlowFactor(double aFactor) { mSlowFactor = aFactor; }

  // Number of requests from other clients in the batch.
  void SetExternalLoad(unsigned aExternalLoad)
  {
    mExternalLoad = aExternalLoad;
  }

  // Tokens generated so far, without those of the external load.
  std::uint64_t Generated() const { return mGenerated; }

private:
  struct stream
  {
    unsigned mPromptTokens = 0;
    // Length of the complete response in tokens.
    unsigned mLength = 0;
    unsigned mTokens = 0;
    steady_time mFirstToken{};
    bool mPaused = false;
  };

  // Returns unpaused streams in order of their start, at most one for each
  // slot.
  std::vector<request_id> Batch() const;
  void StartStep();
  void FinishStep(const std::vector<request_id>& aBatch);

  timer_service& mTimers;
  const engine_settings mSettings;
  const report_hook mReport;
  std::map<request_id, stream> mStreams;
  std::vector<request_id> mOrder;
  double mSlowFactor = 1;
  unsigned mExternalLoad = 0;
  bool mCrashed = false;
  // Set exactly while a step is in progress.
  bool mStepping = false;
  timer_subscription mStepEnd;
  std::uint64_t mGenerated = 0;
};

} // namespace sapphirespar::experiment
