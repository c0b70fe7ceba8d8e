// Lengths of pauses, rations, and their exchange.
#include "sapphirespar/gateway/brittle_guard.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/policy/brittle_share.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// After a pause, the first gateway to return may be turned away again. With
// this many pauses in the time of the rejections that are tolerated, there is
// room for those that are on their way while gateways are told.
constexpr double kPausesPerTolerance = 0.25;

constexpr milliseconds kMinimumPause{ 250 };
constexpr milliseconds kMaximumPause{ 4000 };

constexpr milliseconds kMinimumPeriod{ 250 };
constexpr int kPeriodsPerAlert = 4;

// How long an upstream that has turned a request away is taken to have fewer
// slots than it names.
constexpr std::chrono::seconds kCautiousFor{ 5 };

// For that time a gateway waits this long between requests: one that is turned
// away is so within a round trip between data centres.
constexpr milliseconds kSpacing{ 50 };

// How long a pool is rationed unless answers confirm that it is brittle.
constexpr milliseconds kRationedFor{ 10000 };

// Weight of a new sample in the mean time of requests.
constexpr double kWorkWeight = 0.05;

// Samples of its own that a report outweighs at a gateway that had none.
constexpr unsigned kReportedSamples = 20;

constexpr double kMsPerSecond = 1000;

milliseconds
PauseFor(double aTolerated)
{
  const auto perSecond = kPausesPerTolerance * aTolerated;
  const auto longest = static_cast<double>(kMaximumPause.count());
  const auto length =
    perSecond > 0 ? std::min(kMsPerSecond / perSecond, longest) : longest;
  return std::max(milliseconds(static_cast<std::int64_t>(length)),
                  kMinimumPause);
}

double
KnownRunning(const upstream& aUpstream)
{
  return aUpstream.mOwnLoad.mRunning + aUpstream.mPeerLoad.mRunning;
}

// What an upstream that is paused for this long tolerates at most.
double
ToleratedFor(milliseconds aPause)
{
  const auto length = std::max(aPause, kMinimumPause);
  return kMsPerSecond /
         (kPausesPerTolerance * static_cast<double>(length.count()));
}

} // namespace

ration_wait::ration_wait(std::shared_ptr<ration_queue> aQueue,
                         std::uint64_t aPool,
                         unsigned aPriority)
  : mQueue(std::move(aQueue))
  , mPool(aPool)
  , mPriority(aPriority)
{
  (*mQueue)[mPool].insert(mPriority);
}

ration_wait::~ration_wait()
{
  auto& waiting = (*mQueue)[mPool];
  waiting.erase(waiting.find(mPriority));
  if (waiting.empty()) {
    mQueue->erase(mPool);
  }
}

brittle_guard::brittle_guard(timer_service& aTimers, brittle_hooks aHooks)
  : mTimers(aTimers)
  , mHooks(std::move(aHooks))
  , mAlert(mTimers, mHooks.mTellPeers)
{
}

void
brittle_guard::OnAnswer(upstream& aUpstream,
                        std::optional<double> aTolerated,
                        bool aRejected)
{
  aUpstream.mRation.mSaysBrittle = aTolerated.has_value();
  if (!aTolerated) {
    return;
  }
  if (aRejected) {
    OnRejected(aUpstream, *aTolerated);
    return;
  }
  const auto pool = PoolKey(aUpstream.mEntry.mPool);
  if (mRations.contains(pool)) {
    Ration(pool, *aTolerated, kRationedFor, "answer");
    mRations[pool].mOwnUntil = mTimers.Now() + kRationedFor;
  }
}

void
brittle_guard::OnRejected(upstream& aUpstream, double aTolerated)
{
  const auto pause = PauseFor(aTolerated);
  const auto now = mTimers.Now();
  LogEvent(log_level::Info,
           "brittle_upstream_full",
           { { "upstream", aUpstream.mEntry.mId.mText },
             { "tolerates_per_s", aTolerated },
             { "slots", aUpstream.mEntry.mSlots },
             { "own_running", aUpstream.mOwnLoad.mRunning },
             { "others_running", aUpstream.mPeerLoad.mRunning },
             { "pausing", aUpstream.TurnsAway(now) } });
  std::erase_if(mOwn, [&](const own_pause& aPause) {
    return aPause.mUpstream == aUpstream.mKey || aPause.mUntil <= now;
  });
  mOwn.push_back({ aUpstream.mKey, now + pause });
  Pause(aUpstream, pause, "answer");
  const auto pool = PoolKey(aUpstream.mEntry.mPool);
  const bool begins = Ration(pool, aTolerated, kRationedFor, "answer");
  mRations[pool].mOwnUntil = now + kRationedFor;
  // Reports also go with the gateway's next state: an alert for each rejection
  // would cost small gateways of a large fleet more than their requests.
  if (begins || now >= mNextAlert) {
    mNextAlert = now + kPeriodsPerAlert * Period();
    mAlert.Raise();
  }
}

