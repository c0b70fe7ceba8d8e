// The state that gateways gossip to each other several times a second.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/crash_report.hpp"
#include "sapphirespar/model/upstream_pause.hpp"
#include "sapphirespar/model/upstream_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar {

// Thousandths of an amount; zero for a negative one.
inline std::uint32_t
ToThousandths(double aNumber)
{
  constexpr double kThousand = 1000;
  return static_cast<std::uint32_t>(kThousand * std::max(aNumber, 0.0));
}

// The sender's own load on one upstream; see policy/upstream_load.hpp.
struct gossip_load
{
  // Identifies one incarnation of the upstream; the same at all gateways.
  std::uint64_t mUpstream = 0;
  std::uint32_t mUrgentTokens = 0;
  std::uint32_t mOtherTokens = 0;
  std::uint32_t mMemoryTokens = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mInteractive = 0;

  bool operator==(const gossip_load&) const = default;
};

// The total load of all gateways of a data centre, summed by one of them.
struct data_centre_loads
{
  data_centre_id mDataCentre;
  // Time since the loads were summed, rounded up.
  std::chrono::milliseconds mAge{ 0 };
  std::vector<gossip_load> mLoads;

  bool operator==(const data_centre_loads&) const = default;
};

// Summary of what a gateway has read from the platform's store. Ages count from
// when the read was sent and are rounded up.
struct store_summary
{
  std::chrono::milliseconds mRoutingAge{ 0 };
  // The operator's version of the routing. Unlike the revision of its object,
  // it outlasts a restore of the store.
  std::uint64_t mRoutingVersion = 0;
  std::chrono::milliseconds mUpstreamsAge{ 0 };
  // Equal at gateways that have the same list of upstreams.
  std::uint64_t mUpstreamsDigest = 0;
  // The latest era of the store that the sender knows, see store_era.
  std::uint64_t mEra = 0;

  bool operator==(const store_summary&) const = default;
};

// What a gateway tells of the duties that one gateway does for the fleet.
struct duty_gossip
{
  // The sender's wall clock, in milliseconds since the start of 1970.
  std::int64_t mWallMs = 0;
  // The fencing token with which the sender holds the duties; zero if it does
  // not.
  std::uint64_t mToken = 0;
  // The latest window whose usage report is known to be fixed; zero if none is.
  std::int64_t mFixedWindow = 0;
  // Thousandths of an engine that the prefill of the prompts would keep busy
  // that the sender has lately refused for want of room.
  std::uint32_t mRefusedPrefill = 0;

  bool operator==(const duty_gossip&) const = default;
};

// How long an engine that is slower than others of its pool takes for a token,
// beside no other requests, as the sender has found lately.
struct engine_pace_report
{
  // Identifies the engine as in gossip_load.
  std::uint64_t mUpstream = 0;
  std::uint32_t mStepUs = 0;

  bool operator==(const engine_pace_report&) const = default;
};

// One gossip message.
struct gossip_state
{
  process_id mSender;
  std::uint64_t mSequence = 0;
  data_centre_id mDataCentre;
  std::string mAddress;
  std::uint16_t mCallerPort = 0;
  std::uint16_t mAdminPort = 0;
  // The sender accepts requests.
  bool mReady = false;
  // The sender is shutting down.
  bool mLeaving = false;
  // The sender reaches no upstream.
  bool mCutOff = false;
  // Upstreams on which the sender has requests.
  std::vector<gossip_load> mLoads;
  // Requests the receiver's state as a reply.
  bool mWantsReply = false;
  // Sequence number of the message that this one replies to; zero if this is
  // not a reply.
  std::uint64_t mReplyTo = 0;
  // Thousandths of an engine that the prefill of the sender's prompts keeps
  // busy.
  std::uint32_t mInteractivePrefill = 0;
  std::uint32_t mBulkPrefill = 0;
  // Thousandths of a core that the sender may use.
  std::uint32_t mProcessor = 0;
  // Unset before the first read.
  std::optional<store_summary> mStore;
  // Upstreams, identified as in mLoads, that have stated to the sender or to
  // others that they are shutting down.
  std::vector<std::uint64_t> mLeavingUpstreams;
  // Loads of data centres that a relay forwards; see gateway/gossip_plan.hpp.
  std::vector<data_centre_loads> mDataCentreLoads;
  crash_report mCrashReport;
  // The same of single requests, whose fingerprints take the place of parts.
  crash_report mRequestCrashReport;
  // What upstreams have told the sender of the rates they accept.
  std::vector<upstream_rate> mUpstreamRates;
  // Brittle upstreams that have turned away a request of the sender, and their
  // pools.
  brittle_report mBrittle;
  // Unset unless the sender's settings name duties.
  std::optional<duty_gossip> mDuties;
  // For gateways of the sender's data centre.
  std::vector<engine_pace_report> mEnginePaces;

  bool operator==(const gossip_state&) const = default;
};

} // namespace sapphirespar
