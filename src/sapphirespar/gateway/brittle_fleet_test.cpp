// Tests of a large fleet of gateways before a pool of upstreams that fall over
// if they have to turn too many requests away, under more load than they take.
#include "sapphirespar/gateway/brittle_guard.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr auto kStep = 5ms;
// From a request, or a report, to the reaction to it.
constexpr auto kDelay = 20ms;
// Gateways know each other's loads by reports of this age at most.
constexpr auto kReportPeriod = 260ms;
constexpr auto kDown = 3s;
// A request waits this long for an upstream.
constexpr auto kPatience = 240ms;
constexpr auto kWaitStep = 20ms;
// Rejections count from then on.
constexpr auto kGrace = 4s;

struct fleet_case
{
  std::size_t mGateways = 87;
  std::size_t mUpstreams = 40;
  int mSlots = 12;
  int mMayWait = 2;
  milliseconds mWork{ 1500 };
  double mTolerated = 5;
  // Offered requests as a multiple of what the upstreams can do.
  double mLoad = 2;
  double mLoss = 0.05;
  // Gateways that lose all that they know, in each second.
  std::size_t mRestarts = 0;
};

struct fleet_result
{
  unsigned mFalls = 0;
  unsigned mRejected = 0;
  // Of these, by upstreams that had been listed for less than a second.
  unsigned mRejectedOnReturn = 0;
  unsigned mServed = 0;
  unsigned mOffered = 0;
  unsigned mAlerts = 0;
};

class fleet
{
public:
  explicit fleet(const fleet_case& aCase)
    : mCase(aCase)
    , mServers(aCase.mUpstreams)
    , mReported(aCase.mUpstreams)
  {
    for (std::size_t number = 0; number < mServers.size(); ++number) {
      mServers[number].mKey = ++mLastKey;
    }
    for (std::size_t number = 0; number < mCase.mGateways; ++number) {
      AddGateway(number);
    }
  }

  // Lets one upstream turn a request of the first gateway away.
  void StartRations()
  {
    Run(2s);
    mGateways[0].mGuard->OnAnswer(
      *mGateways[0].mUpstreams[0], mCase.mTolerated, true);
  }

  fleet_result Run(std::chrono::seconds aTime)
  {
    mStart = mTimers.Now();
    const auto perSecond = mCase.mLoad * static_cast<double>(mCase.mUpstreams) *
                           mCase.mSlots /
                           std::chrono::duration<double>(mCase.mWork).count();
    std::poisson_distribution<int> arrivals(
      perSecond * std::chrono::duration<double>(kStep).count());
    while (mTimers.Now() - mStart < aTime) {
      const auto count = arrivals(mRandom);
      for (int request = 0; request < count; ++request) {
        ++mResult.mOffered;
        Send(Pick(mCase.mGateways), {});
      }
      if (mTimers.Now() - mLastReport >= kReportPeriod) {
        Report();
      }
      if (mTimers.Now() - mLastRestarts >= 1s) {
        RestartSome();
      }
      mTimers.Advance(kStep);
      RunPending();
    }
    return mResult;
  }

private:
  struct server
  {
    std::uint64_t mKey = 0;
    int mTaken = 0;
    std::deque<steady_time> mRejected;
  };

  struct gateway
  {
    std::vector<upstream_ptr> mUpstreams;
    std::vector<int> mReported;
    std::unique_ptr<brittle_guard> mGuard;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  std::size_t Pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  void After(milliseconds aDelay, std::function<void()> aWhat)
  {
    mPending.emplace(mTimers.Now() + aDelay, std::move(aWhat));
  }

  void RunPending()
  {
    while (!mPending.empty() && mPending.begin()->first <= mTimers.Now()) {
      const auto next = mPending.extract(mPending.begin());
      next.mapped()();
    }
  }

  upstream_ptr NewUpstream(std::size_t aNumber) const
  {
    auto added = std::make_shared<upstream>();
    added->mKey = mServers[aNumber].mKey;
    added->mEntry.mPool = "pool";
    added->mEntry.mSlots = static_cast<unsigned>(mCase.mSlots);
    return added;
  }

  std::unique_ptr<brittle_guard> MakeGuard(std::size_t aNumber)
  {
    brittle_hooks hooks;
    hooks.mFind = [this, aNumber](std::uint64_t aKey) -> upstream_ptr {
      const auto& known = mGateways[aNumber].mUpstreams;
      const auto found = std::ranges::find(
        known, aKey, [](const upstream_ptr& aItem) { return aItem->mKey; });
      return found != known.end() ? *found : nullptr;
    };
    hooks.mDraw = [this] { return Draw(); };
    hooks.mTellPeers = [this, aNumber] { Alert(aNumber); };
    hooks.mGateways = [this] { return static_cast<unsigned>(mCase.mGateways); };
    hooks.mLoadPeriod = [] { return kReportPeriod; };
    return std::make_unique<brittle_guard>(mTimers, std::move(hooks));
  }