void
brittle_guard::OnServed(const upstream& aUpstream, milliseconds aTook)
{
  auto& work = mWork[PoolKey(aUpstream.mEntry.mPool)];
  ++work.mSamples;
  // The plain mean of the first samples.
  const auto weight = std::max(kWorkWeight, 1.0 / work.mSamples);
  work.mMeanMs += weight * (static_cast<double>(aTook.count()) - work.mMeanMs);
}

void
brittle_guard::Pause(upstream& aUpstream,
                     milliseconds aPause,
                     std::string_view aSource)
{
  const auto length =
    aPause + milliseconds(static_cast<std::int64_t>(
               static_cast<double>(aPause.count()) * mHooks.mDraw()));
  const auto now = mTimers.Now();
  if (aUpstream.mTurnsAwayUntil >= now + aPause) {
    return;
  }
  aUpstream.mTurnsAwayUntil = now + length;
  aUpstream.mRation.mFullAt = now + length;
  aUpstream.mRation.mRunningWhenFull = KnownRunning(aUpstream);
  LogEvent(log_level::Info,
           "brittle_upstream_spared",
           { { "upstream", aUpstream.mEntry.mId.mText },
             { "for_ms", length.count() },
             { "source", aSource } });
}

bool
brittle_guard::Ration(std::uint64_t aPool,
                      double aTolerated,
                      milliseconds aTime,
                      std::string_view aSource)
{
  const auto now = mTimers.Now();
  std::erase_if(
    mRations, [now](const auto& aItem) { return aItem.second.mUntil <= now; });
  const auto [found, begins] = mRations.try_emplace(aPool);
  auto& known = found->second;
  known.mUntil = std::max(known.mUntil, now + aTime);
  known.mTolerated =
    begins ? aTolerated : std::min(known.mTolerated, aTolerated);
  if (begins) {
    LogEvent(log_level::Info,
             "brittle_pool_rationed",
             { { "pool", aPool },
               { "tolerates_per_s", aTolerated },
               { "gateways", mHooks.mGateways() },
               { "period_ms", Period().count() },
               { "source", aSource } });
  }
  return begins;
}

const brittle_guard::ration*
brittle_guard::FindRation(const upstream& aUpstream) const
{
  if (mRations.empty() || !aUpstream.mRation.mSaysBrittle.value_or(true)) {
    return nullptr;
  }
  const auto found = mRations.find(PoolKey(aUpstream.mEntry.mPool));
  const bool holds =
    found != mRations.end() && found->second.mUntil > mTimers.Now();
  return holds ? &found->second : nullptr;
}

milliseconds
brittle_guard::WorkOf(std::uint64_t aPool) const
{
  const auto known = mWork.find(aPool);
  return known != mWork.end()
           ? milliseconds(static_cast<std::int64_t>(known->second.mMeanMs))
           : milliseconds::zero();
}

double
brittle_guard::ExpectedSlots(const upstream& aUpstream) const
{
  using seconds = std::chrono::duration<double>;
  const auto& ration = aUpstream.mRation;
  // An upstream that names no slots has one at least.
  const double named = std::max(aUpstream.mEntry.mSlots, 1U);
  if (ration.mFullAt == steady_time{}) {
    return named;
  }
  // Loads change faster than they become known if requests are short, so that
  // what was known at the rejection says little.
  const auto work = WorkOf(PoolKey(aUpstream.mEntry.mPool));
  const double changed =
    work > milliseconds::zero()
      ? std::max(1 - seconds(work) / seconds(Period()), 0.0)
      : 0;
  const seconds since = mTimers.Now() - ration.mFullAt;
  const double grown = named * std::max(since / seconds(kCautiousFor), 0.0);
  return std::min(named,
                  std::max(ration.mRunningWhenFull, named * changed) + grown);
}

