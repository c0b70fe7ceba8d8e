// Compares what requests cost in their data centre and outside.
#include "sapphirespar/policy/zone_exit.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// What leaving costs, in milliseconds of a caller's wait: the way there and
// back, a new connection now and then, and the traffic.
constexpr double kDistanceMs = 20;

// A data centre with fewer engines is not kept apart: its few engines can't
// take the variation of its load, and would hold each shared prefix again.
constexpr double kMinimumEngines = 12;

// Slots taken beyond this share cost callers time: streams slow each other
// down, and requests wait for slots.
constexpr double kFreeSlotUse = 0.6;
constexpr double kFullSlotsMs = 400;

// Everything may leave at this difference between the costs.
constexpr double kFullExitMs = 600;

// The share follows the difference this slowly. News is up to a second old, and
// all gateways of a data centre act on the same: a faster one would send too
// much out, and then too much back.
constexpr double kFollowSeconds = 3;

// Smaller shares are not worth the connections.
constexpr double kMinimumShare = 0.02;

double
CostMs(const zone_load& aLoad)
{
  const double used =
    std::max(aLoad.mSlotsTaken - kFreeSlotUse, 0.0) / (1 - kFreeSlotUse);
  return aLoad.mWaitMs + kFullSlotsMs * used;
}

} // namespace

void
zone_exit::Update(const zone_load& aOwn,
                  const zone_load& aOthers,
                  steady_time aNow)
{
  if (aOwn.mEngines < kMinimumEngines || aOthers.mEngines <= 0) {
    mShare = 1;
    mUpdated = aNow;
    return;
  }
  const double difference = CostMs(aOwn) - CostMs(aOthers) - kDistanceMs;
  const double wanted = std::clamp(difference / kFullExitMs, 0.0, 1.0);
  const std::chrono::duration<double> passed = aNow - mUpdated.value_or(aNow);
  const double kept = mUpdated ? std::exp(-passed.count() / kFollowSeconds) : 0;
  mUpdated = aNow;
  mShare = wanted + kept * (mShare - wanted);
  if (wanted == 0 && mShare < kMinimumShare) {
    mShare = 0;
  }
}

bool
zone_exit::Leaves(double aSharedPrefillMs, double aDraw) const
{
  return aSharedPrefillMs > kDistanceMs || aDraw < mShare;
}

} // namespace sapphirespar::policy
