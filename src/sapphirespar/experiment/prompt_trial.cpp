// Simulation of arrivals, gateways and callers.
#include "sapphirespar/experiment/prompt_trial.hpp"

#include "sapphirespar/experiment/draws.hpp"
#include "sapphirespar/policy/engine_model.hpp"
#include "sapphirespar/policy/engine_split.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace sapphirespar::experiment {

namespace {

using std::chrono::milliseconds;

// One-way latency between a caller and a gateway, including the gateway's own
// processing, and between a gateway and an engine.
constexpr double kCallerLatencyMs = 5;
constexpr double kEngineLatencyMs = 1.5;

// How often the split of engines between interactive and bulk work is updated.
constexpr double kSplitPeriodMs = 100;

// Time for requests in progress at the end of the load.
constexpr double kMaxDrainMs = 15'000;

// How long a gateway assumes that an engine caches a prefix it was sent.
constexpr double kAssumedCacheTimeMs = 30'000;

// A caller abandons its request if the first event takes longer than the
// longest of these: the minimum, a multiple of the class's target, and a
// multiple of its target gap.
constexpr double kMinPatienceMs = 2000;
constexpr double kPatienceInTargets = 4;
constexpr double kPatienceInGaps = 8;

// A refused caller retries after at most this share of its remaining time.
constexpr double kMaxRetryDelayShare = 1.0 / 3;

// Sizes are log-normal around their means and cut off at a maximum.
constexpr double kSharedSpread = 0.7;
constexpr double kOwnSpread = 1.2;
constexpr double kOutputSpread = 0.6;
constexpr double kMaxOwnTokensInMeans = 8;

steady_time
ToSteady(double aMs)
{
  return steady_time(std::chrono::duration_cast<steady_duration>(
    std::chrono::duration<double, std::milli>(aMs)));
}

milliseconds
ToMilliseconds(double aMs)
{
  return milliseconds(static_cast<std::int64_t>(aMs));
}

double
LogNormal(random_engine& aRandom, double aMean, double aSpread)
{
  return aMean * std::exp(aSpread * Normal(aRandom) - aSpread * aSpread / 2);
}

struct caller
{
  prompt_job mJob;
  std::size_t mClass = 0;
  double mArrivalMs = 0;
  bool mRetried = false;
  bool mEnded = false;
  // The attempt at an engine.
  std::size_t mGateway = 0;
  std::size_t mEngine = 0;
  bool mSent = false;
  policy::upstream_load mLoad;
  // Negative before the first event.
  double mFirstEventMs = -1;
  double mLastEventMs = 0;
  double mLongestGapMs = 0;
};

using caller_ptr = std::shared_ptr<caller>;

struct gateway
{
  // By engine: the gateway's current load, and the load it reported last.
  std::vector<policy::upstream_load> mOwn;
  std::vector<policy::upstream_load> mReported;
  // By engine: shared prefixes sent there, with the time.
  std::vector<std::unordered_map<std::uint64_t, double>> mSentPrefixes;
  policy::prefill_meter mPrefill;
};

class prompt_simulation
{
public:
  prompt_simulation(const prompt_load& aLoad,
                    std::uint64_t aSeed,
                    const prompt_policy& aPolicy)
    : mLoad(aLoad)
    , mPolicy(aPolicy)
    , mRandom(aSeed)
    , mReported(aLoad.mEngines)
  {
    for (unsigned index = 0; index < aLoad.mEngines; ++index) {
      mEngines.push_back(std::make_unique<prompt_engine>(
        mQueue,
        aLoad.mEngineSettings,
        prompt_engine_hooks{
          [this](std::uint64_t aId, bool aLast) { OnEvent(aId, aLast); },
          [this](const prompt_job& aJob) { CountPrefill(aJob); } }));
    }
    for (unsigned index = 0; index < aLoad.mGateways; ++index) {
      mGateways.emplace_back();
      mGateways.back().mOwn.resize(aLoad.mEngines);
      mGateways.back().mReported.resize(aLoad.mEngines);
      mGateways.back().mSentPrefixes.resize(aLoad.mEngines);
    }
    for (const auto& kind : aLoad.mClasses) {
      mResult.mClasses.emplace_back().mName = kind.mName;
    }
  }

