// The small system behind the ledger's tests.
#include "once_world_test.hpp"

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
      mGuard->OnPeerMessage(aFrom, aMessage);
    });
  mGuard =
    std::make_unique<at_most_once_guard>(mBoard, mPlatform, *mLink, mTimers);
}

once_world::once_world(unsigned aRouters)
{
  for (unsigned router = 0; router < aRouters; ++router) {
    Restart(router);
  }
}

void
once_world::Restart(unsigned aRouter)
{
  auto& me = mMembers[aRouter];
  me.mState = member_state::Live;
  me.mProcess = { VmOf(aRouter), me.mProcess.mIncarnation + 1 };
  mRouters.erase(aRouter);
  mRouters[aRouter] =
    std::make_unique<test_router>(mTimers, mNetwork, mStore, me.mProcess);
  Introduce();
}

void
once_world::Crash(unsigned aRouter)
{
  mRouters.erase(aRouter);
}

void
once_world::Bury(unsigned aRouter)
{
  mMembers[aRouter].mState = member_state::Dead;
  Introduce();
}

void
once_world::Introduce()
{
  for (auto& [number, router] : mRouters) {
    for (const auto& [other, member] : mMembers) {
      router->mBoard.mMembers[VmOf(other)] = member;
    }
  }
}

once_world::attempt
once_world::Send(unsigned aRouter, sending aSending)
{
  auto told = std::make_shared<std::optional<dispatch_decision>>();
  const dispatch_request request{
    aSending.mMode, { kAccount, aSending.mKey }, 0, aSending.mFirst
  };
  auto* const guard = Router(aRouter).mGuard.get();
  const auto sent = ++mSent[aSending.mKey];
  guard->Begin(request, [this, told, aSending, guard, sent](auto aVerdict) {
    *told = aVerdict;
    auto& runs = mRuns[aSending.mKey];
    if (aVerdict.mMayDispatch && aSending.mDispatch) {
      ++runs;
    } else if (aVerdict.mMayDispatch) {
      guard->Finished({ kAccount, aSending.mKey }, outcome::NotRun);
      mFalseNotRuns += runs;
    } else if (aVerdict.mRefusal.mOutcome == outcome::NotRun &&
               (!aSending.mFirst || sent == mSent[aSending.mKey])) {
      // Who sends a first attempt again has given up its answer.
      mFalseNotRuns += runs;
    }
  });
  return told;
}

dispatch_decision
once_world::Ask(unsigned aRouter,
                at_most_once_mode aMode,
                const std::string& aKey)
{
  const auto told = Send(aRouter, { aMode, aKey, false, true });
  mTimers.Advance(10s);
  return told->value();
}

void
once_world::Finish(unsigned aRouter, const std::string& aKey, outcome aOutcome)
{
  Router(aRouter).mGuard->Finished({ kAccount, aKey }, aOutcome);
}

std::string
once_world::Token(unsigned aRouter)
{
  return Router(aRouter).mGuard->IssueToken(kAccount);
}

} // namespace sapphirespar::ledger
