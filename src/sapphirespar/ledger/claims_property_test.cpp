// Claims and tokens between three routers under arbitrary faults.
#include "once_world_test.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

constexpr auto kClaim = at_most_once_mode::Claim;

// One thing that may happen to the small system.
struct step
{
  unsigned mKind = 0;
  unsigned mRouter = 0;
  unsigned mOther = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const step& aStep)
{
  return aOut << aStep.mKind << '/' << aStep.mRouter << '/' << aStep.mOther;
}

constexpr unsigned kRouters = 3;

vm_id
VmOf(unsigned aRouter)
{
  return { "vm" + std::to_string(aRouter) };
}

// The keys in play: two of the caller's own, and one token of each router.
struct chaos
{
  chaos()
  {
    for (unsigned router = 0; router < kRouters; ++router) {
      mKeys.push_back(mWorld.Token(router));
    }
  }

  void SendStep(unsigned aRouter, unsigned aOther)
  {
    const auto& key = mKeys[aOther % mKeys.size()];
    const auto first = std::ranges::find(mSent, key) == mSent.end();
    mSent.push_back(key);
    mWorld.Send(aRouter,
                { at_most_once_mode::Claim, key, first, aOther % 5 != 4 });
  }

  void StoreStep(unsigned aRouter, unsigned aOther)
  {
    auto& faults = mWorld.Router(aRouter).mPlatform.Faults();
    switch (aOther % 4) {
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
        faults.mDelay = std::chrono::milliseconds(100) * aOther;
    }
  }

  void ProcessStep(unsigned aRouter, unsigned aOther)
  {
    auto& timers = mWorld.Router(aRouter).mTimers;
    switch (aOther % 4) {
      case 0:
        mWorld.Crash(aRouter);
        break;
      case 1:
        timers.Pause();
        break;
      case 2:
        timers.Resume();
        break;
      default:
        mWorld.Bury(aRouter);
    }
  }

  void Do(const step& aStep)
  {
    const auto router = aStep.mRouter;
    const auto other = aStep.mOther;
    if (!mWorld.IsUp(router)) {
      mWorld.Restart(router);
      return;
    }
    switch (aStep.mKind) {
      case 0:
        ProcessStep(router, other);
        break;
      case 1:
        StoreStep(router, other);
        break;
      case 2:
        mWorld.mNetwork.Block(VmOf(router), VmOf(other % kRouters));
        break;
      case 3:
        mWorld.mNetwork.Unblock(VmOf(router), VmOf(other % kRouters));
        break;
      case 4:
        mWorld.Finish(router,
                      mKeys[other % mKeys.size()],
                      other % 2 == 0 ? outcome::Done : outcome::Unknown);
        break;
      case 5:
      case 6:
        mWorld.mTimers.Advance(std::chrono::milliseconds(40) * (other + 1));
        break;
      default:
        SendStep(router, other);
    }
  }

  // Ends all faults; every process starts anew.
  void Heal()
  {
    for (unsigned router = 0; router < kRouters; ++router) {
      mWorld.Restart(router);
      for (unsigned other = 0; other < kRouters; ++other) {
        mWorld.mNetwork.Unblock(VmOf(router), VmOf(other));
      }
    }
    mWorld.mTimers.Advance(10s);
  }

  once_world mWorld{ kRouters };
  std::vector<std::string> mKeys{ "lot-7", "lot-8" };
  std::vector<std::string> mSent;
};

RC_GTEST_PROP(Claims, AtMostOnceAndNotRunIsTrueUnderAnyFaults, ())
{
  const auto kind = rc::gen::inRange(0U, 12U);
  const auto router = rc::gen::inRange(0U, kRouters);
  const auto other = rc::gen::inRange(0U, 25U);
  const auto steps = *rc::gen::container<std::vector<step>>(
    120, rc::gen::construct<step>(kind, router, other));
  chaos chaos;
  for (const auto& step : steps) {
    chaos.Do(step);
    for (const auto& key : chaos.mKeys) {
      RC_ASSERT(chaos.mWorld.Runs(key) <= 1U);
    }
    RC_ASSERT(chaos.mWorld.FalseNotRuns() == 0U);
  }
  chaos.Heal();
  RC_ASSERT(chaos.mWorld.Ask(0, kClaim, "fresh").mMayDispatch);
}

} // namespace
} // namespace sapphirespar::ledger
