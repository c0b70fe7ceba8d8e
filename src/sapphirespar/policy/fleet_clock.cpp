// The median of the clocks that were heard recently.
#include "sapphirespar/policy/fleet_clock.hpp"

#include <algorithm>
#include <vector>

namespace sapphirespar::policy {
namespace {

// The reading of a gateway that has not been heard for this long is left out.
constexpr std::chrono::seconds kReadingLife{ 10 };

std::chrono::milliseconds
OffsetOf(wall_time aWall, boot_time aNow)
{
  return aWall - std::chrono::duration_cast<std::chrono::milliseconds>(
                   aNow.time_since_epoch());
}

} // namespace

void
fleet_clock::Note(const vm_id& aVm, wall_time aWall, boot_time aNow)
{
  mReadings[aVm] = { OffsetOf(aWall, aNow), aNow };
  std::erase_if(mReadings, [aNow](const auto& aItem) {
    return aNow - aItem.second.mTakenAt > kReadingLife;
  });
}

wall_time
fleet_clock::At(wall_time aOwn, boot_time aNow) const
{
  std::vector offsets{ OffsetOf(aOwn, aNow) };
  for (const auto& [vm, reading] : mReadings) {
    if (aNow - reading.mTakenAt <= kReadingLife) {
      offsets.push_back(reading.mOffset);
    }
  }
  const auto middle = offsets.begin() + std::ssize(offsets) / 2;
  std::ranges::nth_element(offsets, middle);
  return *middle + std::chrono::duration_cast<std::chrono::milliseconds>(
                     aNow.time_since_epoch());
}

} // namespace sapphirespar::policy
