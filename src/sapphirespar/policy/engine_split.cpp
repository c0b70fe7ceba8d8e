// Fading sums of work, and the steps in which the split follows them.
#include "sapphirespar/policy/engine_split.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// Long enough for some dozens of prompts at one router, short enough to follow
// a burst of one kind.
constexpr double kMeterHalfLifeSeconds = 2;
constexpr double kSplitHalfLifeSeconds = 2;

// An engine is busy enough when so much of its slots or of its time for reading
// is taken; beyond that, streams slow down and first events wait.
constexpr double kFullSlots = 0.8;
constexpr double kFullReading = 0.6;

constexpr double kLowest = 0.12;
constexpr double kHighest = 0.6;
constexpr double kLeastStep = 0.05;

double
EnginesNeeded(const work_demand& aDemand)
{
  return std::max(aDemand.mSlots / kFullSlots, aDemand.mPrefill / kFullReading);
}

double
Fading(steady_duration aPassed, double aHalfLifeSeconds)
{
  const std::chrono::duration<double> seconds = aPassed;
  return std::exp2(-std::max(seconds.count(), 0.0) / aHalfLifeSeconds);
}

} // namespace

double
prefill_meter::Kept(steady_time aNow) const
{
  return Fading(aNow - mFadedAt, kMeterHalfLifeSeconds);
}

void
prefill_meter::Add(bool aInteractive, double aReadingMs, steady_time aNow)
{
  const double kept = Kept(aNow);
  mInteractiveMs *= kept;
  mBulkMs *= kept;
  mFadedAt = std::max(mFadedAt, aNow);
  (aInteractive ? mInteractiveMs : mBulkMs) += aReadingMs;
}

engine_demand
prefill_meter::Demand(steady_time aNow) const
{
  // A steady rate of one engine keeps the fading sum at its mean life.
  constexpr double kMsPerSecond = 1000;
  const double meanLifeMs =
    kMeterHalfLifeSeconds / std::log(2.0) * kMsPerSecond;
  const double scale = Kept(aNow) / meanLifeMs;
  return { { 0, mInteractiveMs * scale }, { 0, mBulkMs * scale } };
}

void
engine_split::Update(const engine_demand& aDemand,
                     double aEngines,
                     steady_time aNow)
{
  const double kept = Fading(aNow - mUpdated, kSplitHalfLifeSeconds);
  mUpdated = std::max(mUpdated, aNow);
  const auto follow = [&](double aOld, const work_demand& aNew) {
    const double needed = EnginesNeeded(aNew);
    return needed + kept * (aOld - needed);
  };
  mInteractive = follow(mInteractive, aDemand.mInteractive);
  mBulk = follow(mBulk, aDemand.mBulk);
  const bool isShort =
    mInteractive > mShare * aEngines || mBulk > (1 - mShare) * aEngines;
  if (!isShort) {
    return;
  }
  const double wanted =
    std::clamp(mInteractive / (mInteractive + mBulk), kLowest, kHighest);
  if (std::abs(wanted - mShare) >= kLeastStep) {
    mShare = wanted;
  }
}

} // namespace sapphirespar::policy
