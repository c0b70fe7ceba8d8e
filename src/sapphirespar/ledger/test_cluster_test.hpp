// A cluster for the ledger's tests: routers with one shared store and network
// under virtual time. Counts the dispatches of each key.
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

// One process of a router, from its start to its crash or restart.
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
  // Reads the store's era and sends it to the members, as the control plane
  // does with the answers that it gets anyway.
  void SpreadEra();
  void NoteEra(store_era aEra);
  store_era mEra = 0;
  timer_subscription mEraTimer;
};

class test_cluster
{
public:
  explicit test_cluster(unsigned aRouters);

  // Starts a router, or replaces its process by one of the next incarnation.
  void Restart(unsigned aRouter);
  void Crash(unsigned aRouter);
  bool IsUp(unsigned aRouter) const { return mRouters.contains(aRouter); }
  test_router& Router(unsigned aRouter) { return *mRouters.at(aRouter); }

  // An attempt of a caller. With mDispatch, an allowed request is counted as
  // run; without it, the request ends as NotRun.
  struct attempt_options
  {
    at_most_once_mode mMode = at_most_once_mode::Claim;
    std::string mKey;
    bool mFirstAttempt = false;
    bool mDispatch = true;
  };
  using pending_decision = std::shared_ptr<std::optional<dispatch_decision>>;
  // Sends one attempt to a router. The result is empty until the router
  // decides.
  pending_decision Send(unsigned aRouter, attempt_options aOptions);
  // Sends one attempt and waits long enough for any decision.
  dispatch_decision SendAndWait(unsigned aRouter,
                                at_most_once_mode aMode,
                                const std::string& aKey);
  void Finish(unsigned aRouter, const std::string& aKey, outcome aOutcome);

  std::string IssueToken(unsigned aRouter);
  unsigned Runs(const std::string& aKey) { return mRuns[aKey]; }
  // Returns how often "not run" was reported for a key that had run.
  unsigned FalseNotRuns() const { return mFalseNotRuns; }
  // Marks a router as dead in the member lists of all routers.
  void MarkDead(unsigned aRouter);
  void MarkLive(unsigned aRouter);

  manual_timer_service mTimers;
  std::shared_ptr<fake_store> mStore = std::make_shared<fake_store>();
  fake_network mNetwork{ mTimers };

private:
  void ShareMembers();

  std::map<unsigned, std::unique_ptr<test_router>> mRouters;
  std::map<unsigned, member> mMembers;
  std::map<std::string, unsigned> mRuns;
  std::map<std::string, unsigned> mSent;
  unsigned mFalseNotRuns = 0;
};

} // namespace sapphirespar::ledger
