// Tests claims and tokens between three routers under random faults.
#include "test_cluster_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kClaim = at_most_once_mode::Claim;

// A random event in the cluster. mArgument selects the variant of the event.
struct step
{
  unsigned mKind = 0;
  unsigned mRouter = 0;
  unsigned mArgument = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const step& aStep)
{
  return aOut << aStep.mKind << '/' << aStep.mRouter << '/' << aStep.mArgument;
}

constexpr unsigned kRouters = 3;

vm_id
VmOf(unsigned aRouter)
{
  return { "vm" + std::to_string(aRouter) };
}

// Applies random steps to a cluster. The keys are two chosen by the caller and
// one token of each router.
struct cluster_simulation
{
  cluster_simulation()
  {
    for (unsigned router = 0; router < kRouters; ++router) {
      mKeys.push_back(mCluster.IssueToken(router));
    }
  }

  void SendStep(unsigned aRouter, unsigned aArgument)
  {
    // The quotient and the remainder are independent, so every key is sent with
    // and without a dispatch.
    const auto& key = mKeys[aArgument % mKeys.size()];
    const auto dispatch = aArgument / mKeys.size() % 2 == 0;
    const auto first = std::ranges::find(mSent, key) == mSent.end();
    mSent.push_back(key);
    mCluster.Send(aRouter, { at_most_once_mode::Claim, key, first, dispatch });
  }

  void StoreStep(unsigned aRouter, unsigned aArgument)
  {
    auto& faults = mCluster.Router(aRouter).mPlatform.Faults();
    switch (aArgument % 4) {
      case 0:
        faults.mOutage = !faults.mOutage;
        break;
      case 1:
        ++faults.mLoseAnswers;
        break;
      case 2:
        ++faults.mLoseRequests;
        break;
      default:
        faults.mDelay = std::chrono::milliseconds(100) * aArgument;
    }
  }

  void ProcessStep(unsigned aRouter, unsigned aArgument)
  {
    auto& timers = mCluster.Router(aRouter).mTimers;
    switch (aArgument % 4) {
      case 0:
        mCluster.Crash(aRouter);
        break;
      case 1:
        timers.Pause();
        break;
      case 2:
        timers.Resume();
        break;
      default:
        mCluster.MarkDead(aRouter);
    }
  }

  void Apply(const step& aStep)
  {
    const auto router = aStep.mRouter;
    const auto argument = aStep.mArgument;
    if (!mCluster.IsUp(router)) {
      mCluster.Restart(router);
      return;
    }
    switch (aStep.mKind) {
      case 0:
        ProcessStep(router, argument);
        break;
      case 1:
        StoreStep(router, argument);
        break;
      case 2:
        mCluster.mNetwork.Block(VmOf(router), VmOf(argument % kRouters));
        break;
      case 3:
        mCluster.mNetwork.Unblock(VmOf(router), VmOf(argument % kRouters));
        break;
      case 4:
        mCluster.Finish(router,
                        mKeys[argument % mKeys.size()],
                        argument % 2 == 0 ? outcome::Done : outcome::Unknown);
        break;
      case 5:
      case 6:
        mCluster.mTimers.Advance(std::chrono::milliseconds(40) *
                                 (argument + 1));
        break;
      default:
        SendStep(router, argument);
    }
  }

  // Ends all faults and restarts every router.
  void RepairAll()
  {
    for (unsigned router = 0; router < kRouters; ++router) {
      mCluster.Restart(router);
      for (unsigned peer = 0; peer < kRouters; ++peer) {
        mCluster.mNetwork.Unblock(VmOf(router), VmOf(peer));
      }
    }
    mCluster.mTimers.Advance(10s);
  }

  test_cluster mCluster{ kRouters };
  std::vector<std::string> mKeys{ "lot-7", "lot-8" };
  std::vector<std::string> mSent;
};

RC_GTEST_PROP(Claims, AtMostOnceAndNotRunIsTrueUnderAnyFaults, ())
{
  const auto kind = rc::gen::inRange(0U, 12U);
  const auto router = rc::gen::inRange(0U, kRouters);
  const auto argument = rc::gen::inRange(0U, 25U);
  const auto steps = *rc::gen::container<std::vector<step>>(
    120, rc::gen::construct<step>(kind, router, argument));
  cluster_simulation simulation;
  for (const auto& step : steps) {
    simulation.Apply(step);
    for (const auto& key : simulation.mKeys) {
      RC_ASSERT(simulation.mCluster.Runs(key) <= 1U);
    }
    RC_ASSERT(simulation.mCluster.FalseNotRuns() == 0U);
  }
  simulation.RepairAll();
  RC_ASSERT(simulation.mCluster.SendAndWait(0, kClaim, "fresh").mMayDispatch);
}

} // namespace
} // namespace sapphirespar::ledger
