// Simulates a load of long and short prompts on many engines and gateways and
// counts the outcomes for callers. Gateways learn each other's load only from
// periodic reports. Evaluates the choice of engines and the wait limit.
#pragma once

#include "sapphirespar/experiment/prompt_engine.hpp"
#include "sapphirespar/policy/engine_choice.hpp"
#include "sapphirespar/policy/wait_limit.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirespar::experiment {

// A class of requests. Times are in milliseconds, sizes in tokens.
struct prompt_class
{
  std::string mName;
  // 0 is the most urgent.
  unsigned mPriority = 0;
  bool mInteractive = false;
  // Longest time to the first event, and between two events, of a response that
  // is in time.
  double mTargetMs = 0;
  double mTargetGapMs = 0;
  // Callers abandon a request this long after its arrival.
  double mDeadlineMs = 0;
  double mRequestsPerSecond = 0;
  // Number of shared prefixes, and their mean size.
  unsigned mSharedPrefixes = 1;
  double mSharedTokens = 0;
  double mOwnTokens = 0;
  double mOutputTokens = 0;
  double mMaximumOutputTokens = 0;
};

// Multiplies the arrival rate of a class by mFactor from mFromMs until
// mUntilMs.
struct prompt_burst
{
  // Index in prompt_load::mClasses.
  std::size_t mClass = 0;
  double mFactor = 1;
  double mFromMs = 0;
  double mUntilMs = 0;
};

struct prompt_load
{
  std::string mName;
  unsigned mEngines = 0;
  unsigned mGateways = 0;
  // How often gateways report their load to each other.
  double mReportPeriodMs = 300;
  prompt_engine_settings mEngineSettings;
  // The engines' speed as the gateways believe it to be.
  engine_figures mFigures{ 81.9, 41, 4096, 3.74, 0.081 };
  std::vector<prompt_class> mClasses;
  std::vector<prompt_burst> mBursts;
  double mDurationMs = 0;
};

// A load of long digests, short urgent questions and short notes on 112 small
// engines. With aWithBursts, digests and then questions arrive in a burst.
prompt_load DigestsAndQuestions(bool aWithBursts);

// A load of mostly long summaries with a short target, and of short urgent
// questions, on the same number of engines. With aWithBursts, summaries and
// then questions arrive in a burst.
prompt_load SummariesAndQuestions(bool aWithBursts);

struct prompt_class_result
{
  std::string mName;
  std::uint64_t mOffered = 0;
  std::uint64_t mInTime = 0;
  std::uint64_t mLate = 0;
  // Refused twice, as callers retry once.
  std::uint64_t mRefused = 0;
  // The caller's patience or deadline ended before the response.
  std::uint64_t mAbandoned = 0;

  // Share of requests in time, from 0 to 1; 1 without requests.
  double InTime() const;
};

struct prompt_result
{
  std::vector<prompt_class_result> mClasses;
  // Tokens of the shared prefixes of all requests sent to engines, and of the
  // prefixes that were computed although some engine had computed them before.
  double mSharedTokens = 0;
  double mRepeatedPrefillTokens = 0;
  std::uint64_t mPreemptions = 0;
};

// The policies under test: choice of the engine and refusal of requests.
struct prompt_policy
{
  std::function<std::optional<policy::engine_choice>(
    const policy::prompt_work&,
    std::span<const policy::engine_candidate>,
    const engine_figures&,
    double aInteractiveShare,
    double aDraw)>
    mChooseEngine = policy::ChooseEngine;
  std::function<std::optional<std::chrono::milliseconds>(
    const policy::expected_wait&,
    double aDraw)>
    mCheckWaitLimit = policy::CheckWaitLimit;
};

// The same load, seed and policy give the same result.
prompt_result RunPromptTrial(const prompt_load& aLoad,
                             std::uint64_t aSeed,
                             const prompt_policy& aPolicy = {});

void Print(std::ostream& aOut, const prompt_result& aResult);

} // namespace sapphirespar::experiment
