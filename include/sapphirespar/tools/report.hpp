// The report of a load run: results by class, and whether the system kept its
// promises.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/tools/load_run.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::tools {

// Quantiles of the times of calls, in milliseconds; zero if there are no calls.
struct quantiles
{
  double mP50 = 0;
  double mP95 = 0;
  double mP99 = 0;
};

struct class_report
{
  std::string mClass;
  // Requests sent. Each counts in exactly one of the five members below.
  std::uint64_t mOffered = 0;
  // Complete answers within both targets.
  std::uint64_t mInTime = 0;
  // Complete answers that missed a target.
  std::uint64_t mLate = 0;
  // Requests without a complete answer, by outcome: `not_run`, `unknown`, and
  // `done`.
  std::uint64_t mRefused = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mDoneUnanswered = 0;
  // Tokens received by calls that were answered in time, and by all other
  // calls.
  std::uint64_t mGoodTokens = 0;
  std::uint64_t mWastedTokens = 0;
  // Times of complete answers.
  quantiles mFirstToken;
  quantiles mTotal;

  // Returns the share of sent requests that were answered in time; 1 if none
  // were sent.
  double Attainment() const;
};

// One promise of the system, and how often it was checked and broken.
struct promise_report
{
  std::string mName;
  std::uint64_t mChecked = 0;
  std::uint64_t mBroken = 0;
  // The prompt marker and last key of the first call that broke the promise;
  // empty if none did.
  std::string mExample;
};

// The requests of one class that arrived in one interval of the run.
struct interval_report
{
  // The start of the interval, from the start of the run.
  std::chrono::milliseconds mFrom{ 0 };
  std::string mClass;
  std::uint64_t mOffered = 0;
  std::uint64_t mInTime = 0;
};

// The number of calls of a class without a complete answer, by reason.
struct reason_count
{
  std::string mClass;
  std::string mReason;
  std::uint64_t mCount = 0;
};

struct load_report
{
  std::string mName;
  std::uint64_t mSeed = 0;
  std::chrono::milliseconds mDuration{ 0 };
  std::vector<class_report> mClasses;
  std::vector<promise_report> mPromises;
  std::vector<reason_count> mReasons;
  std::vector<interval_report> mIntervals;
  // Sum of the audited engines' counts; zero if no engine was audited.
  std::uint64_t mTokensGenerated = 0;
  unsigned mUnreachableUpstreams = 0;

  bool KeptAllPromises() const;
};

load_report MakeReport(const workload& aWorkload, const load_outcome& aOutcome);

// Returns a text table with a line for each class, reason and promise. The
// column "unknown" includes mDoneUnanswered.
std::string ToTable(const load_report& aReport);

// Returns a text table of two runs side by side. Classes that only one of them
// has are omitted.
std::string Compare(const load_report& aFirst, const load_report& aSecond);

std::string ToJsonText(const load_report& aReport);

// Reads a file that contains the output of ToJsonText. Missing members are read
// as zero or empty. Fails with config_failure.
result<load_report> ReadReport(const std::string& aPath);

// Returns an SVG chart of attainment over time, with a line for each class.
std::string ToSvg(const load_report& aReport);

} // namespace sapphirespar::tools
