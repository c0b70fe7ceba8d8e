// Counts the calls of a run by class and checks the promises.
#include "sapphirespar/tools/report.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds kReportInterval{ 500 };

bool
IsComplete(const call_record& aCall)
{
  return aCall.mAnswered && aCall.mCheck == answer_check::Complete;
}

bool
IsInTime(const class_load& aLoad, const call_record& aCall)
{
  return IsComplete(aCall) && aCall.mFirstToken <= aLoad.mFirstTokenTarget &&
         aCall.mTotal <= aLoad.mAnswerTarget;
}

quantiles
Quantiles(std::vector<microseconds> aTimes)
{
  if (aTimes.empty()) {
    return {};
  }
  std::ranges::sort(aTimes);
  const auto at = [&](double aShare) {
    constexpr double kMicrosecondsPerMillisecond = 1000;
    const auto last = static_cast<double>(aTimes.size() - 1);
    const auto index = static_cast<std::size_t>(aShare * last + 0.5);
    return static_cast<double>(aTimes[index].count()) /
           kMicrosecondsPerMillisecond;
  };
  return { at(0.50), at(0.95), at(0.99) };
}

void
CountCall(const class_load& aLoad,
          const call_record& aCall,
          class_report& aReport)
{
  ++aReport.mOffered;
  const bool inTime = IsInTime(aLoad, aCall);
  (inTime ? aReport.mGoodTokens : aReport.mWastedTokens) += aCall.mTokens;
  if (inTime) {
    ++aReport.mInTime;
  } else if (IsComplete(aCall)) {
    ++aReport.mLate;
  } else if (aCall.mOutcome == outcome::NotRun) {
    ++aReport.mRefused;
  } else if (aCall.mOutcome == outcome::Unknown) {
    ++aReport.mUnknown;
  } else {
    ++aReport.mDoneUnanswered;
  }
}

class_report
ReportClass(const workload& aWorkload,
            std::size_t aClass,
            const load_outcome& aOutcome)
{
  const auto& load = aWorkload.mClasses[aClass];
  class_report report;
  report.mClass = load.mClass;
  std::vector<microseconds> first;
  std::vector<microseconds> total;
  for (const auto& call : aOutcome.mCalls) {
    if (call.mClass != aClass) {
      continue;
    }
    CountCall(load, call, report);
    if (IsComplete(call)) {
      first.push_back(call.mFirstToken);
      total.push_back(call.mTotal);
    }
  }
  report.mFirstToken = Quantiles(std::move(first));
  report.mTotal = Quantiles(std::move(total));
  return report;
}

unsigned
CountOf(const std::map<std::string, unsigned>& aCounts, const std::string& aKey)
{
  const auto found = aCounts.find(aKey);
  return found == aCounts.end() ? 0 : found->second;
}

// Returns the number of executions under all keys of one call.
unsigned
RunsOf(const call_record& aCall, const upstream_audit& aAudit)
{
  return std::accumulate(aCall.mKeys.begin(),
                         aCall.mKeys.end(),
                         0U,
                         [&](unsigned aSum, const std::string& aKey) {
                           return aSum + CountOf(aAudit.mRuns, aKey);
                         });
}

// Checks one promise for each call to which it applies.
promise_report
CheckPromise(std::string aName,
             const load_outcome& aOutcome,
             const std::function<bool(const call_record&)>& aApplies,
             const std::function<bool(const call_record&)>& aIsKept)
{
  promise_report report;
  report.mName = std::move(aName);
  for (const auto& call : aOutcome.mCalls) {
    if (!aApplies(call)) {
      continue;
    }
    ++report.mChecked;
    if (aIsKept(call)) {
      continue;
    }
    ++report.mBroken;
    if (report.mExample.empty()) {
      report.mExample = "marker " + call.mMarker;
      report.mExample += call.mKeys.empty() ? "" : " key " + call.mKeys.back();
    }
  }
  return report;
}

