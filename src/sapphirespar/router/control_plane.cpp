// Connects the controllers to the blackboard, the platform and the peers.
#include "sapphirespar/router/control_plane.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/config/bundle_controller.hpp"
#include "sapphirespar/config/resilient_platform.hpp"
#include "sapphirespar/membership/membership_controller.hpp"
#include "sapphirespar/router/control_gauges.hpp"
#include "sapphirespar/router/trace_exporter.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"
#include "sapphirespar/wire/peer_link.hpp"
#include "sapphirespar/wire/platform_client.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <random>
#include <vector>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBrokerTickPeriod{ 50 };
constexpr std::chrono::seconds kMetricsPeriod{ 1 };

blackboard
MakeBoard(const router_settings& aSettings, process_id aSelf)
{
  blackboard board;
  board.mSelf = std::move(aSelf);
  board.mDataCentre = aSettings.mDataCentre;
  return board;
}

wire::platform_client_settings
PlatformClientSettings(const router_settings& aSettings,
                       const tls_contexts& aTls)
{
  wire::platform_client_settings settings;
  settings.mTls = aTls.mPlatform;
  settings.mPlatform.mAddress = aSettings.mPlatform.mAddress;
  settings.mPlatform.mPort = aSettings.mPlatform.mPort;
  return settings;
}

resilient_platform_settings
ResilientPlatformSettings(const router_settings& aSettings,
                          const process_id& aSelf)
{
  resilient_platform_settings settings;
  settings.mFleetReadsPerSecond = aSettings.mFleetReadsPerSecond;
  settings.mFleetWritesPerSecond = aSettings.mFleetWritesPerSecond;
  settings.mSeed = aSelf.mIncarnation;
  return settings;
}

wire::peer_mesh_settings
MeshSettings(const router_settings& aSettings,
             const process_id& aSelf,
             const tls_contexts& aTls)
{
  wire::peer_mesh_settings settings;
  settings.mServerTls = aTls.mPeerServer;
  settings.mClientTls = aTls.mPeerClient;
  settings.mSelf = aSelf;
  settings.mAddress = aSettings.mAddress;
  settings.mPort = aSettings.mPeerPort;
  return settings;
}

} // namespace

struct control_plane::state
{
  state(const router_settings& aSettings,
        process_id aSelf,
        policy::scheduler_ptr aScheduler,
        std::uint16_t aCallerPort,
        control_services aServices);

  void Start();

  // Publishes a new snapshot to traffic threads, and passes the current bundle,
  // upstreams and members to the broker.
  void Publish();
  void UpdateUpstreams();

  void OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);
  std::optional<wire::endpoint> PeerEndpoint(const vm_id& aVm) const;
  // aSource is "store" or "peer".
  void NoteStoreEra(store_era aEra, std::string_view aSource);

  resilient_platform_hooks PlatformHooks();
  upstream_control_services UpstreamServices();
  wire::peer_mesh_hooks MeshHooks();
  membership::membership_hooks MembershipHooks();
  slot_broker_hooks BrokerHooks();

  control_services mServices;
  router_settings mSettings;
  std::uint16_t mCallerPort;
  blackboard mBoard;
  wire::asio_timer_service mTimers;
  wire::platform_client mPlatformClient;
  resilient_platform mPlatform;
  upstream_control mUpstreams;
  wire::peer_mesh mMesh;
  ledger::at_most_once_guard mOnce;
  slot_broker mBroker;
  dispatcher mDispatcher;
  std::mt19937_64 mRandom{ std::random_device{}() };
  // Empty until Start.
  std::optional<membership::membership_controller> mMembership;
  std::optional<bundle_controller> mBundles;
  // Empty if the settings name no collector.
  std::optional<trace_exporter> mTraces;
  timer_subscription mTick;
  timer_subscription mMetricsTick;
};

