// The reserve for the first tier.
#include "sapphirespar/policy/slot_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {

namespace {

using seconds = std::chrono::duration<double>;

constexpr seconds kMemory{ 30 };

// Below this mean number of slots the first tier counts as absent.
constexpr double kLeastOffered = 0.005;

// The first tier's need varies about like a Poisson number; this many standard
// deviations cover it 999 times in 1,000.
constexpr double kDeviations = 3;

// At most one slot in this many is kept free.
constexpr unsigned kReservePart = 2;

} // namespace

void
slot_reserve::Note(steady_time aNow, steady_duration aSlotTime)
{
  mOffered = OfferedAt(aNow) + seconds(aSlotTime) / kMemory;
  mNotedAt = aNow;
}

unsigned
slot_reserve::Target(steady_time aNow, unsigned aSlots) const
{
  const auto offered = OfferedAt(aNow);
  if (offered < kLeastOffered) {
    return 0;
  }
  const auto wanted = static_cast<unsigned>(
    std::ceil(offered + kDeviations * std::sqrt(offered)));
  return std::min(wanted, aSlots / kReservePart);
}

double
slot_reserve::OfferedAt(steady_time aNow) const
{
  return mOffered * std::exp(-(seconds(aNow - mNotedAt) / kMemory));
}

} // namespace sapphirespar::policy
