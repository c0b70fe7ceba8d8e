// Tests of the shares of the room at brittle upstreams.
#include "sapphirespar/policy/brittle_share.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

brittle_room
HalfFull()
{
  brittle_room room;
  room.mSlots = 12;
  room.mRunning = 6;
  room.mTolerated = 4;
  room.mPeriod = 250ms;
  room.mGateways = 10;
  return room;
}

TEST(BrittleShare, AFleetFillsHalfOfTheRoomInAPeriod)
{
  for (const unsigned gateways : { 1U, 9U, 87U, 300U }) {
    auto room = HalfFull();
    room.mGateways = gateways;
    room.mTolerated = 0;
    EXPECT_NEAR(gateways * MeanSendsPerPeriod(room), 3, 1e-9);
  }
}

TEST(BrittleShare, AFullUpstreamGetsAnEighthOfWhatItTolerates)
{
  auto room = HalfFull();
  for (const double running : { 12.0, 50.0 }) {
    room.mRunning = running;
    EXPECT_DOUBLE_EQ(room.mGateways * MeanSendsPerPeriod(room) / 0.25, 0.5);
  }
  room.mTolerated = 0;
  EXPECT_EQ(MeanSendsPerPeriod(room), 0);
}

TEST(BrittleShare, ShortRequestsTakeASlotSeveralTimesInAPeriod)
{
  auto room = HalfFull();
  room.mTolerated = 0;
  const auto once = MeanSendsPerPeriod(room);
  room.mWork = 25ms;
  // All of the room, as all of them end within the period.
  EXPECT_DOUBLE_EQ(MeanSendsPerPeriod(room), 2 * 10 * once);
  room.mWork = 2s;
  EXPECT_DOUBLE_EQ(MeanSendsPerPeriod(room), once);
}

TEST(BrittleShare, WithoutGatewaysTheShareIsThatOfOne)
{
  auto room = HalfFull();
  room.mGateways = 1;
  const auto one = MeanSendsPerPeriod(room);
  room.mGateways = 0;
  EXPECT_EQ(MeanSendsPerPeriod(room), one);
}

TEST(BrittleShare, DrawsKeepTheMean)
{
  EXPECT_EQ(DrawSends(0.25, 0.2), 1U);
  EXPECT_EQ(DrawSends(0.25, 0.25), 0U);
  EXPECT_EQ(DrawSends(2.5, 0.4), 3U);
  EXPECT_EQ(DrawSends(2.5, 0.6), 2U);
  EXPECT_EQ(DrawSends(0, 0), 0U);
}

} // namespace
} // namespace sapphirespar::policy
