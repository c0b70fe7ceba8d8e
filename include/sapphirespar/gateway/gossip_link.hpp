// Sends gossip to the other gateways by datagram, as gossip_plan.hpp decides,
// and takes in theirs.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_board.hpp"
#include "sapphirespar/model/gossip.hpp"
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
  // Addresses that are tried for as long as nobody has been heard.
  std::vector<std::string> mSeeds;
  // Shortest time between two datagrams to the same gateway.
  std::chrono::milliseconds mShortestPause{ 100 };
};

// The state with which a gateway answered, or nothing.
using gossip_answer = std::function<void(const gossip_state*)>;

struct gossip_hooks
{
  // What this gateway says of itself now; the link numbers it.
  std::function<gossip_state()> mSelf;
  // Somebody's state has been taken over.
  std::function<void(const gossip_state&)> mReceived;
};

class gossip_link
{
public:
  // Throws boost::system::system_error if the address can't be bound, which a
  // program reports at its start. All references outlive the link.
  gossip_link(boost::asio::io_context& aContext,
              timer_service& aTimers,
              peer_board& aPeers,
              gossip_settings aSettings,
              gossip_hooks aHooks);
  ~gossip_link();
  gossip_link(const gossip_link&) = delete;
  gossip_link& operator=(const gossip_link&) = delete;

  void Start();

  // Tells everyone now, whatever the pause.
  void TellNow();

  // Asks a gateway for its state and calls aDone once: with the answer, or with
  // null when aTimeout has passed.
  void Ask(const std::string& aAddress,
           std::chrono::milliseconds aTimeout,
           gossip_answer aDone);

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
