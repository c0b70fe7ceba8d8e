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

// Interactive work waits badly, so its engines are left this much emptier.
constexpr double kHeadroom = 1.1;

constexpr double kLowest = 0.12;
constexpr double kHighest = 0.6;
constexpr double kStep = 0.15;

// Work below this, in engines, says nothing about the mix.
constexpr double kLeastDemand = 0.2;

double
Fading(steady_duration aPassed, double aHalfLifeSeconds)
{
  const std::chrono::duration<double> seconds = aPassed;
  return std::exp2(-std::max(seconds.count(), 0.0) / aHalfLifeSeconds);
}

} // namespace

double
reading_meter::Kept(steady_time aNow) const
{
  return Fading(aNow - mFadedAt, kMeterHalfLifeSeconds);
}

void
reading_meter::Add(bool aInteractive, double aReadingMs, steady_time aNow)
{
  const double kept = Kept(aNow);
  mInteractiveMs *= kept;
  mBulkMs *= kept;
  mFadedAt = std::max(mFadedAt, aNow);
  (aInteractive ? mInteractiveMs : mBulkMs) += aReadingMs;
}

engine_demand
reading_meter::Demand(steady_time aNow) const
{
  // A steady rate of one engine keeps the fading sum at its mean life.
  constexpr double kMsPerSecond = 1000;
  const double meanLifeMs =
    kMeterHalfLifeSeconds / std::log(2.0) * kMsPerSecond;
  const double scale = Kept(aNow) / meanLifeMs;
  return { mInteractiveMs * scale, mBulkMs * scale };
}

void
engine_split::Update(const engine_demand& aDemand, steady_time aNow)
{
  const double kept = Fading(aNow - mUpdated, kSplitHalfLifeSeconds);
  mUpdated = std::max(mUpdated, aNow);
  const auto follow = [&](double aOld, double aNew) {
    return aNew + kept * (aOld - aNew);
  };
  mSmoothed.mInteractive =
    follow(mSmoothed.mInteractive, kHeadroom * aDemand.mInteractive);
  mSmoothed.mBulk = follow(mSmoothed.mBulk, aDemand.mBulk);
  const double total = mSmoothed.mInteractive + mSmoothed.mBulk;
  if (total < kLeastDemand) {
    return;
  }
  const double wanted =
    std::clamp(mSmoothed.mInteractive / total, kLowest, kHighest);
  if (std::abs(wanted - mShare) >= kStep) {
    mShare = wanted;
  }
}

} // namespace sapphirespar::policy
