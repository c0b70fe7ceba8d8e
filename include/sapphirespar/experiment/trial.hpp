// One trial: a scheduler before a fleet of fake engines under one load.
#pragma once

#include "sapphirespar/experiment/workload.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirespar::experiment {

// How the requests of one class ended; the kinds exclude each other.
struct class_result
{
  class_id mClass;
  unsigned mTier = 0;
  double mWeight = 0;
  unsigned mOffered = 0;
  // First token and whole answer both within the class's targets.
  unsigned mInTime = 0;
  unsigned mLate = 0;
  // Told "not run".
  unsigned mRefused = 0;
  // The stream broke off with its engine and could not be repeated.
  unsigned mBroken = 0;

  double Attainment() const;
};

struct trial_result
{
  std::vector<class_result> mClasses;
  std::uint64_t mTokens = 0;
  // Tokens of answers that were not in time.
  std::uint64_t mWastedTokens = 0;
  unsigned mPauses = 0;

  // Answers in time, each counted with its class's weight.
  double Goodput() const;
  double WastedShare() const;
  // Least attainment among the classes of the first tier.
  double FirstTierAttainment() const;
};

struct trial_plan
{
  user_load mLoad;
  scenario mScenario = scenario::Calm;
  std::uint64_t mSeed = 1;
  // Whether engines can pause and resume a running request.
  bool mCanPause = true;
};

// Runs all arrivals to their end under virtual time.
trial_result RunTrial(const trial_plan& aPlan, policy::scheduler& aScheduler);

// Prints a table with a line for each class.
void Print(std::ostream& aOut, const trial_result& aResult);

} // namespace sapphirespar::experiment
