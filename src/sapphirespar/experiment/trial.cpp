// Execution of a trial and its metrics.
#include "sapphirespar/experiment/trial.hpp"

#include "sapphirespar/experiment/fleet.hpp"
#include "sapphirespar/policy/retry.hpp"

#include <algorithm>
#include <iomanip>
#include <numeric>
#include <ostream>
#include <set>
#include <unordered_map>
#include <utility>

namespace sapphirespar::experiment {

namespace {

using namespace std::chrono_literals;

constexpr steady_duration kTickPeriod = 50ms;
constexpr steady_duration kRefreshPeriod = 1s;

// Time for requests in progress after the last arrival. It exceeds the longest
// response target of the loads.
constexpr steady_duration kMaxDrainTime = 320s;

class trial
{
public:
  trial(const trial_plan& aPlan, policy::scheduler& aScheduler)
    : mPlan(aPlan)
    , mScheduler(aScheduler)
    , mArrivals(MakeArrivals(aPlan.mLoad, aPlan.mScenario, aPlan.mSeed))
    , mFleet(mTimers,
             { aPlan.mLoad.mEngines, aPlan.mCanPause },
             aPlan.mSeed,
             [this](const upstream_id& aId, const engine_report& aReport) {
               HandleReport(aId, aReport);
             })
  {
    for (std::size_t i = 0; i < mArrivals.size(); ++i) {
      mById.emplace(mArrivals[i].mRequest.mId, i);
    }
    for (const auto& load : aPlan.mLoad.mClasses) {
      auto& result = mResult.mClasses.emplace_back();
      result.mClass = load.mClass.mId;
      result.mTier = load.mClass.mTier;
      result.mWeight = load.mClass.mWeight;
    }
  }

  trial_result Run()
  {
    mScheduler.Configure(MakeBundle(mPlan.mLoad));
    RefreshUpstreams();
    const auto tick = mTimers.Every(kTickPeriod, [this] { Tick(); });
    const auto refresh =
      mTimers.Every(kRefreshPeriod, [this] { RefreshUpstreams(); });
    const auto faults = ScheduleFaults();
    ScheduleArrival();
    mTimers.Advance(kArrivalsEnd + kMaxDrainTime);
    mResult.mTokens = mFleet.Generated();
    return mResult;
  }

private:
  class_result& ResultOf(const class_id& aId)
  {
    return *std::ranges::find(mResult.mClasses, aId, &class_result::mClass);
  }

  const request_class& ClassOf(const class_id& aId) const
  {
    return std::ranges::find(
             mPlan.mLoad.mClasses,
             aId,
             [](const class_load& aLoad) { return aLoad.mClass.mId; })
      ->mClass;
  }

  std::vector<timer_subscription> ScheduleFaults()
  {
    std::vector<timer_subscription> timers;
    const auto schedule = [&](steady_duration aWhen, timer_callback aAction) {
      timers.push_back(mTimers.After(aWhen, std::move(aAction)));
    };
    if (mPlan.mScenario == scenario::Crash) {
      schedule(kChangeStart, [this] { mFleet.SetCrashed(0, true); });
      schedule(kFaultEnd, [this] { mFleet.SetCrashed(0, false); });
    }
    if (mPlan.mScenario == scenario::SlowEngine) {
      schedule(kChangeStart, [this] { mFleet.SetSlowFactor(0, 4); });
      schedule(kFaultEnd, [this] { mFleet.SetSlowFactor(0, 1); });
    }
    return timers;
  }

  void ScheduleArrival()
  {
    if (mNext == mArrivals.size()) {
      return;
    }
    mArrivalTimer = mTimers.After(
      mArrivals[mNext].mRequest.mArrival - mTimers.Now(), [this] { Arrive(); });
  }

  void Arrive()
  {
    const auto& request = mArrivals[mNext++].mRequest;
    ++ResultOf(request.mClass).mOffered;
    ApplyDecisions(mScheduler.Submit(request, mTimers.Now()));
    ScheduleArrival();
  }

