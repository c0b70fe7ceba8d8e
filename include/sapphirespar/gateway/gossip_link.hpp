// Exchanges gossip with the other gateways by UDP. gossip_plan.hpp decides when
// and to whom it is sent.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/stream_message.hpp"
#include "sapphirespar/model/usage_message.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

struct gossip_settings
{
  wire::endpoint mListen;
  // Addresses that gossip is sent to while no other gateway is live.
  std::vector<std::string> mSeeds;
  // Minimum time between two scheduled datagrams to the same gateway.
  std::chrono::milliseconds mMinimumInterval{ 100 };
};

// Receives the state that a gateway replied with, or null after a timeout.
using state_callback = std::function<void(const gossip_state*)>;

struct gossip_hooks
{
  // Returns this gateway's current state. The link sets its sequence number.
  std::function<gossip_state()> mSelf;
  // Called after another gateway's state has been stored in the peer table.
  std::function<void(const gossip_state&)> mReceived;
  // Called with the sender's address.
  std::function<void(const std::string& aFrom, const stream_message&)>
    mReceivedStreams;
  std::function<void(const usage_message&)> mReceivedUsage;
};

class gossip_link
{
public:
  // Throws boost::system::system_error if the address can't be bound. All
  // references must outlive the link.
  gossip_link(boost::asio::io_context& aContext,
              timer_service& aTimers,
              peer_table& aPeers,
              gossip_settings aSettings,
              gossip_hooks aHooks);
  ~gossip_link();
  gossip_link(const gossip_link&) = delete;
  gossip_link& operator=(const gossip_link&) = delete;

  void Start();

  // Replaces the seeds of the settings.
  void SetSeeds(std::vector<std::string> aSeeds);

  // Sends this gateway's state to all gateways at once, outside the schedule.
  void SendNow();

  // Requests a gateway's state and calls aDone once: with the reply, or with
  // null when aTimeout has passed.
  void Query(const std::string& aAddress,
             std::chrono::milliseconds aTimeout,
             state_callback aDone);

  void SendStreams(const std::string& aAddress, const stream_message& aMessage);

  void SendUsage(const std::string& aAddress, const usage_message& aMessage);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
