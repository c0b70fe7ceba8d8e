// Simulation of a fleet of gateways before a pool whose upstreams may crash.
#pragma once

#include "sapphirespar/policy/crash_suspects.hpp"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace sapphirespar::policy {

// Requests with one part that crashes each upstream that begins an answer.
struct crashing_requests
{
  std::uint64_t mPart = 0;
  // Whether it is the first part, otherwise the second.
  bool mFirst = false;
  double mPerSecond = 2;
  std::chrono::milliseconds mFrom{ 5000 };
  std::chrono::milliseconds mUntil{ 20000 };
};

struct fleet_plan
{
  unsigned mSeed = 1;
  unsigned mGateways = 9;
  unsigned mUpstreams = 9;
  double mSoundPerSecond = 80;
  // Parts of sound requests: one of the first, then one of the second ones. Low
  // numbers are more frequent.
  unsigned mFirstParts = 8;
  unsigned mSecondParts = 225;
  std::vector<crashing_requests> mCrashing;
  std::chrono::milliseconds mEnd{ 25000 };
  std::chrono::milliseconds mDownFor{ 3000 };
  double mGossipLoss = 0;
  // Times at which a share of the upstreams ends at once.
  std::vector<std::chrono::milliseconds> mPowerOffs;
  double mPowerOffShare = 1;
  // Mean time until an upstream ends by itself; zero: never.
  std::chrono::milliseconds mLifetime{ 0 };
  // Share of the answers that an upstream resets, and how many upstreams do.
  double mResets = 0;
  unsigned mResetting = 0;
  // A gateway that starts anew, and one that gets no gossip, for a while.
  std::optional<std::chrono::milliseconds> mRestart;
  std::optional<std::chrono::milliseconds> mCutFrom;
  std::chrono::milliseconds mCutUntil{ 0 };
};

// What happened. Times count from the start.
struct fleet_result
{
  // When upstreams ended under crashing requests, and when such requests were
  // sent to upstreams.
  std::vector<std::chrono::milliseconds> mCrashes;
  std::vector<std::chrono::milliseconds> mSent;
  // Parts that were quarantined at any gateway at any time, and when they were
  // at all gateways.
  std::set<std::uint64_t> mQuarantined;
  std::map<std::uint64_t, std::chrono::milliseconds> mEverywhere;
  unsigned mSoundAnswered = 0;
  unsigned mSoundRefused = 0;

  // Number of crashing requests sent more than 3 s after the fifth crash.
  std::size_t SentTooLate() const;
};

class crash_fleet
{
public:
  explicit crash_fleet(fleet_plan aPlan);
  fleet_result Run();

private:
  using action = std::function<void()>;
  struct event
  {
    steady_time mAt;
    std::uint64_t mOrder = 0;
    action mAction;
    bool operator<(const event& aOther) const
    {
      return std::pair(aOther.mAt, aOther.mOrder) < std::pair(mAt, mOrder);
    }
  };
  struct request
  {
    std::vector<std::uint64_t> mParts;
    bool mCrashes = false;
    unsigned mClientRepeats = 0;
  };
  struct attempt
  {
    request mRequest;
    std::size_t mGateway = 0;
    std::size_t mUpstream = 0;
    std::uint64_t mIncarnation = 0;
    unsigned mSends = 1;
    bool mBegun = false;
    unsigned mEvents = 0;
    unsigned mLength = 0;
    bool mResets = false;
    bool mDone = false;
  };
  struct upstream
  {
    std::uint64_t mIncarnation = 0;
    bool mUp = true;
    std::vector<std::shared_ptr<attempt>> mAttempts;
  };
  struct gateway
  {
    std::unique_ptr<crash_suspects> mSuspects;
    // Difference of its clock from the simulation's.
    std::chrono::milliseconds mOffset{ 0 };
    std::set<std::uint64_t> mHeld;
  };

  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }
  std::chrono::milliseconds DrawMs(int aFrom, int aTo);
  std::chrono::milliseconds Elapsed() const;
  std::chrono::milliseconds Exponential(double aPerSecond);
  std::uint64_t DrawPart(std::uint64_t aBase, unsigned aCount);
  void After(std::chrono::milliseconds aDelay, action aAction);
  steady_time NowAt(std::size_t aGateway) const;

  void StartGateway(std::size_t aIndex);
  void Gossip(std::size_t aFrom);
  bool IsCut(std::size_t aGateway) const;
  void Observe(std::size_t aGateway);
  void ArriveSound();
  void ArriveCrashing(const crashing_requests& aKind);
  void Serve(const request& aRequest, std::size_t aGateway, unsigned aSends);
  void Begin(const std::shared_ptr<attempt>& aAttempt);
  void Continue(const std::shared_ptr<attempt>& aAttempt);
  void Break(const std::shared_ptr<attempt>& aAttempt);
  void Crash(std::size_t aUpstream);
  void EndByItself(std::size_t aUpstream);
  void Tick(std::size_t aGateway);

  const fleet_plan mPlan;
  std::mt19937_64 mRandom;
  std::priority_queue<event> mEvents;
  std::uint64_t mOrder = 0;
  steady_time mNow{ std::chrono::hours(1) };
  std::vector<gateway> mGateways;
  std::vector<upstream> mUpstreams;
  std::uint64_t mNextIncarnation = 1;
  fleet_result mResult;
};

} // namespace sapphirespar::policy
