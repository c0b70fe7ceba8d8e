// A small system for the ledger's tests: routers over one store and one
// network under virtual time, and a service that counts what runs.
#pragma once

#include "sapphirespar/base/pausable_timer_service.hpp"
#include "sapphirespar/ledger/at_most_once_guard.hpp"
#include "sapphirespar/model/fake_network.hpp"
#include "sapphirespar/model/fake_platform.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sapphirespar::ledger {

inline const account_id kAccount{ "kalnozols" };

// One life of one router.
struct test_router
{
  test_router(timer_service& aTimers,
              fake_network& aNetwork,
              const std::shared_ptr<fake_store>& aStore,
              process_id aSelf);

  pausable_timer_service mTimers;
  fake_platform mPlatform;
  blackboard mBoard;
  std::unique_ptr<peer_network> mLink;
  std::unique_ptr<at_most_once_guard> mGuard;
};

class once_world
{
public:
  explicit once_world(unsigned aRouters);

  // Starts a new life of a router.
  void Restart(unsigned aRouter);
  void Crash(unsigned aRouter);
  bool IsUp(unsigned aRouter) const { return mRouters.contains(aRouter); }
  test_router& Router(unsigned aRouter) { return *mRouters.at(aRouter); }

  // Sends one attempt to a router and returns what it is told so far. What is
  // let run is dispatched and counted, or else ended as not run.
  struct sending
  {
    at_most_once_mode mMode = at_most_once_mode::Claim;
    std::string mKey;
    bool mFirst = false;
    bool mDispatch = true;
  };
  using attempt = std::shared_ptr<std::optional<dispatch_decision>>;
  attempt Send(unsigned aRouter, sending aSending);
  // The same, and waits long enough for any verdict.
  dispatch_decision Ask(unsigned aRouter,
                        at_most_once_mode aMode,
                        const std::string& aKey);
  void Finish(unsigned aRouter, const std::string& aKey, outcome aOutcome);

  std::string Token(unsigned aRouter);
  unsigned Runs(const std::string& aKey) { return mRuns[aKey]; }
  // How often "not run" was told of a key that had run.
  unsigned FalseNotRuns() const { return mFalseNotRuns; }
  // Marks a router as dead in the eyes of all others.
  void Bury(unsigned aRouter);

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_network mNetwork{ mTimers };

private:
  void Introduce();

  std::map<unsigned, std::unique_ptr<test_router>> mRouters;
  std::map<unsigned, member> mMembers;
  std::map<std::string, unsigned> mRuns;
  std::map<std::string, unsigned> mSent;
  unsigned mFalseNotRuns = 0;
};

} // namespace sapphirespar::ledger