  void AddGateway(std::size_t aNumber)
  {
    auto& added = mGateways.emplace_back();
    added.mReported.resize(mServers.size());
    for (std::size_t number = 0; number < mServers.size(); ++number) {
      added.mUpstreams.push_back(NewUpstream(number));
    }
    added.mGuard = MakeGuard(aNumber);
  }

  void Tell(std::size_t aFrom)
  {
    const auto report = mGateways[aFrom].mGuard->Report();
    if (report == brittle_report{}) {
      return;
    }
    for (std::size_t other = 0; other < mGateways.size(); ++other) {
      if (other != aFrom && Draw() >= mCase.mLoss) {
        After(kDelay, [this, other, report] {
          mGateways[other].mGuard->Merge(report);
        });
      }
    }
  }

  void Alert(std::size_t aFrom)
  {
    ++mResult.mAlerts;
    Tell(aFrom);
  }

  void RestartSome()
  {
    mLastRestarts = mTimers.Now();
    for (std::size_t count = 0; count < mCase.mRestarts; ++count) {
      const auto number = Pick(mGateways.size());
      mGateways[number].mGuard = MakeGuard(number);
      for (const auto& known : mGateways[number].mUpstreams) {
        known->mRation = {};
        known->mTurnsAwayUntil = {};
        known->mPeerLoad = {};
      }
    }
  }

  // Brings all gateways' loads to the knowledge of all others.
  void Report()
  {
    mLastReport = mTimers.Now();
    std::ranges::fill(mReported, 0);
    for (auto& from : mGateways) {
      for (std::size_t number = 0; number < mServers.size(); ++number) {
        from.mReported[number] = from.mUpstreams[number]->mOwnLoad.mRunning;
        mReported[number] += from.mReported[number];
      }
    }
    for (std::size_t number = 0; number < mGateways.size(); ++number) {
      Tell(number);
      for (std::size_t target = 0; target < mServers.size(); ++target) {
        auto& known = *mGateways[number].mUpstreams[target];
        known.mPeerLoad.mRunning =
          mReported[target] - mGateways[number].mReported[target];
      }
    }
  }

  // Sends a request from a gateway to the upstream that it thinks is least
  // loaded.
  void Send(std::size_t aFrom,
            std::vector<std::size_t> aTried,
            milliseconds aWaited = 0ms)
  {
    auto& from = mGateways[aFrom];
    std::optional<std::size_t> best;
    double lowest = 0;
    for (std::size_t number = 0; number < mServers.size(); ++number) {
      auto& target = *from.mUpstreams[number];
      if (std::ranges::find(aTried, number) != aTried.end() ||
          !from.mGuard->MaySend(target, 0)) {
        continue;
      }
      const auto load =
        target.mOwnLoad.mRunning + target.mPeerLoad.mRunning + Draw();
      if (!best || load < lowest) {
        best = number;
        lowest = load;
      }
    }
    if (!best) {
      if (aWaited < kPatience) {
        After(kWaitStep, [this, aFrom, aWaited, tried = std::move(aTried)] {
          Send(aFrom, tried, aWaited + kWaitStep);
        });
      }
      return;
    }
    const auto target = from.mUpstreams[*best];
    EXPECT_TRUE(from.mGuard->TakeSend(*target));
    ++target->mOwnLoad.mRunning;
    aTried.push_back(*best);
    After(kDelay / 2, [this, aFrom, target, tried = std::move(aTried)] {
      Arrive(aFrom, target, tried);
    });
  }

  void Arrive(std::size_t aFrom,
              const upstream_ptr& aTarget,
              const std::vector<std::size_t>& aTried)
  {
    const auto number = aTried.back();
    auto& at = mServers[number];
    if (at.mKey != aTarget->mKey || mTimers.Now() < DownUntil(number)) {
      --aTarget->mOwnLoad.mRunning;
      return;
    }
    if (at.mTaken >= mCase.mSlots + mCase.mMayWait) {
      NoteRejection(number);
      After(kDelay / 2, [this, aFrom, aTarget, aTried] {
        --aTarget->mOwnLoad.mRunning;
        mGateways[aFrom].mGuard->OnAnswer(*aTarget, mCase.mTolerated, true);
        if (aTried.size() < 2 && Draw() < 0.2) {
          Send(aFrom, aTried);
        }
      });
      return;
    }
    ++at.mTaken;
    const milliseconds work(
      static_cast<int>(std::exponential_distribution<double>(1)(mRandom) *
                       static_cast<double>(mCase.mWork.count())));
    After(kDelay / 2, [this, aFrom, aTarget] {
      mGateways[aFrom].mGuard->OnAnswer(*aTarget, mCase.mTolerated, false);
    });
    After(work + kDelay / 2, [this, aFrom, number, work, aTarget] {
      --aTarget->mOwnLoad.mRunning;
      mGateways[aFrom].mGuard->OnServed(*aTarget, work);
      if (mServers[number].mKey == aTarget->mKey) {
        --mServers[number].mTaken;
        ++mResult.mServed;
      }
    });
  }

