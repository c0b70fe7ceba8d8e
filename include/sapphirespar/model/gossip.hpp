// What gateways tell each other several times a second.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
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

// The work that all gateways of a data centre have, summed by one of them.
struct zone_loads
{
  data_centre_id mDataCentre;
  // How long ago it was summed, rounded up.
  std::chrono::milliseconds mAge{ 0 };
  std::vector<gossip_load> mLoads;

  bool operator==(const zone_loads&) const = default;
};

// What a gateway has read of the platform's store, and how long ago the reads
// were sent, rounded up.
struct store_summary
{
  std::chrono::milliseconds mRoutingAge{ 0 };
  // Revision of the routing's object.
  std::uint64_t mRoutingRevision = 0;
  std::chrono::milliseconds mUpstreamsAge{ 0 };
  // The same for gateways that know the same upstreams.
  std::uint64_t mUpstreamsDigest = 0;

  bool operator==(const store_summary&) const = default;
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
  // Upstreams that the sender has work on.
  std::vector<gossip_load> mLoads;
  // Asks for the receiver's state in return.
  bool mWantsReply = false;
  // Sequence number with which the receiver asked; zero if it did not.
  std::uint64_t mReplyTo = 0;
  // Thousandths of an engine that the sender's prompts keep reading.
  std::uint32_t mInteractivePrefill = 0;
  std::uint32_t mBulkPrefill = 0;
  // Thousandths of a core that the sender may use.
  std::uint32_t mProcessor = 0;
  // Unset before anything has been read.
  std::optional<store_summary> mStore;
  // What a relay passes on; see gateway/gossip_plan.hpp.
  std::vector<zone_loads> mZones;

  bool operator==(const gossip_state&) const = default;
};

} // namespace sapphirespar
