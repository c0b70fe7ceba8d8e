// Needs and reserves.
#include "sapphirespar/policy/slot_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds kMemory{ 30 };

// Below this mean number of slots a class counts as absent.
constexpr double kLeastMean = 0.005;

// Part of the slots that may be kept free at most.
constexpr double kLargestReserve = 0.75;

} // namespace

void
slot_need::Note(steady_time aNow, steady_duration aSlotTime)
{
  mMean = MeanAt(aNow) + seconds(aSlotTime) / kMemory;
  mNotedAt = aNow;
}

double
slot_need::MeanAt(steady_time aNow) const
{
  return mMean * std::exp(-(seconds(aNow - mNotedAt) / kMemory));
}

unsigned
ReserveFor(double aMean, double aDeviations, unsigned aSlots)
{
  if (aMean < kLeastMean) {
    return 0;
  }
  // The number of requests in progress varies about like a Poisson number.
  const auto wanted = std::ceil(aMean + aDeviations * std::sqrt(aMean));
  return static_cast<unsigned>(std::min(wanted, aSlots * kLargestReserve));
}

} // namespace sapphirespar::policy
