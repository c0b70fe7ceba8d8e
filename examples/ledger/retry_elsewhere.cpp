// A caller sends a booking with a token, loses the answer and retries at
// another router. The booking runs once, and the second router reports its
// outcome.
#include "sapphirespar/ledger/at_most_once_guard.hpp"
#include "sapphirespar/model/fake_network.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <iostream>
#include <memory>
#include <optional>

using namespace sapphirespar;
using namespace std::chrono_literals;

namespace {

// The guard of one router with its peer link and platform client.
struct router
{
  router(manual_timer_service& aTimers,
         fake_network& aNetwork,
         const std::shared_ptr<fake_store>& aStore,
         const std::string& aVm)
    : mPlatform(aTimers, aStore)
  {
    mBoard.mSelf = { { aVm }, 1 };
    for (const auto* const vm : { "cesis-1", "smiltene-1" }) {
      member other;
      other.mProcess = { { vm }, 1 };
      other.mState = member_state::Live;
      mBoard.mMembers[{ vm }] = other;
    }
    mLink = aNetwork.Attach(
      mBoard.mSelf, aTimers, [this](const auto& aFrom, const auto& aMessage) {
        mGuard->OnPeerMessage(aFrom, aMessage);
      });
    mGuard.emplace(mBoard, mPlatform, *mLink, aTimers);
  }

  fake_platform mPlatform;
  blackboard mBoard;
  std::unique_ptr<peer_network> mLink;
  std::optional<ledger::at_most_once_guard> mGuard;
};

} // namespace

int
main()
{
  manual_timer_service timers;
  fake_network network(timers);
  const auto store = std::make_shared<fake_store>();
  router cesis(timers, network, store, "cesis-1");
  router smiltene(timers, network, store, "smiltene-1");

  const account_id account{ "abattoir" };
  ledger::dispatch_request booking;
  booking.mMode = at_most_once_mode::Token;
  booking.mKey = { account, cesis.mGuard->IssueToken(account) };

  bool first = false;
  cesis.mGuard->Begin(booking,
                      [&](auto aDecision) { first = aDecision.mMayDispatch; });
  std::cout << "first attempt: " << (first ? "run" : "refused") << '\n';
  cesis.mGuard->Finished(booking.mKey, outcome::Done);

  std::optional<ledger::dispatch_decision> second;
  smiltene.mGuard->Begin(booking, [&](auto aDecision) { second = aDecision; });
  timers.Advance(1s);
  std::cout << "retry elsewhere: " << ToText(second->mRefusal.mOutcome) << '\n';
  const auto once = first && !second->mMayDispatch;
  return once && second->mRefusal.mOutcome == outcome::Done ? 0 : 1;
}
