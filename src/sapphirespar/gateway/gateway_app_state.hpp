// The parts of a gateway and what connects them. Internal to gateway.
#pragma once

#include "fleet_duties.hpp"
#include "pages.hpp"
#include "store_snapshot_codec.hpp"
#include "zone_exits.hpp"

#include "sapphirespar/gateway/crash_guard.hpp"
#include "sapphirespar/gateway/forward.hpp"
#include "sapphirespar/gateway/gateway_app.hpp"
#include "sapphirespar/gateway/gateway_registry.hpp"
#include "sapphirespar/gateway/gossip_link.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/gateway/rate_guard.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"
#include "sapphirespar/wire/platform_client.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace sapphirespar::gateway {

// Maximum lifetime that an entry answer states. Callers cache the answer for up
// to three times as long, and a gateway may end only after its address has left
// their caches.
inline constexpr std::chrono::milliseconds kEntryTtl{ 2000 };

struct gateway_app::state
{
  state(boost::asio::io_context& aContext,
        gateway_settings aSettings,
        protocol aProtocol);

  // Makes the response to a request target.
  using page = std::function<wire::http_response(const wire::http_target&)>;
  std::unique_ptr<wire::http_server> ServePages(const address_port& aAddress,
                                                page aPage);
  std::unique_ptr<wire::http_server> ServeCallers();

  wire::platform_client_settings StoreClientSettings();
  forward_services ForwardServices();
  store_reader_hooks ReaderHooks();
  gossip_hooks GossipHooks();
  crash_guard_hooks CrashGuardHooks();
  rate_guard_hooks RateHooks();
  brittle_hooks BrittleHooks();
  stream_versions_hooks StreamHooks();
  software_record_hooks SoftwareHooks();
  reach_hooks ReachHooks();
  registry_hooks RegistryHooks();

  wire::http_response ServeEntry(const wire::http_target& aTarget);
  wire::http_response ServeReadiness(const wire::http_target& aTarget);
  wire::http_response ServeAdmin(const wire::http_target& aTarget);
  gateway_status Status() const;

  gossip_state OwnState() const;
  // Returns a random number from 0 to 1.
  double Draw()
  {
    return std::uniform_real_distribution<double>(0, 1)(mRandom);
  }

  bool IsReady() const;
  bool IsLeaving() const { return mLeaveBegun.has_value(); }
  std::optional<std::chrono::milliseconds> TimeToStop() const;
  // The admin endpoint of a gateway; without a name, of a random gateway that
  // has read the store. Nothing if there is none.
  std::optional<wire::endpoint> AdminEndpoint(const std::optional<vm_id>& aVm);
  void FetchSnapshot(const std::optional<vm_id>& aVm,
                     const known_versions& aKnown,
                     snapshot_callback aDone);
  void StopWhenIdle();
  double CountEngines() const;
  void RefreshLoads();
  void UpdateSplit();
  void UpdateZoneExits();
  void LogModels();

  boost::asio::io_context& mContext;
  gateway_settings mSettings;
  const protocol mProtocol;
  const process_id mSelf;
  std::mt19937_64 mRandom{ std::random_device{}() };
  wire::asio_timer_service mTimers;
  metrics mMetrics;
  wire::platform_client mPlatform;
  wire::http_client mUpstreamClient;
  wire::http_client mPeerClient;
  routing_state mRouting;
  upstream_directory mUpstreams;
  peer_table mPeers;
  policy::fleet_retry_budget mRetries;
  policy::prefill_meter mPrefill;
  policy::engine_split mSplit;
  policy::engine_models mModels;
  policy::prompt_kinds mKinds;
  zone_exits mZoneExits;
  crash_guard mCrashGuard;
  rate_guard mRateGuard;
  brittle_guard mBrittleGuard;
  stream_versions mStreams;
  stream_archive mArchive;
  software_record mSoftwareRecord;
  reach_monitor mReach;
  store_reader mReader;
  gateway_registry mRegistry;
  gossip_link mGossip;
  // Unset if the settings name no duties.
  std::optional<fleet_duties> mDuties;
  forward_services mForward;
  const memory_budget_ptr mRequestMemory =
    std::make_shared<memory_budget>(mSettings.mRequestBytes);
  // Null only during construction.
  std::unique_ptr<wire::http_server> mCallers;
  std::unique_ptr<wire::http_server> mReadiness;
  std::unique_ptr<wire::http_server> mEntry;
  std::unique_ptr<wire::http_server> mAdmin;
  std::unique_ptr<wire::http_server> mMetricsServer;
  // Unset unless the process is shutting down.
  std::optional<steady_time> mLeaveBegun;
  // At the end of the shutdown, when no new connections are taken: since when
  // no request has been in progress.
  std::optional<steady_time> mQuietSince;
  routing_packer mPacker;
  // A datagram has arrived since the loads of other gateways were added up.
  bool mLoadsStale = false;
  // The figures of each pool's engines that were logged last.
  std::map<std::string, engine_figures> mLoggedModels;
  timer_subscription mSplitTimer;
  timer_subscription mStopTimer;
};

} // namespace sapphirespar::gateway
