// Estimates the slot demand of a class and the slots to reserve for it.
#include "sapphirespar/policy/slot_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {

namespace {

using seconds = std::chrono::duration<double>;

// Time constant of the exponential decay of the mean.
constexpr seconds kDecayTime{ 30 };

// A class with a lower mean number of slots counts as absent.
constexpr double kMinimumMean = 0.005;

// Largest fraction of the slots that may be reserved.
constexpr double kMaximumReserveFraction = 0.75;

} // namespace

void
slot_demand::AddRequest(steady_time aNow, steady_duration aSlotTime)
{
  mMean = MeanAt(aNow) + seconds(aSlotTime) / kDecayTime;
  mUpdatedAt = aNow;
}

double
slot_demand::MeanAt(steady_time aNow) const
{
  return mMean * std::exp(-(seconds(aNow - mUpdatedAt) / kDecayTime));
}

unsigned
ReservedSlots(double aMean, double aDeviations, unsigned aSlots)
{
  if (aMean < kMinimumMean) {
    return 0;
  }
  // The number of requests in progress is roughly Poisson-distributed, so its
  // standard deviation is the square root of the mean.
  const auto wanted = std::ceil(aMean + aDeviations * std::sqrt(aMean));
  return static_cast<unsigned>(
    std::min(wanted, aSlots * kMaximumReserveFraction));
}

} // namespace sapphirespar::policy
