// An engine with continuous batching under virtual time: each step gives every
// request of the batch one token and takes longer the larger the batch is.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"

#include <functional>
#include <map>
#include <vector>

namespace sapphirespar::experiment {

enum class engine_end
{
  Finished,
  // The stream broke off.
  Broken,
};

struct engine_report
{
  request_id mRequest;
  engine_end mEnd = engine_end::Finished;
  unsigned mTokens = 0;
  // Epoch if no token was made.
  steady_time mFirstToken{};
};

struct engine_shape
{
  unsigned mSlots = 16;
  std::chrono::microseconds mStep{ 20000 };
  // Added to a step for each request of the batch.
  std::chrono::microseconds mStepPerRequest{ 500 };
  // Added to a request's first step for each token of its prompt.
  std::chrono::microseconds mPrefillPerToken{ 10 };
};

class fake_engine
{
public:
  using report_hook = std::function<void(const engine_report&)>;

  fake_engine(timer_service& aTimers, engine_shape aShape, report_hook aReport);

  // Returns false if the engine refuses connections.
  bool Start(const request_id& aRequest,
             unsigned aPromptTokens,
             unsigned aTokens);
  void SetPaused(const request_id& aRequest, bool aPaused);

  // Drops a request without a report and returns how many tokens it had.
  unsigned Cancel(const request_id& aRequest);

  // Breaks off all streams and refuses new ones until told otherwise.
  void SetCrashed(bool aCrashed);
  void SetSlowFactor(double aFactor) { mSlowFactor = aFactor; }

  // Requests of others in the batch.
  void SetForeign(unsigned aForeign) { mForeign = aForeign; }

  // Tokens made so far for requests that were started here.
  std::uint64_t Generated() const { return mGenerated; }

private:
  struct stream
  {
    unsigned mPromptTokens = 0;
    // Length of the whole answer.
    unsigned mLength = 0;
    unsigned mTokens = 0;
    steady_time mFirstToken{};
    bool mPaused = false;
  };

  // Unpaused streams in order of their start, as many as there are slots.
  std::vector<request_id> Batch() const;
  void StartStep();
  void FinishStep(const std::vector<request_id>& aBatch);

  timer_service& mTimers;
  const engine_shape mShape;
  const report_hook mReport;
  std::map<request_id, stream> mStreams;
  std::vector<request_id> mOrder;
  double mSlowFactor = 1;
  unsigned mForeign = 0;
  bool mCrashed = false;
  // A step is in progress exactly while this is set.
  bool mStepping = false;
  timer_subscription mStepEnd;
  std::uint64_t mGenerated = 0;
};

} // namespace sapphirespar::experiment
