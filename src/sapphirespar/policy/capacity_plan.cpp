// Chooses between regular and preemptible upstreams, and their data centres.
#include "sapphirespar/policy/capacity_plan.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace sapphirespar::policy {
namespace {

// A fall is followed only to less than this part of what is kept.
constexpr double kShrinkPart = 0.75;

std::vector<std::size_t>
CheapestFirst(std::span<const zone_capacity> aZones)
{
  std::vector<std::size_t> order(aZones.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::stable_sort(
    order, {}, [&](std::size_t aIndex) { return aZones[aIndex].mPrice; });
  return order;
}

// The same number of preemptible upstreams in each data centre, so that those
// of all but one are enough. Where the platform has no more, the present ones
// are kept.
std::vector<unsigned>
SpreadPreemptible(const capacity_bounds& aBounds,
                  std::span<const zone_capacity> aZones,
                  unsigned aNeeded)
{
  const auto others = static_cast<unsigned>(aZones.size()) - 1;
  const auto share = (aNeeded + others - 1) / others;
  std::vector<unsigned> counts;
  std::ranges::transform(
    aZones, std::back_inserter(counts), [&](const zone_capacity& aZone) {
      return std::min(aZone.mNoPreemptible ? aZone.mPreemptible : share,
                      aBounds.mMaximum);
    });
  return counts;
}

// Plans aCount regular upstreams, as far as the bounds allow beside the
// preemptible ones that run or are starting: those that are there first, then
// the cheapest.
std::vector<zone_plan>
SpreadRegular(const capacity_bounds& aBounds,
              std::span<const zone_capacity> aZones,
              unsigned aCount)
{
  std::vector<zone_plan> plan(aZones.size());
  const auto order = CheapestFirst(aZones);
  const auto fill = [&](auto aLimit) {
    for (const auto index : order) {
      const auto& zone = aZones[index];
      const auto taken = zone.mPreemptible + zone.mStarting;
      const auto free = aBounds.mMaximum - std::min(aBounds.mMaximum, taken);
      auto& regular = plan[index].mRegular;
      const auto limit = std::min(free, aLimit(zone));
      const auto added = std::min(aCount, limit - std::min(limit, regular));
      regular += added;
      aCount -= added;
    }
  };
  fill([](const zone_capacity& aZone) { return aZone.mRegular; });
  fill([&](const zone_capacity&) { return aBounds.mMaximum; });
  return plan;
}

void
RaiseToMinimum(std::vector<zone_plan>& aPlan, const capacity_bounds& aBounds)
{
  for (auto& plan : aPlan) {
    const auto sum = plan.mRegular + plan.mPreemptible;
    plan.mRegular += aBounds.mMinimum - std::min(aBounds.mMinimum, sum);
  }
}

unsigned
Missing(unsigned aNeeded, unsigned aHave)
{
  return aNeeded - std::min(aNeeded, aHave);
}

// Returns the price of a plan, as a multiple of that of a regular upstream of
// price 1.
double
PriceOf(std::span<const zone_plan> aPlan,
        const capacity_bounds& aBounds,
        std::span<const zone_capacity> aZones)
{
  double price = 0;
  for (std::size_t index = 0; index < aPlan.size(); ++index) {
    price += aZones[index].mPrice *
             (aPlan[index].mRegular + aBounds.mPreemptiblePrice.value_or(1) *
                                        aPlan[index].mPreemptible);
  }
  return price;
}

std::vector<zone_plan>
PlanRegular(const capacity_bounds& aBounds,
            std::span<const zone_capacity> aZones,
            unsigned aNeeded)
{
  // The preemptible ones make room.
  std::vector<zone_capacity> zones(aZones.begin(), aZones.end());
  std::ranges::for_each(zones, [](zone_capacity& aZone) {
    aZone.mPreemptible = 0;
    aZone.mStarting = 0;
  });
  auto plan = SpreadRegular(aBounds, zones, aNeeded);
  RaiseToMinimum(plan, aBounds);
  return plan;
}

std::vector<zone_plan>
PlanMixed(const capacity_bounds& aBounds,
          std::span<const zone_capacity> aZones,
          unsigned aNeeded)
{
  const auto wanted = SpreadPreemptible(aBounds, aZones, aNeeded);
  unsigned regular = 0;
  unsigned running = 0;
  unsigned expected = 0;
  for (std::size_t index = 0; index < wanted.size(); ++index) {
    const auto& zone = aZones[index];
    regular += zone.mRegular;
    running += std::min(wanted[index], zone.mPreemptible);
    // What is wanted comes, unless the platform has said that it has none.
    expected += zone.mNoPreemptible
                  ? std::min(wanted[index], zone.mPreemptible + zone.mStarting)
                  : wanted[index];
  }
  const auto kept = std::min(regular, Missing(aNeeded, running));
  auto plan =
    SpreadRegular(aBounds, aZones, std::max(kept, Missing(aNeeded, expected)));
  for (std::size_t index = 0; index < plan.size(); ++index) {
    plan[index].mPreemptible =
      std::min(wanted[index], aBounds.mMaximum - plan[index].mRegular);
  }
  RaiseToMinimum(plan, aBounds);
  return plan;
}

} // namespace

std::vector<zone_plan>
PlanCapacity(const capacity_bounds& aBounds,
             std::span<const zone_capacity> aZones,
             unsigned aNeeded)
{
  const auto regular = PlanRegular(aBounds, aZones, aNeeded);
  if (!aBounds.mPreemptiblePrice || aZones.size() < 2) {
    return regular;
  }
  // Compares what the plans cost once all that is ordered runs.
  std::vector<zone_capacity> later(aZones.begin(), aZones.end());
  const auto wanted = SpreadPreemptible(aBounds, aZones, aNeeded);
  for (std::size_t index = 0; index < later.size(); ++index) {
    later[index].mRegular = 0;
    later[index].mPreemptible = wanted[index];
    later[index].mStarting = 0;
  }
  const auto settled = PlanMixed(aBounds, later, aNeeded);
  return PriceOf(settled, aBounds, aZones) < PriceOf(regular, aBounds, aZones)
           ? PlanMixed(aBounds, aZones, aNeeded)
           : regular;
}

unsigned
capacity_need::Update(double aNeeded, unsigned aPresent, steady_time aNow)
{
  if (!mFirst) {
    mFirst = aNow;
    mKept = aPresent;
  }
  while (!mPeaks.empty() && mPeaks.back().second <= aNeeded) {
    mPeaks.pop_back();
  }
  mPeaks.emplace_back(aNow, aNeeded);
  while (aNow - mPeaks.front().first > mHoldTime) {
    mPeaks.pop_front();
  }
  const auto peak =
    static_cast<unsigned>(std::ceil(std::max(mPeaks.front().second, 1.0)));
  if (aNow - *mFirst < mHoldTime) {
    mKept = std::max(mKept, peak);
  } else if (peak > mKept || peak < kShrinkPart * mKept) {
    mKept = peak;
  }
  return mKept;
}

} // namespace sapphirespar::policy
