// Tests what is ordered when demand changes and preemptible upstreams go.
#include "sapphirespar/policy/capacity_plan.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

capacity_bounds
Bounds()
{
  capacity_bounds bounds;
  bounds.mMinimum = 1;
  bounds.mMaximum = 40;
  bounds.mPreemptiblePrice = 0.22;
  return bounds;
}

std::vector<zone_capacity>
Zones(unsigned aRegular, unsigned aPreemptible)
{
  return { { { "a" }, 1.0, aRegular, aPreemptible },
           { { "b" }, 0.8, aRegular, aPreemptible },
           { { "c" }, 1.25, aRegular, aPreemptible } };
}

unsigned
Sum(const std::vector<zone_plan>& aPlan, unsigned zone_plan::*aKind)
{
  return std::accumulate(
    aPlan.begin(), aPlan.end(), 0U, [aKind](unsigned aSum, const auto& aZone) {
      return aSum + aZone.*aKind;
    });
}

TEST(capacity_plan, RegularUpstreamsStayUntilOthersHaveStarted)
{
  const auto plan = PlanCapacity(Bounds(), Zones(20, 0), 40);
  EXPECT_EQ(Sum(plan, &zone_plan::mPreemptible), 60U);
  EXPECT_EQ(Sum(plan, &zone_plan::mRegular), 40U);
  const auto later = PlanCapacity(Bounds(), Zones(20, 20), 40);
  EXPECT_EQ(Sum(later, &zone_plan::mRegular), 0U);
}

TEST(capacity_plan, WhatIsStartingIsNotReplaced)
{
  auto zones = Zones(0, 10);
  std::ranges::for_each(zones, [](auto& aZone) { aZone.mStarting = 10; });
  EXPECT_EQ(Sum(PlanCapacity(Bounds(), zones, 40), &zone_plan::mRegular), 0U);
}

TEST(capacity_plan, RegularUpstreamsReplaceWhatThePlatformDoesNotGive)
{
  auto zones = Zones(0, 10);
  zones[0].mPreemptible = 0;
  std::ranges::for_each(zones,
                        [](auto& aZone) { aZone.mNoPreemptible = true; });
  auto bounds = Bounds();
  bounds.mMinimum = 0;
  const auto plan = PlanCapacity(bounds, zones, 40);
  EXPECT_EQ(Sum(plan, &zone_plan::mPreemptible), 20U);
  EXPECT_EQ(Sum(plan, &zone_plan::mRegular), 20U);
}

TEST(capacity_plan, ExpensivePreemptibleUpstreamsAreNotOrdered)
{
  auto bounds = Bounds();
  bounds.mPreemptiblePrice = 0.9;
  const auto plan = PlanCapacity(bounds, Zones(0, 0), 30);
  EXPECT_EQ(Sum(plan, &zone_plan::mPreemptible), 0U);
  // The cheapest data centre first.
  EXPECT_EQ(plan[1].mRegular, 30U);
}

TEST(capacity_plan, OneDataCentreHasRegularUpstreamsOnly)
{
  const std::vector<zone_capacity> zones{ { { "a" }, 1.0, 5, 0 } };
  EXPECT_EQ(PlanCapacity(Bounds(), zones, 7),
            (std::vector<zone_plan>{ { 7, 0 } }));
}

// A need that rises is met by preemptible upstreams while the platform gives
// them.
TEST(capacity_plan, ARisingNeedIsNotMetByRegularUpstreams)
{
  const auto plan = PlanCapacity(Bounds(), Zones(0, 20), 50);
  EXPECT_EQ(Sum(plan, &zone_plan::mPreemptible), 75U);
  EXPECT_EQ(Sum(plan, &zone_plan::mRegular), 0U);
}

RC_GTEST_PROP(capacity_plan, BoundsHoldAndTheLossOfADataCentreIsBorne, ())
{
  auto bounds = Bounds();
  bounds.mMinimum = *rc::gen::inRange(0U, 4U);
  bounds.mMaximum = bounds.mMinimum + *rc::gen::inRange(1U, 50U);
  bounds.mPreemptiblePrice = 0.01 * *rc::gen::inRange(1, 120);
  std::vector<zone_capacity> zones;
  const auto count = *rc::gen::inRange(1U, 6U);
  for (unsigned index = 0; index < count; ++index) {
    zones.push_back({ { std::to_string(index) },
                      0.1 * *rc::gen::inRange(1, 30),
                      *rc::gen::inRange(0U, bounds.mMaximum + 1),
                      *rc::gen::inRange(0U, bounds.mMaximum + 1),
                      *rc::gen::inRange(0U, 5U),
                      *rc::gen::arbitrary<bool>() });
  }
  const auto needed = *rc::gen::inRange(1U, 100U);
  const auto plan = PlanCapacity(bounds, zones, needed);
  unsigned sum = 0;
  unsigned largest = 0;
  bool isShort = false;
  for (unsigned index = 0; index < count; ++index) {
    const auto all = plan[index].mRegular + plan[index].mPreemptible;
    RC_ASSERT(all >= bounds.mMinimum);
    RC_ASSERT(all <= bounds.mMaximum);
    sum += all;
    largest = std::max(largest, plan[index].mPreemptible);
    isShort = isShort || zones[index].mNoPreemptible;
  }
  // Where the bounds leave room for it.
  if (needed <= bounds.mMaximum) {
    RC_ASSERT(sum >= needed);
    RC_ASSERT(isShort || sum - largest >= needed);
  }
}

TEST(capacity_need, ARiseIsFollowedAtOnceAndAFallLater)
{
  capacity_need need;
  const steady_time start{};
  EXPECT_EQ(need.Update(0, 40, start), 40U);
  EXPECT_EQ(need.Update(50.2, 0, start + 1s), 51U);
  EXPECT_EQ(need.Update(10, 0, start + 20s), 51U);
  // The burst at one second was 20 s ago.
  EXPECT_EQ(need.Update(10, 0, start + 22s), 10U);
}

TEST(capacity_need, ASmallFallIsNotFollowed)
{
  capacity_need need;
  const steady_time start{};
  need.Update(40, 0, start);
  for (auto now = 1s; now < 100s; now += 1s) {
    EXPECT_EQ(need.Update(31, 0, start + now), 40U);
  }
}

} // namespace
} // namespace sapphirespar::policy
