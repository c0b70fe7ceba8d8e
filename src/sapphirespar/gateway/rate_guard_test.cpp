// Tests of what a gateway and a fleet of gateways send to upstreams that name
// the rate they accept.
#include "sapphirespar/gateway/rate_guard.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>
#include <string>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kUpstream = 0xab;

class rate_guard_test : public testing::Test
{
protected:
  rate_guard_test() { mTimers.Advance(100s); }

  // Takes permits for this long. Returns how many were granted.
  unsigned TakeFor(std::chrono::milliseconds aTime)
  {
    unsigned granted = 0;
    for (auto passed = 0ms; passed < aTime; passed += 10ms) {
      granted += mGuard.TakePermit(kUpstream) == send_permit::Granted ? 1 : 0;
      mTimers.Advance(10ms);
    }
    return granted;
  }

  manual_timer_service mTimers;
  metrics mMetrics;
  unsigned mTold = 0;
  std::vector<vm_id> mGateways{ { "self" } };
  rate_guard mGuard{ mTimers,
                     mMetrics,
                     { "self" },
                     { [this] { return mGateways; },
                       [](std::uint64_t) { return upstream_id{ "up" }; },
                       [this] { ++mTold; } } };
};

TEST_F(rate_guard_test, NothingIsLimitedUntilAnAnswerSaysSo)
{
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
  mGuard.OnAnswer(kUpstream, kUnlimitedRate, mTimers.Now());
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
  mGuard.OnAnswer(kUpstream, 5, mTimers.Now());
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::Refused);
  EXPECT_EQ(mGuard.TimeUntilPermit(kUpstream), 200ms);
  EXPECT_EQ(mGuard.TakePermit(kUpstream + 1), send_permit::NotNeeded);
  EXPECT_NEAR(TakeFor(4s), 20, 1);
}

TEST_F(rate_guard_test, AnAnswerToAnOlderRequestDoesNotEndTheLimit)
{
  const auto sent = mTimers.Now();
  mTimers.Advance(100ms);
  mGuard.OnAnswer(kUpstream, 1, sent);
  mGuard.OnAnswer(kUpstream, kUnlimitedRate, sent);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::Refused);
  mTimers.Advance(100ms);
  mGuard.OnAnswer(kUpstream, kUnlimitedRate, mTimers.Now());
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
}

TEST_F(rate_guard_test, PeersAreToldOfALimitAtOnce)
{
  mGuard.OnAnswer(kUpstream, 1, mTimers.Now());
  EXPECT_EQ(mTold, 1U);
  // Small changes can wait.
  mTimers.Advance(1s);
  mTold = 0;
  mGuard.OnAnswer(kUpstream, 1.05, mTimers.Now());
  EXPECT_EQ(mTold, 0U);
  mGuard.OnAnswer(kUpstream, 2, mTimers.Now());
  EXPECT_EQ(mTold, 1U);
}

TEST_F(rate_guard_test, ALimitIsTakenOverFromAPeer)
{
  const std::array limited{ upstream_rate{ kUpstream, 2, 0ms } };
  mGuard.Merge(limited);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::Refused);
  EXPECT_EQ(mTold, 0U);
  EXPECT_TRUE(mGuard.Report().empty());
  mTimers.Advance(1s);
  // The end of a limit must be later than the limit, whatever the delays.
  std::array ended{ upstream_rate{ kUpstream, kUnlimitedRate, 900ms } };
  mGuard.Merge(ended);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::Granted);
  ended[0].mAge = 100ms;
  mGuard.Merge(ended);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
  // An older report does not bring it back.
  const std::array older{ upstream_rate{ kUpstream, 2, 500ms } };
  mGuard.Merge(older);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
}

TEST_F(rate_guard_test, AnUnknownFleetSendsNothing)
{
  mGateways.clear();
  mGuard.OnAnswer(kUpstream, 2, mTimers.Now());
  EXPECT_EQ(TakeFor(4s), 0U);
  EXPECT_EQ(mGuard.TimeUntilPermit(kUpstream), 1s);
  mGateways = { { "self" } };
  EXPECT_NEAR(TakeFor(4s), 8, 1);
}

TEST_F(rate_guard_test, WithoutAShareALimitThatNobodyConfirmsIsForgotten)
{
  mGateways.clear();
  mGuard.OnAnswer(kUpstream, 2, mTimers.Now());
  const std::array limited{ upstream_rate{ kUpstream, 2, 0ms } };
  for (int second = 0; second < 120; ++second) {
    mTimers.Advance(1s);
    mGuard.Merge(limited);
  }
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::Refused);
  mTimers.Advance(61s);
  EXPECT_EQ(mGuard.TakePermit(kUpstream), send_permit::NotNeeded);
}

TEST_F(rate_guard_test, TheTableIsBounded)
{
  std::vector<upstream_rate> many;
  for (std::uint64_t upstream = 1; upstream <= 5000; ++upstream) {
    many.push_back({ upstream, 1, 0ms });
    mGuard.OnAnswer(upstream, 1, mTimers.Now());
  }
  mGuard.Merge(many);
  EXPECT_EQ(mGuard.Report().size(), 256U);
  EXPECT_EQ(mGuard.TakePermit(5000), send_permit::NotNeeded);
}

// A fleet whose gateways send to one upstream whenever they may, with lost and
// late gossip, restarts, and gateways that come and go.
class limited_fleet
{
public:
  static constexpr auto kStep = 20ms;
  static constexpr auto kInTouch = 3000ms;
  static constexpr auto kGrace = 500ms;

