// Rate limits of client accounts across all routers, without a coordinator.
// Each router takes a share of an account's rate in proportion to its share of
// the demand that all routers have published.
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

// The demand that another router published last.
struct peer_demand
{
  vm_id mVm;
  std::vector<account_demand> mDemands;
};

// Sufficient when every router sends its demand to every other router once a
// second.
inline constexpr steady_duration kFullMeshGossipDelay = std::chrono::seconds(3);

// Burst size: an account may send at once what it could send in this time at
// the router's share of the rate.
inline constexpr steady_duration kBurstTime = std::chrono::seconds(1);

// Fraction of each rate that is spread evenly over all routers, so that the
// first request of an account at a router need not wait for gossip.
inline constexpr double kEvenFraction = 0.2;

class account_limiter
{
public:
  // aGossipDelay is the longest time from when the first router publishes a
  // change of demand until all routers have published and received the change.
  // A router's share falls at once, but rises only after this delay.
  explicit account_limiter(steady_duration aGossipDelay = kFullMeshGossipDelay);

  // Replaces the declared accounts. Requests in progress stay counted.
  void Configure(const bundle& aBundle, steady_time aNow);

  // Replaces the demands that the other live routers have published. A suspect
  // router should stay in the list until it is known to be dead.
  void SetPeers(std::span<const peer_demand> aPeers, steady_time aNow);

  // Returns nothing if the request is admitted, else a refusal with the time
  // after which to retry; zero for an unknown account.
  std::optional<refusal> Admit(const account_id& aAccount, steady_time aNow);

  // Must be called when an admitted request has ended.
  void Finish(const account_id& aAccount);

  // Returns the demand to publish from now on: the requests per second that
  // each account sends to this router, admitted or not. Accounts without
  // requests are left out.
  std::vector<account_demand> Publish(steady_time aNow);

  // Returns this router's current part of an account's rate, in requests per
  // second; zero for an unknown account.
  double RateOf(const account_id& aAccount, steady_time aNow);

private:
  // The share of the rate that matched the demand from mFrom on.
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
    // Tokens in the bucket: requests that could be admitted at once.
    double mTokens = 0;
    steady_time mRefilledAt{};
    // Requests per second offered here; an exponentially decaying average.
    double mOffered = 0;
    steady_time mOfferedAt{};
    // Demand that this router last published, and the sum of the demands that
    // the other routers last published.
    double mPublished = 0;
    double mPeerDemand = 0;
    // Targets set within the last gossip delay, in order of time, and the one
    // in force when it began. Never empty.
    std::vector<share_target> mTargets;
    // The share applied here: the smallest target at the last refill.
    double mShare = 0;
  };

  double EvenShare() const;
  void UpdateTarget(account_state& aState, steady_time aNow) const;
  double ShareAt(account_state& aState, steady_time aNow) const;
  void Refill(account_state& aState, steady_time aNow) const;

  const steady_duration mGossipDelay;
  std::unordered_map<account_id, account_state> mAccounts;
  // Number of routers that share the rates, including this one.
  std::size_t mRouters = 1;
};

} // namespace sapphirespar::policy
