// Plays a load of long and short prompts against many engines and gateways that
// know of each other's work only what they told a while ago, and counts what
// callers get. For the choice of engines and the refusal of waits.
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

// A kind of request. Times are in milliseconds.
struct prompt_class
{
  std::string mName;
  // 0 goes first.
  unsigned mPriority = 0;
  bool mInteractive = false;
  double mTargetMs = 0;
  double mTargetGapMs = 0;
  double mDeadlineMs = 0;
  double mPerSecond = 0;
  // How many shared parts there are, and their mean size.
  unsigned mSharedParts = 1;
  double mSharedTokens = 0;
  double mOwnTokens = 0;
  double mOutputTokens = 0;
  double mMostOutputTokens = 0;
};

// More requests of a kind for a while.
struct prompt_burst
{
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
  // How old what gateways know of the others' work is at the most.
  double mNewsMs = 300;
  prompt_engine_shape mShape;
  std::vector<prompt_class> mClasses;
  std::vector<prompt_burst> mBursts;
  double mLengthMs = 0;
};

// Long digests, short urgent questions and short notes before 112 small
// engines, one kind after the other in a burst.
prompt_load DigestsAndQuestions(bool aWithBursts);

struct prompt_class_result
{
  std::string mName;
  std::uint64_t mAsked = 0;
  std::uint64_t mInTime = 0;
  std::uint64_t mLate = 0;
  // Sent away twice, as callers come back once.
  std::uint64_t mRefused = 0;
  // Their callers gave up.
  std::uint64_t mGone = 0;

  double InTime() const;
};

struct prompt_result
{
  std::vector<prompt_class_result> mClasses;
  // Tokens of shared parts that were asked for, and that were read although
  // some engine had read them before.
  double mSharedTokens = 0;
  double mRereadTokens = 0;
  std::uint64_t mPreemptions = 0;
};

// Where requests go and which are refused.
struct prompt_policy
{
  std::function<std::optional<policy::engine_choice>(
    const policy::prompt_work&,
    std::span<const policy::engine_candidate>,
    double aInteractiveShare,
    double aDraw)>
    mChoose = policy::ChooseEngine;
  std::function<std::optional<std::chrono::milliseconds>(
    const policy::expected_wait&,
    double aDraw)>
    mRefuse = policy::CheckWaitLimit;
};

prompt_result PlayPrompts(const prompt_load& aLoad,
                          std::uint64_t aSeed,
                          const prompt_policy& aPolicy = {});

void Print(std::ostream& aOut, const prompt_result& aResult);

} // namespace sapphirespar::experiment