void
brittle_guard::DrawRation(upstream& aUpstream, const ration& aRation) const
{
  auto& own = aUpstream.mRation;
  if (mTimers.Now() < own.mPeriodEnd) {
    return;
  }
  policy::brittle_room room;
  room.mSlots = ExpectedSlots(aUpstream);
  room.mRunning = KnownRunning(aUpstream);
  room.mTolerated = aRation.mTolerated;
  room.mPeriod = Period();
  room.mGateways = mHooks.mGateways();
  room.mWork = WorkOf(PoolKey(aUpstream.mEntry.mPool));
  own.mPeriodEnd = mTimers.Now() + room.mPeriod;
  own.mSendsLeft =
    policy::DrawSends(policy::MeanSendsPerPeriod(room), mHooks.mDraw());
}

bool
brittle_guard::MaySend(upstream& aUpstream, unsigned aPriority)
{
  if (aUpstream.TurnsAway(mTimers.Now())) {
    return false;
  }
  const auto* rationed = FindRation(aUpstream);
  if (rationed == nullptr) {
    return true;
  }
  const auto waiting = mWaiting->find(PoolKey(aUpstream.mEntry.mPool));
  if (waiting != mWaiting->end() && *waiting->second.begin() < aPriority) {
    return false;
  }
  DrawRation(aUpstream, *rationed);
  return aUpstream.mRation.mSendsLeft > 0;
}

bool
brittle_guard::TakeSend(upstream& aUpstream)
{
  if (aUpstream.TurnsAway(mTimers.Now())) {
    return false;
  }
  const auto* rationed = FindRation(aUpstream);
  if (rationed == nullptr) {
    return true;
  }
  DrawRation(aUpstream, *rationed);
  auto& left = aUpstream.mRation.mSendsLeft;
  if (left == 0) {
    return false;
  }
  --left;
  const auto now = mTimers.Now();
  if (now < aUpstream.mRation.mFullAt + kCautiousFor) {
    aUpstream.mTurnsAwayUntil =
      std::max(aUpstream.mTurnsAwayUntil, now + kSpacing);
  }
  return true;
}

bool
brittle_guard::IsRationed(std::string_view aPool) const
{
  const auto found = mRations.find(PoolKey(aPool));
  return found != mRations.end() && found->second.mUntil > mTimers.Now();
}

milliseconds
brittle_guard::Period() const
{
  return std::max(mHooks.mLoadPeriod(), kMinimumPeriod);
}

std::unique_ptr<ration_wait>
brittle_guard::StartWait(std::string_view aPool, unsigned aPriority)
{
  return std::make_unique<ration_wait>(mWaiting, PoolKey(aPool), aPriority);
}

void
brittle_guard::Merge(const brittle_report& aReported)
{
  for (const auto& reported : aReported.mPools) {
    Ration(reported.mPool,
           reported.mTolerated,
           std::min(reported.mLeft, kRationedFor),
           "peer");
    if (reported.mWork > milliseconds::zero()) {
      mWork.try_emplace(reported.mPool,
                        mean_work{ static_cast<double>(reported.mWork.count()),
                                   kReportedSamples });
    }
  }
  for (const auto& reported : aReported.mPauses) {
    const auto found = mHooks.mFind(reported.mUpstream);
    if (!found) {
      continue;
    }
    const auto left = std::min(reported.mLeft, kMaximumPause);
    Pause(*found, left, "peer");
    // Gateways of earlier versions report pauses only.
    if (!IsRationed(found->mEntry.mPool)) {
      Ration(PoolKey(found->mEntry.mPool),
             ToleratedFor(left),
             kRationedFor,
             "peer_pause");
    }
  }
}

brittle_report
brittle_guard::Report() const
{
  constexpr std::size_t kMaximumReported = 64;
  const auto now = mTimers.Now();
  brittle_report report;
  for (const auto& pause : mOwn) {
    if (pause.mUntil > now && report.mPauses.size() < kMaximumReported) {
      report.mPauses.push_back(
        { pause.mUpstream,
          std::chrono::ceil<milliseconds>(pause.mUntil - now) });
    }
  }
  for (const auto& [pool, known] : mRations) {
    if (known.mOwnUntil > now && report.mPools.size() < kMaximumReported) {
      report.mPools.push_back(
        { pool,
          known.mTolerated,
          std::chrono::ceil<milliseconds>(known.mOwnUntil - now),
          WorkOf(pool) });
    }
  }
  return report;
}

} // namespace sapphirespar::gateway
