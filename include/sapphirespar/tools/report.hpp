// What a load run measured, by class, and whether the system kept its
// promises.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/tools/load_run.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::tools {

// Times in milliseconds at some shares of the calls; zero without calls.
struct quantiles
{
  double mP50 = 0;
  double mP95 = 0;
  double mP99 = 0;
};

struct class_report
{
  std::string mClass;
  std::uint64_t mOffered = 0;
  // Whole answers within both targets.
  std::uint64_t mInTime = 0;
  // Whole answers after a target.
  std::uint64_t mLate = 0;
  // Ended with `not_run`.
  std::uint64_t mRefused = 0;
  // Ended with `unknown` and without a whole answer.
  std::uint64_t mUnknown = 0;
  // Told `done` but without an answer.
  std::uint64_t mDoneUnanswered = 0;
  // In answers in time, and in all others.
  std::uint64_t mGoodTokens = 0;
  std::uint64_t mWastedTokens = 0;
  quantiles mFirstToken;
  quantiles mTotal;

  // Share of offered requests that were answered in time.
  double Attainment() const;
};

// One promise and how often it was checked and broken.
struct promise_report
{
  std::string mName;
  std::uint64_t mChecked = 0;
  std::uint64_t mBroken = 0;
  // The first breach, for a person to look into.
  std::string mExample;
};

// Requests that arrived in one span of the run.
struct span_report
{
  std::chrono::milliseconds mFrom{ 0 };
  std::string mClass;
  std::uint64_t mOffered = 0;
  std::uint64_t mInTime = 0;
};

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
  std::vector<span_report> mSpans;
  // By the engines' own count; zero if none was audited.
  std::uint64_t mTokensGenerated = 0;
  unsigned mUnreachableUpstreams = 0;

  bool KeptAllPromises() const;
};

load_report MakeReport(const workload& aWorkload, const load_outcome& aOutcome);

// Returns a table for people, one line for each class and promise.
std::string ToTable(const load_report& aReport);

// Returns a table of two runs side by side.
std::string Compare(const load_report& aFirst, const load_report& aSecond);

std::string ToJsonText(const load_report& aReport);

// Reads what ToJsonText wrote. Fails with config_failure.
result<load_report> ReadReport(const std::string& aPath);

// Returns an SVG picture of attainment over time, a line for each class.
std::string ToSvg(const load_report& aReport);

} // namespace sapphirespar::tools