control_plane::state::state(const router_settings& aSettings,
                            process_id aSelf,
                            policy::scheduler_ptr aScheduler,
                            std::uint16_t aCallerPort,
                            control_services aServices)
  : mServices(aServices)
  , mSettings(aSettings)
  , mCallerPort(aCallerPort)
  , mBoard(MakeBoard(aSettings, aSelf))
  , mTimers(aServices.mContext.get_executor())
  , mPlatformClient(aServices.mContext.get_executor(),
                    PlatformClientSettings(aSettings, aServices.mTls))
  , mPlatform(mPlatformClient,
              mTimers,
              ResilientPlatformSettings(aSettings, aSelf),
              PlatformHooks())
  , mUpstreams(UpstreamServices())
  , mMesh(aServices.mContext,
          MeshSettings(aSettings, aSelf, aServices.mTls),
          MeshHooks())
  , mOnce(mBoard, mPlatform, mMesh, mTimers)
  , mBroker(mBoard,
            mMesh,
            mTimers,
            std::move(aScheduler),
            slot_broker_settings{},
            BrokerHooks())
  , mDispatcher(aServices.mContext, mBroker)
{
  Publish();
}

resilient_platform_hooks
control_plane::state::PlatformHooks()
{
  resilient_platform_hooks hooks;
  hooks.mFleetSize = [this] {
    const auto alive =
      std::ranges::count_if(mBoard.mMembers, [](const auto& aItem) {
        return aItem.second.mState != member_state::Dead;
      });
    return static_cast<std::size_t>(alive);
  };
  hooks.mOnAvailabilityChange = [this](bool aUp) {
    mBoard.mPlatformUp = aUp;
    mBoard.mPlatformChangedAt = mTimers.Now();
  };
  hooks.mOnEra = [this](store_era aEra) { NoteStoreEra(aEra, "store"); };
  return hooks;
}

upstream_control_services
control_plane::state::UpstreamServices()
{
  return { mBoard,
           mPlatform,
           mTimers,
           mServices.mPauses,
           mServices.mContext.get_executor(),
           mServices.mTls.mUpstreams,
           [this] { Publish(); },
           [this] { UpdateUpstreams(); } };
}

wire::peer_mesh_hooks
control_plane::state::MeshHooks()
{
  wire::peer_mesh_hooks hooks;
  hooks.mLookUp = [this](const vm_id& aVm) { return PeerEndpoint(aVm); };
  hooks.mReceive = [this](const process_id& aFrom, peer_message aMessage) {
    OnPeerMessage(aFrom, aMessage);
  };
  hooks.mUnreachable = [this](const vm_id& aVm) {
    if (mMembership) {
      mMembership->OnUnreachable(aVm);
    }
  };
  return hooks;
}

membership::membership_hooks
control_plane::state::MembershipHooks()
{
  membership::membership_hooks hooks;
  hooks.mPools = [this] { return mBroker.Loads(); };
  hooks.mDemands = [this] { return mServices.mAccounts.Publish(); };
  hooks.mChanged = [this] {
    mUpstreams.OnMembers();
    Publish();
  };
  hooks.mPaused = [this](steady_duration) { mBundles->Refresh(); };
  return hooks;
}

void
control_plane::state::Start()
{
  membership::membership_settings membership;
  membership.mSelf.mProcess = mBoard.mSelf;
  membership.mSelf.mDataCentre = mBoard.mDataCentre;
  membership.mSelf.mAddress = mSettings.mAddress;
  membership.mSelf.mPort = mCallerPort;
  membership.mSelf.mPeerPort = mMesh.Port();
  mMembership.emplace(
    mBoard, mPlatform, mMesh, mTimers, membership, MembershipHooks());
  mUpstreams.Start();
  bundle_controller_settings bundles;
  bundles.mTrusted = mSettings.mSigners;
  bundles.mSeed = mBoard.mSelf.mIncarnation;
  mBundles.emplace(
    mPlatform, mMesh, mTimers, mBoard, bundles, [this](const bundle_ptr&) {
      mUpstreams.OnBundle();
      mServices.mAccounts.Configure(*mBoard.mBundle);
      Publish();
    });
  mBundles->Start();
  if (mSettings.mTraceCollector) {
    const trace_exporter_services services{ mServices.mContext.get_executor(),
                                            mTimers,
                                            mServices.mSpans,
                                            mServices.mMetrics };
    mTraces.emplace(
      *mSettings.mTraceCollector, mBoard.mSelf.mVm.mText, services);
  }
  mTick = mTimers.Every(kBrokerTickPeriod, [this] { mBroker.Tick(); });
  mMetricsTick = mTimers.Every(kMetricsPeriod, [this] {
    SetControlGauges(
      mServices.mMetrics, mBoard, mMesh.Traffic(), mBroker.Loads());
  });
}

