// Implementation of the test cluster.
#include "test_cluster_test.hpp"

#include <algorithm>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

vm_id
VmOf(unsigned aRouter)
{
  return { "vm" + std::to_string(aRouter) };
}

} // namespace

test_router::test_router(timer_service& aTimers,
                         fake_network& aNetwork,
                         const std::shared_ptr<fake_store>& aStore,
                         process_id aSelf)
  : mTimers(aTimers)
  , mPlatform(mTimers, aStore)
{
  mBoard.mSelf = aSelf;
  mLink = aNetwork.Attach(
    aSelf, mTimers, [this](const process_id& aFrom, const auto& aMessage) {
      if (const auto* const beat = std::get_if<heartbeat>(&aMessage)) {
        NoteEra(beat->mStoreEra);
      } else {
        mGuard->OnPeerMessage(aFrom, aMessage);
      }
    });
  mGuard =
    std::make_unique<at_most_once_guard>(mBoard, mPlatform, *mLink, mTimers);
  mEraTimer = mTimers.Every(1s, [this] { SpreadEra(); });
}

void
test_router::SpreadEra()
{
  mPlatform.Get({ "probe", "probe" },
                [this](const auto& aAnswer) { NoteEra(aAnswer.mEra); });
  heartbeat message;
  message.mSender = mBoard.mSelf;
  message.mStoreEra = mEra;
  for (const auto& [vm, member] : mBoard.mMembers) {
    if (vm != mBoard.mSelf.mVm) {
      mLink->Send(vm, message);
    }
  }
}

void
test_router::NoteEra(store_era aEra)
{
  mEra = std::max(mEra, aEra);
  mGuard->NoteStoreEra(aEra);
}

test_cluster::test_cluster(unsigned aRouters)
{
  for (unsigned router = 0; router < aRouters; ++router) {
    Restart(router);
  }
}

void
test_cluster::Restart(unsigned aRouter)
{
  auto& member = mMembers[aRouter];
  member.mState = member_state::Live;
  member.mProcess = { VmOf(aRouter), member.mProcess.mIncarnation + 1 };
  mRouters.erase(aRouter);
  mRouters[aRouter] =
    std::make_unique<test_router>(mTimers, mNetwork, mStore, member.mProcess);
  ShareMembers();
}

void
test_cluster::Crash(unsigned aRouter)
{
  mRouters.erase(aRouter);
}

void
test_cluster::MarkDead(unsigned aRouter)
{
  mMembers[aRouter].mState = member_state::Dead;
  mMembers[aRouter].mLastHeard = mTimers.Now();
  ShareMembers();
}

void
test_cluster::MarkLive(unsigned aRouter)
{
  mMembers[aRouter].mState = member_state::Live;
  ShareMembers();
}

void
test_cluster::ShareMembers()
{
  for (auto& [number, router] : mRouters) {
    for (const auto& [other, member] : mMembers) {
      router->mBoard.mMembers[VmOf(other)] = member;
    }
  }
}

test_cluster::pending_decision
test_cluster::Send(unsigned aRouter, attempt_options aOptions)
{
  auto pending = std::make_shared<std::optional<dispatch_decision>>();
  const dispatch_request request{
    aOptions.mMode, { kAccount, aOptions.mKey }, 0, aOptions.mFirstAttempt
  };
  auto* const guard = Router(aRouter).mGuard.get();
  const auto sent = ++mSent[aOptions.mKey];
  guard->Begin(request, [this, pending, aOptions, guard, sent](auto aDecision) {
    *pending = aDecision;
    auto& runs = mRuns[aOptions.mKey];
    if (aDecision.mMayDispatch && aOptions.mDispatch) {
      ++runs;
    } else if (aDecision.mMayDispatch) {
      guard->Finished({ kAccount, aOptions.mKey }, outcome::NotRun);
      mFalseNotRuns += runs;
    } else if (aDecision.mRefusal.mOutcome == outcome::NotRun &&
               (!aOptions.mFirstAttempt || sent == mSent[aOptions.mKey])) {
      // A caller that repeats a first attempt must ignore the earlier answer.
      mFalseNotRuns += runs;
    }
  });
  return pending;
}

dispatch_decision
test_cluster::SendAndWait(unsigned aRouter,
                          at_most_once_mode aMode,
                          const std::string& aKey)
{
  const auto pending = Send(aRouter, { aMode, aKey, false, true });
  mTimers.Advance(10s);
  return pending->value();
}

void
test_cluster::Finish(unsigned aRouter,
                     const std::string& aKey,
                     outcome aOutcome)
{
  Router(aRouter).mGuard->Finished({ kAccount, aKey }, aOutcome);
}

std::string
test_cluster::IssueToken(unsigned aRouter)
{
  return Router(aRouter).mGuard->IssueToken(kAccount);
}

} // namespace sapphirespar::ledger