  prompt_result Run()
  {
    for (std::size_t index = 0; index < mGateways.size(); ++index) {
      mQueue.After(Uniform(mRandom) * mLoad.mReportPeriodMs,
                   [this, index] { ReportLoad(index); });
    }
    UpdateSplit();
    for (std::size_t index = 0; index < mLoad.mClasses.size(); ++index) {
      ScheduleArrivals(index);
    }
    mQueue.RunUntil(mLoad.mDurationMs + kMaxDrainMs);
    for (const auto& engine : mEngines) {
      mResult.mPreemptions += engine->Preemptions();
    }
    return mResult;
  }

private:
  double RateOf(std::size_t aClass, double aAtMs) const
  {
    constexpr double kMsPerSecond = 1000;
    double rate = mLoad.mClasses[aClass].mRequestsPerSecond / kMsPerSecond;
    for (const auto& burst : mLoad.mBursts) {
      const bool active = burst.mClass == aClass && aAtMs >= burst.mFromMs &&
                          aAtMs < burst.mUntilMs;
      rate *= active ? burst.mFactor : 1;
    }
    return rate;
  }

  void ScheduleArrivals(std::size_t aClass)
  {
    const auto& kind = mLoad.mClasses[aClass];
    std::vector<double> shared(kind.mSharedPrefixes);
    std::ranges::generate(shared, [&] {
      return LogNormal(mRandom, kind.mSharedTokens, kSharedSpread);
    });
    double at = 0;
    while (at < mLoad.mDurationMs) {
      at += Exponential(mRandom, RateOf(aClass, at));
      const auto arriving = MakeCaller(aClass, at, shared);
      mQueue.After(at, [this, arriving] { Arrive(arriving); });
    }
  }

  caller_ptr MakeCaller(std::size_t aClass,
                        double aAtMs,
                        std::span<const double> aShared)
  {
    const auto& kind = mLoad.mClasses[aClass];
    auto newCaller = std::make_shared<caller>();
    newCaller->mClass = aClass;
    newCaller->mArrivalMs = aAtMs;
    auto& job = newCaller->mJob;
    job.mId = ++mLastId;
    job.mPriority = kind.mPriority;
    const auto prefix = std::min(
      static_cast<std::size_t>(Uniform(mRandom) * kind.mSharedPrefixes),
      aShared.size() - 1);
    constexpr std::uint64_t kMaxSharedPrefixes = 1'000'000;
    job.mSharedKey = (aClass + 1) * kMaxSharedPrefixes + prefix;
    job.mSharedTokens = aShared[prefix];
    job.mOwnTokens = std::min(LogNormal(mRandom, kind.mOwnTokens, kOwnSpread),
                              kMaxOwnTokensInMeans * kind.mOwnTokens);
    job.mOutputTokens = static_cast<unsigned>(
      std::clamp(LogNormal(mRandom, kind.mOutputTokens, kOutputSpread),
                 1.0,
                 kind.mMaximumOutputTokens));
    return newCaller;
  }

  void Arrive(const caller_ptr& aCaller)
  {
    aCaller->mGateway = mRandom() % mGateways.size();
    mQueue.After(kCallerLatencyMs, [this, aCaller] { Place(aCaller); });
  }

  policy::prompt_work WorkOf(const caller& aCaller) const
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    policy::prompt_work work;
    work.mPromptTokens = aCaller.mJob.mSharedTokens + aCaller.mJob.mOwnTokens;
    work.mSharedTokens = aCaller.mJob.mSharedTokens;
    work.mSharedKey = aCaller.mJob.mSharedKey;
    work.mMaximumOutputTokens = kind.mMaximumOutputTokens;
    work.mInteractive = kind.mInteractive;
    work.mUrgent = kind.mPriority == 0;
    work.mTargetMs = kind.mTargetMs;
    work.mGapBudgetMs = mGapBudgetMs;
    return work;
  }

  std::vector<policy::engine_candidate> Candidates(const gateway& aGateway,
                                                   std::uint64_t aKey,
                                                   double aSharedTokens) const
  {
    std::vector<policy::engine_candidate> candidates(mEngines.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      auto& candidate = candidates[index];
      candidate.mKey = index + 1;
      candidate.mLoad = mReported[index];
      candidate.mLoad -= aGateway.mReported[index];
      candidate.mLoad += aGateway.mOwn[index];
      candidate.mSlots = static_cast<unsigned>(mLoad.mEngineSettings.mSlots);
      candidate.mMemoryTokens = mLoad.mEngineSettings.mMemoryTokens;
      const auto& sent = aGateway.mSentPrefixes[index];
      const auto found = sent.find(aKey);
      const bool cached = found != sent.end() &&
                          mQueue.NowMs() - found->second <= kAssumedCacheTimeMs;
      candidate.mCachedTokens = cached ? aSharedTokens : 0;
    }
    return candidates;
  }