void
control_plane::state::Publish()
{
  mServices.mSnapshots.Store(std::make_shared<traffic_snapshot>(mBoard));
  if (mBoard.mBundle) {
    mBroker.Configure(mBoard.mBundle);
  }
  UpdateUpstreams();
  mBroker.OnMembersChanged();
}

void
control_plane::state::UpdateUpstreams()
{
  if (mBoard.mBundle) {
    mBroker.SetUpstreams(mUpstreams.Views());
  }
}

void
control_plane::state::OnPeerMessage(const process_id& aFrom,
                                    const peer_message& aMessage)
{
  if (const auto* received = std::get_if<heartbeat>(&aMessage)) {
    if (mMembership) {
      mMembership->OnHeartbeat(*received);
      mServices.mAccounts.SetPeers(mBoard);
      mBundles->OnHeartbeat(*received);
      NoteStoreEra(received->mStoreEra, "peer");
    }
    return;
  }
  if (mBundles && mBundles->OnPeerMessage(aFrom, aMessage)) {
    return;
  }
  if (mBroker.OnPeerMessage(aFrom, aMessage)) {
    return;
  }
  mOnce.OnPeerMessage(aFrom, aMessage);
}

void
control_plane::state::NoteStoreEra(store_era aEra, std::string_view aSource)
{
  if (aEra <= mBoard.mStoreEra) {
    return;
  }
  const auto before = std::exchange(mBoard.mStoreEra, aEra);
  mOnce.NoteStoreEra(aEra);
  if (before == 0) {
    LogEvent(
      log_level::Info, "store_era", { { "era", aEra }, { "source", aSource } });
    return;
  }
  ++mBoard.mStoreRestores;
  LogEvent(log_level::Warning,
           "store_restored",
           { { "before", before }, { "era", aEra }, { "source", aSource } });
  if (mBundles) {
    mBundles->OnStoreRestored();
  }
}

std::optional<wire::endpoint>
control_plane::state::PeerEndpoint(const vm_id& aVm) const
{
  const auto found = mBoard.mMembers.find(aVm);
  if (found == mBoard.mMembers.end() || found->second.mPeerPort == 0) {
    return std::nullopt;
  }
  return wire::endpoint{ found->second.mAddress, found->second.mPeerPort };
}

slot_broker_hooks
control_plane::state::BrokerHooks()
{
  slot_broker_hooks hooks;
  hooks.mPause = [this](const policy::pause_order& aOrder) {
    mUpstreams.Pause(aOrder);
  };
  hooks.mRandom = [this] { return mRandom(); };
  return hooks;
}

control_plane::control_plane(const router_settings& aSettings,
                             process_id aSelf,
                             policy::scheduler_ptr aScheduler,
                             std::uint16_t aCallerPort,
                             control_services aServices)
  : mState(std::make_unique<state>(aSettings,
                                   std::move(aSelf),
                                   std::move(aScheduler),
                                   aCallerPort,
                                   aServices))
{
}

control_plane::~control_plane() = default;

std::uint16_t
control_plane::PeerPort() const
{
  return mState->mMesh.Port();
}

void
control_plane::Start()
{
  mState->Start();
}

void
control_plane::Leave()
{
  mState->mBoard.mLeaving = true;
  mState->mMembership->Leave();
  mState->Publish();
}

const blackboard&
control_plane::Board() const
{
  return mState->mBoard;
}

std::vector<pool_load>
control_plane::Loads() const
{
  return mState->mBroker.Loads();
}

dispatcher&
control_plane::Dispatcher()
{
  return mState->mDispatcher;
}

ledger::at_most_once_guard&
control_plane::AtMostOnce()
{
  return mState->mOnce;
}

upstream_control&
control_plane::Upstreams()
{
  return mState->mUpstreams;
}

} // namespace sapphirespar::router
