// Tests of the share of engines for interactive work.
#include "sapphirespar/policy/engine_split.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

constexpr double kEngines = 21;

double
ShareAfter(engine_split& aSplit, engine_demand aDemand, steady_time& aNow)
{
  for (int step = 0; step < 100; ++step) {
    aNow += 100ms;
    aSplit.Update(aDemand, kEngines, aNow);
  }
  return aSplit.Share();
}

TEST(EngineSplit, FollowsTheMixWhenOneKindIsShortOfEngines)
{
  engine_split split;
  steady_time now{ 100s };
  // Long streams fill the slots of two thirds of the engines.
  EXPECT_LT(ShareAfter(split, { { 2, 0.7 }, { 13.3, 3 } }, now), 0.2);
  // Of two kinds that need half of the engines each, interactive work gets its
  // half and headroom.
  const auto share = ShareAfter(split, { { 9, 3 }, { 9, 5 } }, now);
  EXPECT_GE(share, 0.5);
  EXPECT_LE(share, 0.6);
  EXPECT_LE(ShareAfter(split, { { 20, 0 }, { 0, 0 } }, now), 0.6);
  EXPECT_GE(ShareAfter(split, { { 0, 0 }, { 20, 0 } }, now), 0.12);
}

TEST(EngineSplit, KeepsItsShareWhileBothKindsHaveCapacity)
{
  engine_split split;
  steady_time now{ 100s };
  const auto before = split.Share();
  EXPECT_EQ(ShareAfter(split, { { 1, 0.5 }, { 7, 3.5 } }, now), before);
  EXPECT_EQ(ShareAfter(split, { { 3.5, 1.5 }, { 1, 1 } }, now), before);
  EXPECT_EQ(ShareAfter(split, {}, now), before);
}

// Prompts whose prefill takes nearly half of the time of their engines queue
// for as long as their prefill takes, while interactive engines are idle.
TEST(EngineSplit, GivesIdleEnginesToTheKindWhosePromptsQueue)
{
  engine_split split;
  steady_time now{ 100s };
  EXPECT_LT(ShareAfter(split, { { 1, 0.5 }, { 5, 6 } }, now), 0.2);
  engine_split reverse;
  EXPECT_GT(ShareAfter(reverse, { { 1, 3 }, { 1, 1 } }, now), 0.5);
}

// However much bulk work there is, interactive work keeps the engines that it
// needs for its slots and for its prefill.
TEST(EngineSplit, AnOverloadOfBulkWorkTakesNoEnginesThatInteractiveWorkNeeds)
{
  EXPECT_TRUE(rc::check([] {
    const double slots = *rc::gen::inRange(0, 100) * 0.1;
    const double prefill = *rc::gen::inRange(0, 60) * 0.1;
    const double bulk = *rc::gen::inRange(100, 1000) * 0.1;
    engine_split split;
    steady_time now{ 100s };
    const double share =
      ShareAfter(split, { { slots, prefill }, { bulk, bulk } }, now);
    constexpr double kStep = 0.05;
    constexpr double kMaximumShare = 0.6;
    const double needed = std::max(slots, prefill) / kEngines;
    RC_ASSERT(share >= std::min(needed, kMaximumShare) - kStep);
  }));
}

// A group that is short of engines refuses requests until the split has
// followed a rise of its demand.
TEST(EngineSplit, FollowsARiseOfDemandAtOnce)
{
  engine_split split;
  steady_time now{ 100s };
  ShareAfter(split, { { 1, 0.5 }, { 1, 0.5 } }, now);
  split.Update({ { 1, 0.5 }, { 14, 9 } }, kEngines, now + 100ms);
  EXPECT_LT(split.Share(), 0.2);
}

// A fall is followed slowly, as demand varies.
TEST(EngineSplit, KeepsItsShareWhenDemandFallsBriefly)
{
  engine_split split;
  steady_time now{ 100s };
  const engine_demand demand{ { 2, 0.7 }, { 13.3, 3 } };
  const auto before = ShareAfter(split, demand, now);
  split.Update({ { 2, 0.7 }, { 0, 0 } }, kEngines, now + 100ms);
  EXPECT_EQ(split.Share(), before);
}

TEST(PrefillMeter, ReportsTheEnginesKeptBusyByPrefill)
{
  prefill_meter meter;
  steady_time now{ 100s };
  // Each second, 20 bulk prompts of 100 ms and 10 interactive ones of 20 ms.
  for (int step = 0; step < 200; ++step) {
    now += 50ms;
    meter.Add(false, 100, now);
    if (step % 2 == 0) {
      meter.Add(true, 20, now);
    }
  }
  EXPECT_NEAR(meter.Demand(now).mBulk.mPrefill, 2, 0.1);
  EXPECT_NEAR(meter.Demand(now).mInteractive.mPrefill, 0.2, 0.02);
  EXPECT_LT(meter.Demand(now + 20s).mBulk.mPrefill, 0.01);
  EXPECT_EQ(meter.RefusedPrefill(now), 0);
}

// More engines are needed while callers are refused, though none of their work
// runs. Each caller comes back once: two refusals are one request.
TEST(PrefillMeter, RefusedPromptsNeedEnginesToo)
{
  prefill_meter served;
  prefill_meter refused;
  steady_time now{ 100s };
  for (int step = 0; step < 200; ++step) {
    now += 50ms;
    served.Add(false, 100, now);
    refused.AddRefused(100, now);
    refused.AddRefused(100, now);
  }
  engine_split split;
  split.Update(served.Demand(now), kEngines, now);
  EXPECT_NEAR(
    EnginesForRefused(refused.RefusedPrefill(now)), split.Needed(), 0.1);
  EXPECT_EQ(refused.Demand(now).mBulk.mPrefill, 0);
  EXPECT_LT(refused.RefusedPrefill(now + 20s), 0.01);
}

} // namespace
} // namespace sapphirespar::policy
