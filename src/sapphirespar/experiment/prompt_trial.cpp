// The played load: arrivals, gateways, callers.
#include "sapphirespar/experiment/prompt_trial.hpp"

#include "sapphirespar/experiment/draws.hpp"
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

// One way between a caller and a gateway with the gateway's own time, and
// between a gateway and an engine.
constexpr double kCallerMs = 5;
constexpr double kEngineMs = 1.5;

constexpr double kSplitPeriodMs = 100;

// Time for what is under way at the end.
constexpr double kDrainMs = 15'000;

// For how long a gateway believes that an engine keeps a part.
constexpr double kBelievedKeptMs = 30'000;

// Callers of streams leave when nothing has come for the longest of these.
constexpr double kShortestPatienceMs = 2000;
constexpr double kPatienceInTargets = 4;
constexpr double kPatienceInGaps = 8;

// A caller takes at most this part of its time to come back.
constexpr double kReturnPart = 1.0 / 3;

// Sizes are log-normal around their means, and cut.
constexpr double kSharedSpread = 0.7;
constexpr double kOwnSpread = 1.2;
constexpr double kOutputSpread = 0.6;
constexpr double kMostOwnMeans = 8;

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
  double mAskedMs = 0;
  bool mCameBack = false;
  bool mEnded = false;
  // Of the attempt at an engine.
  std::size_t mGateway = 0;
  std::size_t mEngine = 0;
  bool mSent = false;
  policy::upstream_load mLoad;
  // Below zero before the first event.
  double mFirstEventMs = -1;
  double mLastEventMs = 0;
  double mLongestGapMs = 0;
};

using caller_ptr = std::shared_ptr<caller>;

struct gateway
{
  // By engine: now, and as the others know it.
  std::vector<policy::upstream_load> mOwn;
  std::vector<policy::upstream_load> mTold;
  // By engine: parts sent there, and when.
  std::vector<std::unordered_map<std::uint64_t, double>> mSentParts;
  policy::prefill_meter mPrefill;
};

class prompt_player
{
public:
  prompt_player(const prompt_load& aLoad,
                std::uint64_t aSeed,
                const prompt_policy& aPolicy)
    : mLoad(aLoad)
    , mPolicy(aPolicy)
    , mRandom(aSeed)
    , mTold(aLoad.mEngines)
  {
    for (unsigned index = 0; index < aLoad.mEngines; ++index) {
      mEngines.push_back(std::make_unique<prompt_engine>(
        mQueue,
        aLoad.mShape,
        prompt_engine_hooks{
          [this](std::uint64_t aId, bool aLast) { OnEvent(aId, aLast); },
          [this](const prompt_job& aJob) { CountRead(aJob); } }));
    }
    for (unsigned index = 0; index < aLoad.mGateways; ++index) {
      mGateways.emplace_back();
      mGateways.back().mOwn.resize(aLoad.mEngines);
      mGateways.back().mTold.resize(aLoad.mEngines);
      mGateways.back().mSentParts.resize(aLoad.mEngines);
    }
    for (const auto& kind : aLoad.mClasses) {
      mResult.mClasses.emplace_back().mName = kind.mName;
    }
  }

  prompt_result Run()
  {
    for (std::size_t index = 0; index < mGateways.size(); ++index) {
      mQueue.After(Uniform(mRandom) * mLoad.mNewsMs,
                   [this, index] { TellNews(index); });
    }
    UpdateSplit();
    for (std::size_t index = 0; index < mLoad.mClasses.size(); ++index) {
      ScheduleArrivals(index);
    }
    mQueue.RunUntil(mLoad.mLengthMs + kDrainMs);
    for (const auto& engine : mEngines) {
      mResult.mPreemptions += engine->Preemptions();
    }
    return mResult;
  }

private:
  double RateOf(std::size_t aClass, double aAtMs) const
  {
    constexpr double kMsPerSecond = 1000;
    double rate = mLoad.mClasses[aClass].mPerSecond / kMsPerSecond;
    for (const auto& burst : mLoad.mBursts) {
      const bool on = burst.mClass == aClass && aAtMs >= burst.mFromMs &&
                      aAtMs < burst.mUntilMs;
      rate *= on ? burst.mFactor : 1;
    }
    return rate;
  }

