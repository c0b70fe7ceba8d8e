// Decides how many upstreams of a pool are wanted in each data centre, from the
// number that callers' requests need, at the least price.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/routing.hpp"

#include <deque>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace sapphirespar::policy {

// The upstreams of a pool in one data centre that take work.
struct zone_capacity
{
  data_centre_id mDataCentre;
  // Price of a regular upstream.
  double mPrice = 1;
  unsigned mRegular = 0;
  unsigned mPreemptible = 0;
  // Preemptible upstreams that have been ordered and are starting.
  unsigned mStarting = 0;
  // The platform has no further preemptible upstreams here.
  bool mNoPreemptible = false;
};

struct zone_plan
{
  unsigned mRegular = 0;
  unsigned mPreemptible = 0;

  bool operator==(const zone_plan&) const = default;
};

// Returns the wanted number of upstreams for each of aZones. If preemptible
// ones are cheaper, there are so many that aNeeded remain when the platform
// takes all of any one data centre. Regular ones replace those that it doesn't
// give, and are given up only once preemptible ones have taken their place.
std::vector<zone_plan> PlanCapacity(const capacity_bounds& aBounds,
                                    std::span<const zone_capacity> aZones,
                                    unsigned aNeeded);

// Turns the present need for upstreams, which varies, into the number that is
// kept. Follows a rise at once. Follows a fall once it has lasted for the hold
// time, and only a large one: whoever is removed takes its cached prompts with
// it.
class capacity_need
{
public:
  // Bursts come back within the default time, and an upstream that is ordered
  // again starts with empty caches.
  explicit capacity_need(
    std::chrono::milliseconds aHoldTime = std::chrono::seconds(20))
    : mHoldTime(aHoldTime)
  {
  }

  // aNow never decreases. Returns the number to keep. Until the need has been
  // observed for long enough, that is at least aPresent of the first call.
  unsigned Update(double aNeeded, unsigned aPresent, steady_time aNow);

private:
  const std::chrono::milliseconds mHoldTime;
  // The needs of the latest time; each is higher than all later ones.
  std::deque<std::pair<steady_time, double>> mPeaks;
  std::optional<steady_time> mFirst;
  unsigned mKept = 0;
};

} // namespace sapphirespar::policy
