// The blackboard: the shared control state that all controllers read and write,
// on the control thread only. Traffic threads see only snapshots of it.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

enum class member_state
{
  // Listed, but no message has arrived from it yet.
  Joining,
  Live,
  // Has announced its shutdown; gets no new requests or callers.
  Leaving,
  // Has missed heartbeats, but may only be unreachable or paused.
  Suspect,
  Dead,
};

// Returns the state's name in logs, such as "live".
std::string_view ToText(member_state aState);

// One router as this router sees it.
struct member
{
  process_id mProcess;
  data_centre_id mDataCentre;
  std::string mAddress;
  std::uint16_t mPort = 0;
  std::uint16_t mPeerPort = 0;
  member_state mState = member_state::Joining;
  bundle_version mBundle;
  std::vector<pool_load> mPools;
  std::vector<account_demand> mDemands;
  steady_time mLastHeard{};
};

enum class upstream_state
{
  Healthy,
  // Answers more slowly than its peers and gets fewer requests.
  Slow,
  // Has failed; gets no requests until a probe succeeds.
  Ejected,
  Probing,
  // Gets no new requests.
  Leaving,
};

// Returns the state's name in logs, such as "healthy".
std::string_view ToText(upstream_state aState);

struct upstream_status
{
  upstream_id mId;
  upstream_state mState = upstream_state::Healthy;
  // Speed relative to the median of its peers; 1 is equally fast.
  double mRelativeSpeed = 1.0;
  // Last report from the engine itself.
  unsigned mReportedRunning = 0;
  unsigned mReportedQueued = 0;
  steady_time mReportedAt{};
  // Loaded models by the last report; nothing before the first report.
  std::optional<std::vector<model_id>> mLoaded;
};

struct blackboard
{
  // This router.
  process_id mSelf;
  data_centre_id mDataCentre;
  bool mLeaving = false;

  // The bundle in force; null before the first one arrives. Its version only
  // rises.
  bundle_ptr mBundle;

  // Whether the last call to the platform worked.
  bool mPlatformUp = false;
  steady_time mPlatformChangedAt{};

  // The latest era of the platform's store, told by its answers or by peers;
  // zero if none is known. It only rises.
  std::uint64_t mStoreEra = 0;
  // How often it has risen since this process learned of one.
  std::uint64_t mStoreRestores = 0;

  std::map<vm_id, member> mMembers;
  std::map<upstream_id, upstream_status> mUpstreams;
};

} // namespace sapphirespar