std::vector<promise_report>
CheckPromises(const load_outcome& aOutcome)
{
  const auto& audit = aOutcome.mAudit;
  const auto answered = [](const call_record& aCall) {
    return aCall.mAnswered;
  };
  const auto keyed = [](const call_record& aCall) {
    return !aCall.mKeys.empty();
  };
  // A truncated text is the caller's own. If its answer ended properly, it
  // breaks answers_end_whole instead.
  const auto ownText = [](const call_record& aCall) {
    return aCall.mCheck != answer_check::OtherRequest &&
           aCall.mCheck != answer_check::Garbled;
  };
  const auto hasText = [](const call_record& aCall) {
    return aCall.mTokens > 0;
  };
  const auto notRun = [](const call_record& aCall) {
    return aCall.mOnlyNotRun;
  };
  const auto neverRan = [&](const call_record& aCall) {
    return RunsOf(aCall, audit) == 0 &&
           CountOf(audit.mReceived, aCall.mMarker) == 0;
  };
  const auto atMostOnce = [&](const call_record& aCall) {
    return RunsOf(aCall, audit) <= 1;
  };
  const auto done = [](const call_record& aCall) {
    return !aCall.mKeys.empty() && aCall.mOutcome == outcome::Done;
  };
  const auto ran = [&](const call_record& aCall) {
    return RunsOf(aCall, audit) >= 1;
  };
  return {
    CheckPromise("answers_end_whole", aOutcome, answered, IsComplete),
    CheckPromise("text_is_the_callers_own", aOutcome, hasText, ownText),
    CheckPromise("not_run_was_not_run", aOutcome, notRun, neverRan),
    CheckPromise("runs_at_most_once", aOutcome, keyed, atMostOnce),
    CheckPromise("done_did_run", aOutcome, done, ran),
  };
}

std::vector<reason_count>
CountReasons(const workload& aWorkload, const load_outcome& aOutcome)
{
  std::map<std::pair<std::size_t, std::string>, std::uint64_t> counts;
  for (const auto& call : aOutcome.mCalls) {
    if (!IsComplete(call)) {
      ++counts[{ call.mClass, call.mReason }];
    }
  }
  std::vector<reason_count> reasons;
  for (const auto& [key, count] : counts) {
    reasons.push_back(
      { aWorkload.mClasses[key.first].mClass, key.second, count });
  }
  return reasons;
}

std::vector<interval_report>
CountIntervals(const workload& aWorkload, const load_outcome& aOutcome)
{
  std::map<std::pair<std::int64_t, std::size_t>, interval_report> intervals;
  for (const auto& call : aOutcome.mCalls) {
    const auto& load = aWorkload.mClasses[call.mClass];
    const std::int64_t index = call.mAt / kReportInterval;
    auto& interval = intervals[{ index, call.mClass }];
    interval.mFrom = index * kReportInterval;
    interval.mClass = load.mClass;
    ++interval.mOffered;
    interval.mInTime += IsInTime(load, call) ? 1 : 0;
  }
  std::vector<interval_report> list;
  for (auto& [key, interval] : intervals) {
    list.push_back(std::move(interval));
  }
  return list;
}

} // namespace

double
class_report::Attainment() const
{
  return mOffered == 0
           ? 1.0
           : static_cast<double>(mInTime) / static_cast<double>(mOffered);
}

bool
load_report::KeptAllPromises() const
{
  return std::ranges::all_of(mPromises, [](const promise_report& aPromise) {
    return aPromise.mBroken == 0;
  });
}

load_report
MakeReport(const workload& aWorkload, const load_outcome& aOutcome)
{
  load_report report;
  report.mName = aWorkload.mName;
  report.mSeed = aWorkload.mSeed;
  report.mDuration = aWorkload.mDuration;
  for (std::size_t index = 0; index < aWorkload.mClasses.size(); ++index) {
    report.mClasses.push_back(ReportClass(aWorkload, index, aOutcome));
  }
  report.mPromises = CheckPromises(aOutcome);
  report.mReasons = CountReasons(aWorkload, aOutcome);
  report.mIntervals = CountIntervals(aWorkload, aOutcome);
  report.mTokensGenerated = aOutcome.mAudit.mTokensGenerated;
  report.mUnreachableUpstreams = aOutcome.mAudit.mUnreachable;
  return report;
}

} // namespace sapphirespar::tools
