// Limits of each client account across all routers, without a coordinator:
// every router takes the part of the rate that matches its part of the demand,
// as all routers have published it.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

// What another router was last heard to publish.
struct peer_demand
{
  vm_id mVm;
  std::vector<account_demand> mDemands;
};

// Enough while every router sends its demand to every other each second.
inline constexpr steady_duration kFullMeshGossipDelay = std::chrono::seconds(3);

// Requests that may come at once, as time at the router's share of the rate.
inline constexpr steady_duration kBurstTime = std::chrono::seconds(1);

// Part of each rate that is spread evenly over all routers, so that the first
// request of an account at a router need not wait for gossip.
inline constexpr double kEvenPart = 0.2;

class account_limiter
{
public:
  // aGossipDelay is the longest time from the first router's publishing of a
  // change of demand until all routers have published and heard theirs. A
  // router's share falls at once and rises only when this has passed.
  explicit account_limiter(steady_duration aGossipDelay = kFullMeshGossipDelay);

  // Replaces the declared accounts; what is in progress stays counted.
  void Configure(const bundle& aBundle, steady_time aNow);

  // Replaces what the other live routers have published. A router that is only
  // suspected should stay in the list until it is known to be dead.
  void SetPeers(std::span<const peer_demand> aPeers, steady_time aNow);

  // Lets a request in, or refuses it with the time to come back.
  std::optional<refusal> Admit(const account_id& aAccount, steady_time aNow);

  // A request that was let in has ended.
  void Finish(const account_id& aAccount);

  // What this router publishes from now on: each account's requests per second
  // here, admitted or not, leaving out accounts without any.
  std::vector<account_demand> Publish(steady_time aNow);

  // The part of an account's rate that this router gives out now, in requests
  // per second; zero for an unknown account.
  double RateOf(const account_id& aAccount, steady_time aNow);

private:
  // A share of the rate that demand called for from some time on.
  struct share_target
  {
    steady_time mFrom{};
    double mShare = 0;
  };

  struct account_state
  {
    double mRate = 0;
    unsigned mConcurrency = 0;
    unsigned mInProgress = 0;
    // Requests that could be let in at once.
    double mTokens = 0;
    steady_time mFilledAt{};
    // Offered requests per second, fading.
    double mOffered = 0;
    steady_time mOfferedAt{};
    // What this router last published, and the others' sum.
    double mPublished = 0;
    double mOthers = 0;
    // Wanted shares of the last gossip delay in order of time, and the one
    // before them; never empty.
    std::vector<share_target> mTargets;
    // The least of them when last refilled: the part given out here.
    double mShare = 0;
  };

  double EvenShare() const;
  void Retarget(account_state& aState, steady_time aNow) const;
  double ShareAt(account_state& aState, steady_time aNow) const;
  void Refill(account_state& aState, steady_time aNow) const;

  const steady_duration mGossipDelay;
  std::unordered_map<account_id, account_state> mAccounts;
  // Routers that share the rates, this one included.
  std::size_t mRouters = 1;
};

} // namespace sapphirespar::policy