  void ScheduleArrivals(std::size_t aClass)
  {
    const auto& kind = mLoad.mClasses[aClass];
    std::vector<double> shared(kind.mSharedParts);
    std::ranges::generate(shared, [&] {
      return LogNormal(mRandom, kind.mSharedTokens, kSharedSpread);
    });
    double at = 0;
    while (at < mLoad.mLengthMs) {
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
    auto made = std::make_shared<caller>();
    made->mClass = aClass;
    made->mAskedMs = aAtMs;
    auto& job = made->mJob;
    job.mId = ++mLastId;
    job.mPriority = kind.mPriority;
    const auto part =
      std::min(static_cast<std::size_t>(Uniform(mRandom) * kind.mSharedParts),
               aShared.size() - 1);
    constexpr std::uint64_t kMostParts = 1'000'000;
    job.mSharedKey = (aClass + 1) * kMostParts + part;
    job.mSharedTokens = aShared[part];
    job.mOwnTokens = std::min(LogNormal(mRandom, kind.mOwnTokens, kOwnSpread),
                              kMostOwnMeans * kind.mOwnTokens);
    job.mOutputTokens = static_cast<unsigned>(
      std::clamp(LogNormal(mRandom, kind.mOutputTokens, kOutputSpread),
                 1.0,
                 kind.mMostOutputTokens));
    return made;
  }

  void Arrive(const caller_ptr& aCaller)
  {
    aCaller->mGateway = mRandom() % mGateways.size();
    mQueue.After(kCallerMs, [this, aCaller] { Place(aCaller); });
  }

  policy::prompt_work WorkOf(const caller& aCaller) const
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    policy::prompt_work work;
    work.mPromptTokens = aCaller.mJob.mSharedTokens + aCaller.mJob.mOwnTokens;
    work.mSharedTokens = aCaller.mJob.mSharedTokens;
    work.mSharedKey = aCaller.mJob.mSharedKey;
    work.mMaximumOutputTokens = kind.mMostOutputTokens;
    work.mInteractive = kind.mInteractive;
    work.mUrgent = kind.mPriority == 0;
    return work;
  }

  std::vector<policy::engine_candidate> Candidates(const gateway& aGateway,
                                                   std::uint64_t aKey) const
  {
    std::vector<policy::engine_candidate> candidates(mEngines.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
      auto& candidate = candidates[index];
      candidate.mKey = index + 1;
      candidate.mLoad = mTold[index];
      candidate.mLoad -= aGateway.mTold[index];
      candidate.mLoad += aGateway.mOwn[index];
      candidate.mSlots = static_cast<unsigned>(mLoad.mShape.mSlots);
      candidate.mMemoryTokens = mLoad.mShape.mMemoryTokens;
      const auto& sent = aGateway.mSentParts[index];
      const auto found = sent.find(aKey);
      candidate.mHasSharedPrefix =
        found != sent.end() &&
        mQueue.NowMs() - found->second <= kBelievedKeptMs;
    }
    return candidates;
  }

