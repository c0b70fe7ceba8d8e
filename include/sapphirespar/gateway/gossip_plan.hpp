// Decides which gateways are told what and when. In a small fleet every gateway
// tells all others as soon as its work changes. In a large one it does so only
// within its data centre; two relays there sum up the work of all and exchange
// the sums with the relays of the other data centres, who pass them on. All
// gateways still hear of each other directly, but seldom.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_board.hpp"
#include "sapphirespar/model/gossip.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// One state for several addresses.
struct gossip_mail
{
  std::vector<std::string> mTo;
  gossip_state mState;
};

class gossip_plan
{
public:
  // What this gateway says of itself now, not numbered.
  using self_hook = std::function<gossip_state()>;

  // The board outlives the plan. aShortestPause is the least time between two
  // datagrams to the same gateway.
  gossip_plan(const peer_board& aPeers,
              std::chrono::milliseconds aShortestPause,
              self_hook aSelf);

  // What is due at aNow; meant to be called once in each shortest pause.
  std::vector<gossip_mail> Due(steady_time aNow);

  // Tells everyone, due or not.
  std::vector<gossip_mail> TellAll(steady_time aNow);

private:
  bool IsDue(steady_time aLast,
             std::chrono::milliseconds aPause,
             steady_time aNow) const;
  gossip_mail ToNear(gossip_state aSelf, steady_time aNow);
  gossip_mail ToFar(gossip_state aSelf, steady_time aNow);
  gossip_mail ToFarRelays(gossip_state aSelf, steady_time aNow) const;

  const peer_board& mPeers;
  const std::chrono::milliseconds mShortestPause;
  const self_hook mSelf;
  std::vector<gossip_load> mLastLoads;
  steady_time mLastNear{};
  steady_time mLastFar{};
  steady_time mLastFarRelays{};
  steady_time mLastPassedOn{};
};

} // namespace sapphirespar::gateway