  void Tick()
  {
    CancelExpired();
    ApplyDecisions(mScheduler.Tick(mTimers.Now()));
  }

  void RefreshUpstreams()
  {
    mFleet.Refresh();
    ApplyDecisions(mScheduler.SetUpstreams(mFleet.Views(), mTimers.Now()));
  }

  // Applies the decisions in the order that policy::decisions states.
  void ApplyDecisions(const policy::decisions& aDecisions)
  {
    for (const auto& rejection : aDecisions.mRejections) {
      const auto& request = RequestOf(rejection.mRequest);
      ++ResultOf(request.mClass).mRefused;
    }
    for (const auto& pause : aDecisions.mPauses) {
      mResult.mPauses += pause.mResume ? 0 : 1;
      mFleet.SetPaused(pause.mUpstream, pause.mRequest, !pause.mResume);
    }
    for (const auto& assignment : aDecisions.mAssignments) {
      Dispatch(assignment);
    }
  }

  const policy::queued_request& RequestOf(const request_id& aId) const
  {
    return mArrivals[mById.at(aId)].mRequest;
  }

  void Dispatch(const policy::assignment& aAssignment)
  {
    const auto& arrival = mArrivals[mById.at(aAssignment.mRequest)];
    const auto now = mTimers.Now();
    mRunning[aAssignment.mRequest] = { aAssignment.mUpstream, now };
    mByDeadline.emplace(arrival.mRequest.mAnswerBy, aAssignment.mRequest);
    const bool started = mFleet.Start(aAssignment.mUpstream,
                                      aAssignment.mRequest,
                                      arrival.mRequest.mPromptTokens,
                                      arrival.mTokens);
    if (!started) {
      HandleReport(aAssignment.mUpstream,
                   { aAssignment.mRequest, stream_outcome::Broken, 0, {} },
                   false);
    }
  }

  void HandleReport(const upstream_id& aUpstream,
                    const engine_report& aReport,
                    bool aBytesWritten = true)
  {
    const auto run = mRunning.extract(aReport.mRequest).mapped();
    const auto request = RequestOf(aReport.mRequest);
    mByDeadline.erase({ request.mAnswerBy, request.mId });
    if (aReport.mOutcome == stream_outcome::Finished) {
      mBudget.AddSuccess();
      CountFinished(request, aReport);
    }
    FinishAttempt(run, aReport);
    if (aReport.mOutcome == stream_outcome::Broken) {
      mFleet.RecordFailure(aUpstream);
      ApplyDecisions(mScheduler.SetUpstreams(mFleet.Views(), mTimers.Now()));
      HandleBroken(request, aUpstream, aReport, aBytesWritten);
    }
  }

  void CountFinished(const policy::queued_request& aRequest,
                     const engine_report& aReport)
  {
    auto& result = ResultOf(aRequest.mClass);
    if (aReport.mFirstToken <= aRequest.mFirstTokenBy &&
        mTimers.Now() <= aRequest.mAnswerBy) {
      ++result.mInTime;
      return;
    }
    ++result.mLate;
    mResult.mWastedTokens += aReport.mTokens;
  }

  void HandleBroken(const policy::queued_request& aRequest,
                    const upstream_id& aUpstream,
                    const engine_report& aReport,
                    bool aBytesWritten)
  {
    mResult.mWastedTokens += aReport.mTokens;
    policy::failed_attempt attempt;
    attempt.mIdempotent = ClassOf(aRequest.mClass).mIdempotent;
    attempt.mBytesWritten = aBytesWritten;
    attempt.mSentToCaller = aReport.mTokens > 0;
    attempt.mAttempts = ++mAttempts[aRequest.mId];
    attempt.mAnswerBy = aRequest.mAnswerBy;
    const auto decision = policy::DecideRetry(attempt, mBudget, mTimers.Now());
    if (decision.mAction != policy::retry_action::Retry) {
      ++ResultOf(aRequest.mClass).mBroken;
      return;
    }
    auto retry = aRequest;
    retry.mExcluded.push_back(aUpstream);
    ApplyDecisions(mScheduler.Submit(retry, mTimers.Now()));
  }