  double PatienceMs(const caller& aCaller) const
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    const double left = aCaller.mAskedMs + kind.mDeadlineMs - mQueue.NowMs();
    return std::min(left,
                    std::max({ kShortestPatienceMs,
                               kPatienceInTargets * kind.mTargetMs,
                               kPatienceInGaps * kind.mTargetGapMs }));
  }

  void Place(const caller_ptr& aCaller)
  {
    auto& gateway = mGateways[aCaller->mGateway];
    const auto& kind = mLoad.mClasses[aCaller->mClass];
    const auto work = WorkOf(*aCaller);
    const auto candidates = Candidates(gateway, work.mSharedKey);
    const auto choice =
      mPolicy.mChoose(work, candidates, mSplit.Share(), Uniform(mRandom));
    policy::expected_wait wait;
    wait.mFirstEvent = ToMilliseconds(choice->mFirstEventMs);
    wait.mQueueing = ToMilliseconds(choice->mQueueingMs);
    wait.mSlotsTaken = choice->mSlotsTaken;
    wait.mInteractive = kind.mInteractive;
    wait.mTarget = ToMilliseconds(kind.mTargetMs);
    const double patience = PatienceMs(*aCaller);
    wait.mPatience = ToMilliseconds(patience);
    if (const auto comeBack = mPolicy.mRefuse(wait, Uniform(mRandom))) {
      Refuse(aCaller, static_cast<double>(comeBack->count()));
      return;
    }
    Send(aCaller, work, *choice);
    mQueue.After(patience, [this, aCaller] {
      if (aCaller->mFirstEventMs < 0) {
        GiveUp(aCaller);
      }
    });
    const double deadline = aCaller->mAskedMs + kind.mDeadlineMs;
    mQueue.After(deadline - mQueue.NowMs(),
                 [this, aCaller] { GiveUp(aCaller); });
  }

  void Refuse(const caller_ptr& aCaller, double aComeBackMs)
  {
    if (aCaller->mCameBack) {
      aCaller->mEnded = true;
      ++ResultOf(*aCaller).mAsked;
      ++ResultOf(*aCaller).mRefused;
      return;
    }
    aCaller->mCameBack = true;
    const auto& kind = mLoad.mClasses[aCaller->mClass];
    const double left = aCaller->mAskedMs + kind.mDeadlineMs - mQueue.NowMs();
    mQueue.After(kCallerMs + std::min(aComeBackMs, kReturnPart * left),
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
    gateway.mSentParts[aChoice.mIndex][aWork.mSharedKey] = mQueue.NowMs();
    gateway.mPrefill.Add(aWork.mInteractive,
                         policy::PrefillMs(aChoice.mPrefillTokens),
                         ToSteady(mQueue.NowMs()));
    mResult.mSharedTokens += aWork.mSharedTokens;
    mCallers[aCaller->mJob.mId] = aCaller;
    mQueue.After(kEngineMs, [this, aCaller] {
      if (!aCaller->mEnded) {
        mEngines[aCaller->mEngine]->Start(aCaller->mJob);
      }
    });
  }

  void CountRead(const prompt_job& aJob)
  {
    if (!mEverRead.insert(aJob.mSharedKey).second) {
      mResult.mRereadTokens += aJob.mSharedTokens;
    }
  }

  void OnEvent(std::uint64_t aId, bool aLast)
  {
    const auto found = mCallers.find(aId);
    if (found == mCallers.end()) {
      return;
    }
    const auto known = found->second;
    const double now = mQueue.NowMs();
    if (known->mFirstEventMs < 0) {
      known->mFirstEventMs = now;
      ReadingEnds(*known);
    } else {
      known->mLongestGapMs =
        std::max(known->mLongestGapMs, now - known->mLastEventMs);
    }
    known->mLastEventMs = now;
    if (aLast) {
      Finish(*known);
    }
  }

  void ReadingEnds(caller& aCaller)
  {
    policy::upstream_load read;
    read.mUrgentTokens = aCaller.mLoad.mUrgentTokens;
    read.mOtherTokens = aCaller.mLoad.mOtherTokens;
    mGateways[aCaller.mGateway].mOwn[aCaller.mEngine] -= read;
    aCaller.mLoad -= read;
  }

  void Finish(caller& aCaller)
  {
    const auto& kind = mLoad.mClasses[aCaller.mClass];
    const double first = aCaller.mFirstEventMs + kCallerMs - aCaller.mAskedMs;
    const bool inTime =
      first <= kind.mTargetMs && aCaller.mLongestGapMs <= kind.mTargetGapMs;
    ++ResultOf(aCaller).mAsked;
    ++(inTime ? ResultOf(aCaller).mInTime : ResultOf(aCaller).mLate);
    Leave(aCaller);
  }

  void GiveUp(const caller_ptr& aCaller)
  {
    if (aCaller->mEnded) {
      return;
    }
    mEngines[aCaller->mEngine]->Cancel(aCaller->mJob.mId);
    ++ResultOf(*aCaller).mAsked;
    ++ResultOf(*aCaller).mGone;
    Leave(*aCaller);
  }

  void Leave(caller& aCaller)
  {
    aCaller.mEnded = true;
    mGateways[aCaller.mGateway].mOwn[aCaller.mEngine] -= aCaller.mLoad;
    mCallers.erase(aCaller.mJob.mId);
  }

  prompt_class_result& ResultOf(const caller& aCaller)
  {
    return mResult.mClasses[aCaller.mClass];
  }

  void TellNews(std::size_t aGateway)
  {
    auto& gateway = mGateways[aGateway];
    for (std::size_t index = 0; index < mTold.size(); ++index) {
      mTold[index] -= gateway.mTold[index];
      mTold[index] += gateway.mOwn[index];
    }
    gateway.mTold = gateway.mOwn;
    mQueue.After(mLoad.mNewsMs, [this, aGateway] { TellNews(aGateway); });
  }

  void UpdateSplit()
  {
    const auto now = ToSteady(mQueue.NowMs());
    policy::engine_demand demand;
    for (const auto& gateway : mGateways) {
      demand += gateway.mPrefill.Demand(now);
    }
    const auto slots = static_cast<double>(mLoad.mShape.mSlots);
    for (const auto& told : mTold) {
      demand.mInteractive.mSlots += told.mInteractive / slots;
      demand.mBulk.mSlots += (told.mRunning - told.mInteractive) / slots;
    }
    mSplit.Update(demand, static_cast<double>(mEngines.size()), now);
    mQueue.After(kSplitPeriodMs, [this] { UpdateSplit(); });
  }

  const prompt_load& mLoad;
  const prompt_policy& mPolicy;
  random_engine mRandom;
  event_queue mQueue;
  std::vector<std::unique_ptr<prompt_engine>> mEngines;
  std::vector<gateway> mGateways;
  // By engine: the sum of what all gateways have told.
  std::vector<policy::upstream_load> mTold;
  policy::engine_split mSplit;
  std::uint64_t mLastId = 0;
  // Those at an engine.
  std::unordered_map<std::uint64_t, caller_ptr> mCallers;
  std::unordered_set<std::uint64_t> mEverRead;
  prompt_result mResult;
};

} // namespace

prompt_result
PlayPrompts(const prompt_load& aLoad,
            std::uint64_t aSeed,
            const prompt_policy& aPolicy)
{
  return prompt_player(aLoad, aSeed, aPolicy).Run();
}

} // namespace sapphirespar::experiment
