// One trial: a scheduler places a load on a fleet of fake engines.
#pragma once

#include "sapphirespar/experiment/workload.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

namespace sapphirespar::experiment {

// Outcomes of the requests of one class. Each request has exactly one outcome.
struct class_result
{
  class_id mClass;
  unsigned mTier = 0;
  double mWeight = 0;
  unsigned mOffered = 0;
  // First token and complete response both within the class's targets.
  unsigned mInTime = 0;
  // Complete after a target, or cancelled at the deadline.
  unsigned mLate = 0;
  // Rejected by the scheduler without having run.
  unsigned mRefused = 0;
  // The engine failed during the stream, and a retry was not allowed.
  unsigned mBroken = 0;

  // Share of offered requests in time, from 0 to 1; 1 without requests.
  double Attainment() const;
};

struct trial_result
{
  std::vector<class_result> mClasses;
  std::uint64_t mTokens = 0;
  // Tokens of responses that were not in time.
  std::uint64_t mWastedTokens = 0;
  unsigned mPauses = 0;

  // Number of responses in time, weighted by class.
  double Goodput() const;
  // Wasted tokens as a share of all tokens, from 0 to 1.
  double WastedShare() const;
  // Lowest attainment among the classes of tier 1.
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

// Runs all arrivals to completion under virtual time.
trial_result RunTrial(const trial_plan& aPlan, policy::scheduler& aScheduler);

// Prints a table with a line for each class.
void Print(std::ostream& aOut, const trial_result& aResult);

} // namespace sapphirespar::experiment