  struct run
  {
    upstream_id mUpstream;
    steady_time mStarted{};
  };

  void FinishAttempt(const run& aRun, const engine_report& aReport)
  {
    const auto now = mTimers.Now();
    const auto total = now - aRun.mStarted;
    const bool hasTokens = aReport.mTokens > 0;
    const auto firstToken =
      hasTokens ? aReport.mFirstToken - aRun.mStarted : total;
    mFleet.RecordPace(aRun.mUpstream, total - firstToken, aReport.mTokens);
    ApplyDecisions(
      mScheduler.Finish({ aReport.mRequest,
                          aReport.mOutcome == stream_outcome::Finished,
                          aReport.mTokens,
                          firstToken,
                          total },
                        now));
  }

  // Cancels running requests past their deadline, as their callers have stopped
  // waiting.
  void CancelExpired()
  {
    while (!mByDeadline.empty() && mByDeadline.begin()->first < mTimers.Now()) {
      const auto id = mByDeadline.begin()->second;
      mByDeadline.erase(mByDeadline.begin());
      const auto run = mRunning.extract(id).mapped();
      const auto tokens = mFleet.Cancel(run.mUpstream, id);
      ++ResultOf(RequestOf(id).mClass).mLate;
      mResult.mWastedTokens += tokens;
      FinishAttempt(run, { id, stream_outcome::Broken, 0, {} });
    }
  }

  const trial_plan& mPlan;
  policy::scheduler& mScheduler;
  manual_timer_service mTimers;
  const std::vector<arrival> mArrivals;
  std::unordered_map<request_id, std::size_t> mById;
  fleet mFleet;
  policy::retry_budget mBudget;
  std::size_t mNext = 0;
  timer_subscription mArrivalTimer;
  std::unordered_map<request_id, run> mRunning;
  // Running requests in order of their deadline.
  std::set<std::pair<steady_time, request_id>> mByDeadline;
  std::unordered_map<request_id, unsigned> mAttempts;
  trial_result mResult;
};

} // namespace

double
class_result::Attainment() const
{
  return mOffered ? static_cast<double>(mInTime) / mOffered : 1;
}

double
trial_result::Goodput() const
{
  return std::transform_reduce(
    mClasses.begin(),
    mClasses.end(),
    0.0,
    std::plus<>{},
    [](const class_result& aClass) { return aClass.mWeight * aClass.mInTime; });
}

double
trial_result::WastedShare() const
{
  return mTokens ? static_cast<double>(mWastedTokens) / mTokens : 0;
}

double
trial_result::FirstTierAttainment() const
{
  double least = 1;
  for (const auto& result : mClasses) {
    if (result.mTier == 1) {
      least = std::min(least, result.Attainment());
    }
  }
  return least;
}

trial_result
RunTrial(const trial_plan& aPlan, policy::scheduler& aScheduler)
{
  return trial(aPlan, aScheduler).Run();
}

void
Print(std::ostream& aOut, const trial_result& aResult)
{
  aOut << std::fixed;
  for (const auto& result : aResult.mClasses) {
    aOut << "  tier " << result.mTier << ' ' << std::left << std::setw(13)
         << result.mClass << std::right << " offered " << std::setw(5)
         << result.mOffered << " in_time " << std::setw(7)
         << std::setprecision(3) << 100 * result.Attainment() << "% late "
         << std::setw(4) << result.mLate << " refused " << std::setw(5)
         << result.mRefused << " broken " << result.mBroken << '\n';
  }
  aOut << "  goodput " << std::setprecision(0) << aResult.Goodput()
       << " tokens " << aResult.mTokens << " wasted " << std::setprecision(3)
       << 100 * aResult.WastedShare() << "% pauses " << aResult.mPauses << '\n';
}

} // namespace sapphirespar::experiment