  limited_fleet(unsigned aGateways, double aRate, unsigned aSeed)
    : mRandom(aSeed)
    , mRate(aRate)
  {
    mTimers.Advance(100s);
    for (unsigned number = 0; number < aGateways; ++number) {
      mNames.push_back({ "vm-" + std::to_string(number) });
    }
    std::ranges::sort(mNames);
    mMembers.resize(aGateways);
    for (unsigned number = 0; number < aGateways; ++number) {
      Restart(number);
    }
  }

  // Runs for a while in which each gateway wants to send this many requests a
  // second.
  void Run(std::chrono::milliseconds aTime,
           double aDemand,
           double aLoss,
           bool aRestarts)
  {
    for (auto passed = 0ms; passed < aTime; passed += kStep) {
      for (unsigned number = 0; number < mMembers.size(); ++number) {
        Step(number, aDemand);
      }
      if (passed % 400ms == 0ms) {
        Gossip(aLoss);
      }
      if (aRestarts && Draw() < 0.02) {
        Restart(static_cast<unsigned>(Draw() * 0.999 *
                                      static_cast<double>(mMembers.size())));
      }
      mTimers.Advance(kStep);
    }
  }

  // The most requests in some 4 s from gateways that had been told, after the
  // limit was first named and the fleet had time to learn of it.
  unsigned Worst() const
  {
    unsigned worst = 0;
    for (std::size_t first = 0; first < mCounted.size(); ++first) {
      const auto end = std::ranges::upper_bound(mCounted, mCounted[first] + 4s);
      const auto last = std::prev(end);
      if (*last >= mFirstNamed + kInTouch) {
        worst = std::max(
          worst,
          static_cast<unsigned>(std::distance(mCounted.begin() + first, end)));
      }
    }
    return worst;
  }

  unsigned Allowed() const
  {
    return static_cast<unsigned>(1.5 * 4 * mRate) + 5;
  }

  std::size_t Counted() const { return mCounted.size(); }

private:
  struct member
  {
    std::unique_ptr<rate_guard> mGuard;
    std::optional<steady_time> mTold;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  void Restart(unsigned aNumber)
  {
    rate_guard_hooks hooks;
    hooks.mGateways = [this] { return mNames; };
    hooks.mNameOf = [](std::uint64_t) { return upstream_id{ "up" }; };
    hooks.mTellPeers = [this, aNumber] { mUrgent.push_back(aNumber); };
    mMembers[aNumber] = { std::make_unique<rate_guard>(
                            mTimers, mMetrics, mNames[aNumber], hooks),
                          std::nullopt };
  }

  void Step(unsigned aNumber, double aDemand)
  {
    auto& own = mMembers[aNumber];
    const auto now = mTimers.Now();
    const std::chrono::duration<double> step = kStep;
    if (Draw() > aDemand * step.count() ||
        own.mGuard->TakePermit(kUpstream) == send_permit::Refused) {
      return;
    }
    if (own.mTold && now >= *own.mTold + kGrace) {
      mCounted.push_back(now);
    }
    own.mGuard->OnAnswer(kUpstream, mRate, now);
    own.mTold = own.mTold.value_or(now);
    mFirstNamed = std::min(mFirstNamed, now);
  }

  void Gossip(double aLoss)
  {
    for (const auto& from : mMembers) {
      const auto report = from.mGuard->Report();
      for (const auto& to : mMembers) {
        if (&to != &from && Draw() >= aLoss) {
          to.mGuard->Merge(report);
        }
      }
    }
    mUrgent.clear();
  }

  manual_timer_service mTimers;
  metrics mMetrics;
  std::mt19937 mRandom;
  const double mRate;
  std::vector<vm_id> mNames;
  std::vector<member> mMembers;
  std::vector<unsigned> mUrgent;
  steady_time mFirstNamed = steady_time::max();
  // Times of the requests that count.
  std::vector<steady_time> mCounted;
};

TEST(RateGuardFleet, KeepsTheLimitWhateverIsLost)
{
  rc::check([] {
    const auto gateways = *rc::gen::inRange(1U, 40U);
    const double rate = *rc::gen::inRange(0, 100) / 10.0;
    const auto seed = *rc::gen::arbitrary<unsigned>();
    const double demand = *rc::gen::element(0.5, 5.0, 40.0);
    const double loss = *rc::gen::element(0.0, 0.3, 1.0);
    const bool restarts = *rc::gen::arbitrary<bool>();
    limited_fleet fleet(gateways, rate, seed);
    fleet.Run(5s, demand, loss, restarts);
    fleet.Run(3s, 0, loss, restarts);
    fleet.Run(4s, demand, loss, restarts);
    RC_ASSERT(fleet.Worst() <= fleet.Allowed());
  });
}

TEST(RateGuardFleet, ALargeFleetKeepsTheLimit)
{
  limited_fleet fleet(300, 2.8, 7);
  fleet.Run(5s, 2, 0, false);
  EXPECT_LE(fleet.Worst(), fleet.Allowed());
}

TEST(RateGuardFleet, UsesTheRateUnderLoad)
{
  limited_fleet fleet(9, 2.8, 7);
  fleet.Run(20s, 5, 0, false);
  EXPECT_GT(fleet.Counted(), 2.8 * 20 * 0.8);
}

} // namespace
} // namespace sapphirespar::gateway
