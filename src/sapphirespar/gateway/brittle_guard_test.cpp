// Tests of fleets of gateways before an upstream that falls over if it has to
// turn too many requests away.
#include "sapphirespar/gateway/brittle_guard.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr auto kStep = 1ms;
// Requests that an idle upstream can take at once.
constexpr double kPlaces = 16;
// Until a rejection, or a report, has arrived.
constexpr auto kDelay = 20ms;

class fleet
{
public:
  fleet(std::size_t aSize, double aTolerated)
    : mTolerated(aTolerated)
    , mUpstreams(aSize)
  {
    for (std::size_t number = 0; number < aSize; ++number) {
      mUpstreams[number] = std::make_shared<upstream>();
      mUpstreams[number]->mKey = 7;
      mUpstreams[number]->mEntry.mPool = "pool";
      mUpstreams[number]->mEntry.mSlots = static_cast<unsigned>(kPlaces);
      brittle_hooks hooks;
      hooks.mFind = [this, number](std::uint64_t) {
        return mUpstreams[number];
      };
      hooks.mDraw = [this] { return Draw(); };
      hooks.mTellPeers = [this, number] { Tell(number); };
      hooks.mGateways = [aSize] { return static_cast<unsigned>(aSize); };
      hooks.mLoadPeriod = [] { return 250ms; };
      mGuards.push_back(
        std::make_unique<brittle_guard>(mTimers, std::move(hooks)));
    }
  }

  // Lets each gateway want to send this many requests a second while the
  // upstream takes aRoom a second. Returns the most that it has turned away in
  // some second, from one second after the start.
  std::ptrdiff_t Run(std::chrono::seconds aTime,
                     double aPerSecond,
                     double aRoom)
  {
    const auto start = mTimers.Now();
    std::vector<steady_time> rejected;
    double room = 0;
    while (mTimers.Now() - start < aTime) {
      room = std::min(room + aRoom / 1000, kPlaces);
      for (std::size_t number = 0; number < mUpstreams.size(); ++number) {
        auto& target = *mUpstreams[number];
        if (Draw() >= aPerSecond / 1000 || !mGuards[number]->TakeSend(target)) {
          continue;
        }
        if (room >= 1) {
          room -= 1;
          ++mTaken;
          continue;
        }
        if (mTimers.Now() - start > 1s) {
          rejected.push_back(mTimers.Now());
        }
        Later([this, number] {
          mGuards[number]->OnAnswer(*mUpstreams[number], mTolerated, true);
        });
      }
      mTimers.Advance(kStep);
    }
    std::ptrdiff_t most = 0;
    for (auto from = rejected.begin(); from != rejected.end(); ++from) {
      const auto to = std::ranges::lower_bound(rejected, *from + 1s);
      most = std::max(most, to - from);
    }
    return most;
  }

  unsigned Taken() const { return mTaken; }

  // Share of the reports that are lost.
  double mLoss = 0;

private:
  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  void Later(std::function<void()> aWhat)
  {
    mPending.push_back(mTimers.After(kDelay, std::move(aWhat)));
  }

  void Tell(std::size_t aNumber)
  {
    const auto report = mGuards[aNumber]->Report();
    for (std::size_t other = 0; other < mGuards.size(); ++other) {
      if (other != aNumber && Draw() >= mLoss) {
        Later([this, other, report] { mGuards[other]->Merge(report); });
      }
    }
  }

  const double mTolerated;
  manual_timer_service mTimers;
  std::mt19937 mRandom{ 5 };
  std::vector<upstream_ptr> mUpstreams;
  std::vector<std::unique_ptr<brittle_guard>> mGuards;
  std::vector<timer_subscription> mPending;
  unsigned mTaken = 0;
};

TEST(BrittleGuard, AFleetKeepsWithinWhatAFullUpstreamTolerates)
{
  for (const std::size_t size : { 1U, 3U, 9U, 30U }) {
    for (const double tolerated : { 4.0, 8.0, 20.0 }) {
      fleet gateways(size, tolerated);
      // All gateways together want to send 60 requests a second.
      const auto each = 60.0 / static_cast<double>(size);
      EXPECT_LE(gateways.Run(30s, each, 0), tolerated) << size;
    }
  }
}

TEST(BrittleGuard, AFleetThatLosesReportsKeepsWithinIt)
{
  fleet gateways(9, 12);
  gateways.mLoss = 0.3;
  EXPECT_LE(gateways.Run(30s, 7, 0), 12);
}

TEST(BrittleGuard, AnUpstreamWithRoomIsUsed)
{
  fleet gateways(9, 8);
  // It takes 30 a second of the 60 that are offered.
  EXPECT_LE(gateways.Run(30s, 7, 30), 8);
  EXPECT_GT(gateways.Taken(), 300U);
}

TEST(BrittleGuard, PausesFollowWhatIsTolerated)
{
  manual_timer_service timers;
  const auto pause = [&](double aTolerated) {
    auto known = std::make_shared<upstream>();
    brittle_guard guard(timers,
                        { [&](std::uint64_t) { return known; },
                          [] { return 0.0; },
                          [] {},
                          [] { return 1U; },
                          [] { return 0ms; } });
    guard.OnAnswer(*known, aTolerated, true);
    return known->mTurnsAwayUntil - timers.Now();
  };
  EXPECT_EQ(pause(8), 500ms);
  EXPECT_EQ(pause(1000), 250ms);
  EXPECT_EQ(pause(0), 4s);
  EXPECT_EQ(pause(0.001), 4s);
}

} // namespace
} // namespace sapphirespar::gateway