  steady_time DownUntil(std::size_t aNumber) const
  {
    const auto found = mDownUntil.find(aNumber);
    return found != mDownUntil.end() ? found->second : steady_time{};
  }

  void NoteRejection(std::size_t aNumber)
  {
    const auto now = mTimers.Now();
    if (now - mStart < kGrace) {
      return;
    }
    ++mResult.mRejected;
    mResult.mRejectedOnReturn +=
      DownUntil(aNumber) != steady_time{} && now - DownUntil(aNumber) < 1s;
    auto& rejected = mServers[aNumber].mRejected;
    rejected.push_back(now);
    std::erase_if(rejected,
                  [now](steady_time aTime) { return now - aTime > 1s; });
    if (static_cast<double>(rejected.size()) > mCase.mTolerated) {
      Fall(aNumber);
    }
  }

  // The upstream is listed again, as another incarnation, when it is back.
  void Fall(std::size_t aNumber)
  {
    ++mResult.mFalls;
    mDownUntil[aNumber] = mTimers.Now() + kDown;
    mServers[aNumber] = server{ ++mLastKey, 0, {} };
    for (auto& known : mGateways) {
      known.mUpstreams[aNumber]->mTurnsAwayUntil = mTimers.Now() + kDown;
    }
    After(kDown, [this, aNumber] {
      for (auto& known : mGateways) {
        known.mUpstreams[aNumber] = NewUpstream(aNumber);
        known.mReported[aNumber] = 0;
      }
    });
  }

  const fleet_case mCase;
  manual_timer_service mTimers;
  std::mt19937 mRandom{ 5 };
  std::vector<server> mServers;
  std::vector<int> mReported;
  std::vector<gateway> mGateways;
  std::map<std::size_t, steady_time> mDownUntil;
  std::uint64_t mLastKey = 0;
  steady_time mStart{};
  steady_time mLastReport{};
  steady_time mLastRestarts{};
  std::multimap<steady_time, std::function<void()>> mPending;
  fleet_result mResult;
};

// Falls that are allowed in one time of brittle upstreams.
double
AllowedFalls(std::size_t aUpstreams)
{
  return 2 + 0.1 * static_cast<double>(aUpstreams);
}

constexpr auto kPlayed = 24s;

// What the upstreams can do in the time of a test.
double
Capacity(const fleet_case& aCase)
{
  return static_cast<double>(aCase.mUpstreams) * aCase.mSlots *
         std::chrono::duration<double>(kPlayed) /
         std::chrono::duration<double>(aCase.mWork);
}

void
ExpectFewFalls(const fleet_case& aCase)
{
  const auto result = fleet(aCase).Run(kPlayed);
  std::ostringstream told;
  told << "tolerated " << aCase.mTolerated << ", load " << aCase.mLoad
       << ", falls " << result.mFalls << ", rejected " << result.mRejected
       << " (" << result.mRejectedOnReturn << " on return), served "
       << result.mServed << " of " << result.mOffered << ", alerts "
       << result.mAlerts;
  EXPECT_LE(result.mFalls, AllowedFalls(aCase.mUpstreams)) << told.str();
  EXPECT_GE(result.mServed, Capacity(aCase) / 2) << told.str();
  testing::Test::RecordProperty("played", told.str());
}

TEST(BrittleFleet, OverloadedUpstreamsStayUp)
{
  for (const double tolerated : { 2.0, 5.0, 12.0 }) {
    for (const double load : { 1.3, 2.0, 4.0 }) {
      fleet_case played;
      played.mTolerated = tolerated;
      played.mLoad = load;
      ExpectFewFalls(played);
    }
  }
}

TEST(BrittleFleet, GatewaysThatRestartDoNotPushUpstreamsOver)
{
  fleet_case played;
  played.mRestarts = 9;
  ExpectFewFalls(played);
}

TEST(BrittleFleet, AFleetOfHundredsDoesNotPushUpstreamsOver)
{
  fleet_case played;
  played.mGateways = 295;
  played.mLoss = 0.2;
  ExpectFewFalls(played);
}

TEST(BrittleFleet, ShortRequestsWithinTheCapacityAreServed)
{
  fleet_case played;
  played.mUpstreams = 3;
  played.mSlots = 6;
  played.mMayWait = 4;
  played.mWork = 15ms;
  played.mLoad = 0.15;
  fleet gateways(played);
  gateways.StartRations();
  const auto result = gateways.Run(kPlayed);
  EXPECT_LE(result.mFalls, AllowedFalls(played.mUpstreams));
  EXPECT_GE(result.mServed, 0.95 * result.mOffered)
    << "rejected " << result.mRejected;
}

TEST(BrittleFleet, AReturningUpstreamIsNotFilledAtOnce)
{
  fleet_case played;
  played.mTolerated = 5;
  played.mLoad = 8;
  played.mMayWait = 0;
  ExpectFewFalls(played);
}

} // namespace
} // namespace sapphirespar::gateway
