// Keeps decaying sums of the demand and adjusts the split in steps.
#include "sapphirespar/policy/engine_split.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace sapphirespar::policy {
namespace {

// Long enough to cover dozens of prompts at one router, and short enough to
// follow a burst of one kind of work.
constexpr double kMeterHalfLifeSeconds = 2;
constexpr double kSplitHalfLifeSeconds = 2;

// Prompts that keep exactly one engine busy hold a decaying sum at the mean
// lifetime of the decay.
constexpr double kMeterMeanLifeMs =
  1000 * kMeterHalfLifeSeconds / std::numbers::ln2;

// Intended shares of an engine's slots and of its time spent on prefill. Above
// these, streams slow down and first events are delayed. Prompts arrive
// irregularly and vary in length, so they queue long before prefill takes all
// of the time.
constexpr double kTargetSlotUse = 0.8;
constexpr double kTargetPrefillUse = 0.4;

// A kind of work is short of engines if it needs more than this part of its
// engines. Below 1, because only accepted work is measured, and requests are
// refused before all engines of a group are in full use.
constexpr double kShortFrom = 0.7;

// Engines for interactive work beyond those that it needs, for the variation of
// its demand and for the loss of an engine.
constexpr double kSpareEngines = 1;

// Bounds of the interactive share, and the smallest change that is applied.
constexpr double kMinimumShare = 0.12;
constexpr double kMaximumShare = 0.6;
constexpr double kMinimumStep = 0.05;

double
EnginesNeeded(const work_demand& aDemand)
{
  return std::max(aDemand.mSlots / kTargetSlotUse,
                  aDemand.mPrefill / kTargetPrefillUse);
}

double
HalfLifeDecay(steady_duration aPassed, double aHalfLifeSeconds)
{
  const std::chrono::duration<double> seconds = aPassed;
  return std::exp2(-std::max(seconds.count(), 0.0) / aHalfLifeSeconds);
}

} // namespace

double
prefill_meter::DecayFactor(steady_time aNow) const
{
  return HalfLifeDecay(aNow - mDecayedAt, kMeterHalfLifeSeconds);
}

void
prefill_meter::Decay(steady_time aNow)
{
  const double decay = DecayFactor(aNow);
  mInteractiveMs *= decay;
  mBulkMs *= decay;
  mRefusedMs *= decay;
  mDecayedAt = std::max(mDecayedAt, aNow);
}

void
prefill_meter::Add(bool aInteractive, double aPrefillMs, steady_time aNow)
{
  Decay(aNow);
  (aInteractive ? mInteractiveMs : mBulkMs) += aPrefillMs;
}

void
prefill_meter::AddRefused(double aPrefillMs, steady_time aNow)
{
  Decay(aNow);
  mRefusedMs += aPrefillMs;
}

engine_demand
prefill_meter::Demand(steady_time aNow) const
{
  const double scale = DecayFactor(aNow) / kMeterMeanLifeMs;
  return { { 0, mInteractiveMs * scale }, { 0, mBulkMs * scale } };
}

double
prefill_meter::RefusedPrefill(steady_time aNow) const
{
  return mRefusedMs * DecayFactor(aNow) / kMeterMeanLifeMs;
}

double
EnginesForRefused(double aRefusedPrefill)
{
  constexpr double kRefusalsPerRequest = 2;
  return aRefusedPrefill / kRefusalsPerRequest / kTargetPrefillUse;
}

void
engine_split::Update(const engine_demand& aDemand,
                     double aEngines,
                     steady_time aNow)
{
  const double decay = HalfLifeDecay(aNow - mUpdated, kSplitHalfLifeSeconds);
  mUpdated = std::max(mUpdated, aNow);
  // Follows a rise at once and a fall slowly, because requests are late or
  // refused until the split has followed a rise.
  const auto smoothed = [&](double aOld, const work_demand& aNew) {
    const double needed = EnginesNeeded(aNew);
    return std::max(needed, needed + decay * (aOld - needed));
  };
  mInteractive = smoothed(mInteractive, aDemand.mInteractive);
  mBulk = smoothed(mBulk, aDemand.mBulk);
  const bool isShort = mInteractive > kShortFrom * mShare * aEngines ||
                       mBulk > kShortFrom * (1 - mShare) * aEngines;
  if (!isShort) {
    return;
  }
  // With too few engines for all work, interactive work still gets what it
  // needs and bulk work waits or is refused.
  const double interactive = mInteractive + kSpareEngines;
  const double wanted =
    std::clamp(interactive / std::min(interactive + mBulk, aEngines),
               kMinimumShare,
               kMaximumShare);
  if (std::abs(wanted - mShare) >= kMinimumStep) {
    mShare = wanted;
  }
}

} // namespace sapphirespar::policy