  double PatienceMs(const caller& aCaller) const
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    const double left = aCaller.mArrivalMs + kind.mDeadlineMs - mQueue.NowMs();
    return std::min(left,
                    std::max({ kMinPatienceMs,
                               kPatienceInTargets * kind.mTargetMs,
                               kPatienceInGaps * kind.mTargetGapMs }));
  }

  void Place(const caller_ptr& aCaller)
  {
    auto& gateway = mGateways[aCaller->mGateway];
    const auto& kind = mLoad.mClasses[aCaller->mClass];
    const auto work = WorkOf(*aCaller);
    const auto candidates =
      Candidates(gateway, work.mSharedKey, work.mSharedTokens);
    const auto choice = mPolicy.mChooseEngine(
      work, candidates, mLoad.mFigures, mSplit.Share(), Uniform(mRandom));
    policy::expected_wait wait;
    wait.mFirstEvent = ToMilliseconds(choice->mFirstEventMs);
    wait.mQueueing = ToMilliseconds(choice->mQueueingMs);
    wait.mSlotsTaken = choice->mSlotsTaken;
    wait.mInteractive = kind.mInteractive;
    wait.mTarget = ToMilliseconds(kind.mTargetMs);
    const double patience = PatienceMs(*aCaller);
    wait.mPatience = ToMilliseconds(patience);
    if (const auto retryAfter =
          mPolicy.mCheckWaitLimit(wait, Uniform(mRandom))) {
      Refuse(aCaller, static_cast<double>(retryAfter->count()));
      return;
    }
    Send(aCaller, work, *choice);
    mQueue.After(patience, [this, aCaller] {
      if (aCaller->mFirstEventMs < 0) {
        Abandon(aCaller);
      }
    });
    const double deadline = aCaller->mArrivalMs + kind.mDeadlineMs;
    mQueue.After(deadline - mQueue.NowMs(),
                 [this, aCaller] { Abandon(aCaller); });
  }

  void Refuse(const caller_ptr& aCaller, double aRetryAfterMs)
  {
    if (aCaller->mRetried) {
      aCaller->mEnded = true;
      ++ResultOf(*aCaller).mOffered;
      ++ResultOf(*aCaller).mRefused;
      return;
    }
    aCaller->mRetried = true;
    const auto& kind = mLoad.mClasses[aCaller->mClass];
    const double left = aCaller->mArrivalMs + kind.mDeadlineMs - mQueue.NowMs();
    mQueue.After(kCallerLatencyMs +
                   std::min(aRetryAfterMs, kMaxRetryDelayShare * left),
                 [this, aCaller] { Arrive(aCaller); });
  }

  void Send(const caller_ptr& aCaller,
            const policy::prompt_work& aWork,
            const policy::engine_choice& aChoice)
  {
    auto& gateway = mGateways[aCaller->mGateway];
    aCaller->mEngine = aChoice.mIndex;
    aCaller->mSent = true;
    auto& load = aCaller->mLoad;
    (aWork.mUrgent ? load.mUrgentTokens : load.mOtherTokens) =
      aChoice.mPrefillTokens;
    load.mMemoryTokens = aWork.mPromptTokens + aWork.mMaximumOutputTokens;
    load.mRunning = 1;
    load.mInteractive = aWork.mInteractive ? 1 : 0;
    gateway.mOwn[aChoice.mIndex] += load;
    gateway.mSentPrefixes[aChoice.mIndex][aWork.mSharedKey] = mQueue.NowMs();
    gateway.mPrefill.Add(
      aWork.mInteractive,
      policy::PrefillMs(mLoad.mFigures, aChoice.mPrefillTokens),
      ToSteady(mQueue.NowMs()));
    mResult.mSharedTokens += aWork.mSharedTokens;
    mCallers[aCaller->mJob.mId] = aCaller;
    mQueue.After(kEngineLatencyMs, [this, aCaller] {
      if (!aCaller->mEnded) {
        mEngines[aCaller->mEngine]->Start(aCaller->mJob);
      }
    });
  }

  void CountPrefill(const prompt_job& aJob)
  {
    if (!mPrefilledPrefixes.insert(aJob.mSharedKey).second) {
      mResult.mRepeatedPrefillTokens += aJob.mSharedTokens;
    }
  }

  void OnEvent(std::uint64_t aId, bool aLast)
  {
    const auto found = mCallers.find(aId);
    if (found == mCallers.end()) {
      return;
    }
    const auto receiver = found->second;
    const double now = mQueue.NowMs();
    if (receiver->mFirstEventMs < 0) {
      receiver->mFirstEventMs = now;
      OnPrefillEnd(*receiver);
    } else {
      receiver->mLongestGapMs =
        std::max(receiver->mLongestGapMs, now - receiver->mLastEventMs);
    }
    receiver->mLastEventMs = now;
    if (aLast) {
      Finish(*receiver);
    }
  }

  void OnPrefillEnd(caller& aCaller)
  {
    policy::upstream_load prefilled;
    prefilled.mUrgentTokens = aCaller.mLoad.mUrgentTokens;
    prefilled.mOtherTokens = aCaller.mLoad.mOtherTokens;
    mGateways[aCaller.mGateway].mOwn[aCaller.mEngine] -= prefilled;
    aCaller.mLoad -= prefilled;
  }

  void Finish(caller& aCaller)
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    const double first =
      aCaller.mFirstEventMs + kCallerLatencyMs - aCaller.mArrivalMs;
    const bool inTime =
      first <= kind.mTargetMs && aCaller.mLongestGapMs <= kind.mTargetGapMs;
    ++ResultOf(aCaller).mOffered;
    ++(inTime ? ResultOf(aCaller).mInTime : ResultOf(aCaller).mLate);
    EndRequest(aCaller);
  }

  void Abandon(const caller_ptr& aCaller)
  {
    if (aCaller->mEnded) {
      return;
    }
    mEngines[aCaller->mEngine]->Cancel(aCaller->mJob.mId);
    ++ResultOf(*aCaller).mOffered;
    ++ResultOf(*aCaller).mAbandoned;
    EndRequest(*aCaller);
  }

  void EndRequest(caller& aCaller)
  {
    aCaller.mEnded = true;
    mGateways[aCaller.mGateway].mOwn[aCaller.mEngine] -= aCaller.mLoad;
    mCallers.erase(aCaller.mJob.mId);
  }

  prompt_class_result& ResultOf(const caller& aCaller)
  {
    return mResult.mClasses[aCaller.mClass];
  }

  void ReportLoad(std::size_t aGateway)
  {
    auto& gateway = mGateways[aGateway];
    for (std::size_t index = 0; index < mReported.size(); ++index) {
      mReported[index] -= gateway.mReported[index];
      mReported[index] += gateway.mOwn[index];
    }
    gateway.mReported = gateway.mOwn;
    mQueue.After(mLoad.mReportPeriodMs,
                 [this, aGateway] { ReportLoad(aGateway); });
  }

  void UpdateSplit()
  {
    const auto now = ToSteady(mQueue.NowMs());
    policy::engine_demand demand;
    for (const auto& gateway : mGateways) {
      demand += gateway.mPrefill.Demand(now);
    }
    const auto slots = static_cast<double>(mLoad.mEngineSettings.mSlots);
    for (const auto& reported : mReported) {
      demand.mInteractive.mSlots += reported.mInteractive / slots;
      demand.mBulk.mSlots +=
        (reported.mRunning - reported.mInteractive) / slots;
    }
    mSplit.Update(demand, static_cast<double>(mEngines.size()), now);
    mQueue.After(kSplitPeriodMs, [this] { UpdateSplit(); });
  }

  // Prefill that fits between two events of the stream with the smallest target
  // gap.
  static double GapBudgetMs(const prompt_load& aLoad)
  {
    const double smallestGap =
      std::ranges::min(aLoad.mClasses, {}, &prompt_class::mTargetGapMs)
        .mTargetGapMs;
    const auto& figures = aLoad.mFigures;
    const auto slots = static_cast<double>(aLoad.mEngineSettings.mSlots);
    const double generating =
      aLoad.mEngineSettings.mTokensPerEvent *
      (figures.mStepMs + figures.mStepMsPerRequest * slots);
    return std::max(smallestGap - generating, 0.0);
  }

  const prompt_load& mLoad;
  const prompt_policy& mPolicy;
  const double mGapBudgetMs = GapBudgetMs(mLoad);
  random_engine mRandom;
  event_queue mQueue;
  std::vector<std::unique_ptr<prompt_engine>> mEngines;
  std::vector<gateway> mGateways;
  // By engine: sum of the loads that all gateways reported last.
  std::vector<policy::upstream_load> mReported;
  policy::engine_split mSplit;
  std::uint64_t mLastId = 0;
  // Callers whose request is at an engine, by id.
  std::unordered_map<std::uint64_t, caller_ptr> mCallers;
  std::unordered_set<std::uint64_t> mPrefilledPrefixes;
  prompt_result mResult;
};

} // namespace

prompt_result
RunPromptTrial(const prompt_load& aLoad,
               std::uint64_t aSeed,
               const prompt_policy& aPolicy)
{
  return prompt_simulation(aLoad, aSeed, aPolicy).Run();
}

} // namespace sapphirespar::experiment
