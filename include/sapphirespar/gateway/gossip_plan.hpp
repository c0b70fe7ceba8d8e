// Schedules gossip: what is sent to which gateways and when.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/model/gossip.hpp"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// One state to send to several addresses.
struct outgoing_gossip
{
  std::vector<std::string> mTo;
  gossip_state mState;
};

// In a small fleet every gateway reports each change of its load to all others.
// In a large fleet it reports changes only within its data centre. Two relays
// per data centre exchange the summed loads with the relays of the other data
// centres and forward what they receive. Gateways of different data centres
// still send each other heartbeats directly.
class gossip_plan
{
public:
  // Returns this gateway's current state, without a sequence number.
  using self_hook = std::function<gossip_state()>;

  // The peer table must outlive the plan. aMinimumInterval is the minimum time
  // between two datagrams to the same gateway.
  gossip_plan(const peer_table& aPeers,
              std::chrono::milliseconds aMinimumInterval,
              self_hook aSelf);

  // Returns what is due at aNow. Call it once per minimum interval.
  std::vector<outgoing_gossip> DueMessages(steady_time aNow);

  // Returns messages to all gateways, whether due or not.
  std::vector<outgoing_gossip> MessagesToAll(steady_time aNow);

private:
  bool IsDue(steady_time aLast,
             std::chrono::milliseconds aInterval,
             steady_time aNow) const;
  outgoing_gossip ToLocal(gossip_state aSelf, steady_time aNow);
  outgoing_gossip ToRemote(gossip_state aSelf, steady_time aNow);
  outgoing_gossip ToRemoteRelays(gossip_state aSelf, steady_time aNow) const;

  const peer_table& mPeers;
  const std::chrono::milliseconds mMinimumInterval;
  const self_hook mSelf;
  std::vector<gossip_load> mLastLoads;
  steady_time mLastLocal{};
  steady_time mLastRemote{};
  steady_time mLastRemoteRelays{};
  steady_time mLastRemoteLoadsSent{};
};

} // namespace sapphirespar::gateway
