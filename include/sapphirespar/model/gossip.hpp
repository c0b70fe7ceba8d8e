// What gateways tell each other several times a second.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/routing.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirespar {

// The sender's own work on one upstream; see policy/upstream_load.hpp.
struct gossip_load
{
  // Names the upstream in one of its lives to all gateways alike.
  std::uint64_t mUpstream = 0;
  std::uint32_t mUrgentTokens = 0;
  std::uint32_t mOtherTokens = 0;
  std::uint32_t mMemoryTokens = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mInteractive = 0;

  bool operator==(const gossip_load&) const = default;
};

struct gossip_state
{
  process_id mSender;
  std::uint64_t mSequence = 0;
  data_centre_id mDataCentre;
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mAdminPort = 0;
  // Takes requests now.
  bool mReady = false;
  // Is shutting down.
  bool mLeaving = false;
  routing_version mRouting = 0;
  // Upstreams that the sender has work on.
  std::vector<gossip_load> mLoads;
  // Asks for the receiver's state in return.
  bool mAsks = false;

  bool operator==(const gossip_state&) const = default;
};

} // namespace sapphirespar
