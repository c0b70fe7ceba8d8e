// Connects the parts of a gateway, serves its pages, and shuts it down.
#include "sapphirespar/gateway/gateway_app.hpp"

#include "pages.hpp"
#include "part_settings.hpp"
#include "store_snapshot_codec.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/gateway/crash_guard.hpp"
#include "sapphirespar/gateway/forward.hpp"
#include "sapphirespar/gateway/gateway_registry.hpp"
#include "sapphirespar/gateway/gossip_link.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/gateway/rate_guard.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"
#include "sapphirespar/wire/platform_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kMetricsPath = "/metrics";
constexpr auto kNoPage = "no such page\n";

// Maximum lifetime that an entry answer states. Callers cache the answer for up
// to three times as long, and a gateway may end only after its address has left
// their caches.
constexpr milliseconds kEntryTtl{ 2000 };
constexpr int kEntryTtlFactor = 3;

// Readiness ends this long before keys are rejected.
constexpr milliseconds kReadinessMargin{ 500 };

// The process ends this long before the end of the drain time, when it would be
// killed.
constexpr milliseconds kStopMargin{ 400 };
constexpr milliseconds kStopCheckPeriod{ 50 };

// Interval between updates of the split of the engines.
constexpr milliseconds kSplitPeriod{ 200 };

// Time for a round trip between data centres with a busy receiver.
constexpr milliseconds kQueryTimeout{ 250 };

// Takes the incarnation number from the wall clock in microseconds, so that a
// restarted process gets a higher number. If the clock was set back, peers
// accept the lower number once the previous process is no longer live.
process_id
MakeProcessId(const vm_id& aVm)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return { aVm, static_cast<incarnation_number>(count) };
}

std::uint32_t
ToThousandths(double aNumber)
{
  constexpr double kThousand = 1000;
  return static_cast<std::uint32_t>(kThousand * std::max(aNumber, 0.0));
}

} // namespace

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
  std::optional<milliseconds> TimeToStop() const;
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
  crash_guard mCrashGuard;
  rate_guard mRateGuard;
  brittle_guard mBrittleGuard;
  stream_versions mStreams;
  reach_monitor mReach;
  store_reader mReader;
  gateway_registry mRegistry;
  gossip_link mGossip;
  forward_services mForward;
  // Null only during construction.
  std::unique_ptr<wire::http_server> mCallers;
  std::unique_ptr<wire::http_server> mReadiness;
  std::unique_ptr<wire::http_server> mEntry;
  std::unique_ptr<wire::http_server> mAdmin;
  std::unique_ptr<wire::http_server> mMetricsServer;
  // Unset unless the process is shutting down.
  std::optional<steady_time> mLeaveBegun;
  routing_packer mPacker;
  // A datagram has arrived since the loads of other gateways were added up.
  bool mLoadsStale = false;
  // The figures of each pool's engines that were logged last.
  std::map<std::string, engine_figures> mLoggedModels;
  timer_subscription mSplitTimer;
  timer_subscription mStopTimer;
};

gateway_app::state::state(boost::asio::io_context& aContext,
                          gateway_settings aSettings,
                          protocol aProtocol)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mProtocol(std::move(aProtocol))
  , mSelf(MakeProcessId(mSettings.mVm))
  , mTimers(aContext.get_executor())
  , mPlatform(aContext.get_executor(), StoreClientSettings())
  , mUpstreamClient(aContext.get_executor(), UpstreamClientSettings(mSettings))
  , mPeerClient(aContext.get_executor(), PeerClientSettings())
  , mPeers({ mSettings.mVm,
             mSettings.mDataCentre,
             ToThousandths(mSettings.mProcessor) })
  , mRetries(RetryLimits(mSettings))
  , mModels(mSettings.mEngines)
  , mCrashGuard(mTimers, mMetrics, CrashGuardHooks())
  , mRateGuard(mTimers, mMetrics, mSettings.mVm, RateHooks())
  , mBrittleGuard(mTimers, BrittleHooks())
  , mStreams(mTimers, StreamHooks())
  , mReach(mTimers, mMetrics, ReachHooks())
  , mReader(mPlatform,
            mTimers,
            mProtocol,
            mRouting,
            mUpstreams,
            ReaderSettings(mSettings, Draw()),
            ReaderHooks())
  , mRegistry(mPlatform,
              mTimers,
              mPeers,
              { mSettings.mVm, mSettings.mGossip.mAddress },
              RegistryHooks(),
              Draw())
  , mGossip(aContext, mTimers, mPeers, GossipSettings(mSettings), GossipHooks())
  , mForward(ForwardServices())
{
  const auto bindPage = [this](auto aPage) {
    return [this, aPage](const wire::http_target& aTarget) {
      return (this->*aPage)(aTarget);
    };
  };
  mReadiness =
    ServePages(mSettings.mReadiness, bindPage(&state::ServeReadiness));
  mEntry = ServePages(mSettings.mEntry, bindPage(&state::ServeEntry));
  mAdmin = ServePages(mSettings.mAdmin, bindPage(&state::ServeAdmin));
  mMetricsServer = ServePages(mSettings.mMetrics, bindPage(&state::ServeAdmin));
  mCallers = ServeCallers();
  mSplitTimer = mTimers.Every(kSplitPeriod, [this] {
    UpdateSplit();
    LogModels();
  });
  mGossip.Start();
  mReader.Start();
  mRegistry.Start();
}

std::unique_ptr<wire::http_server>
gateway_app::state::ServePages(const address_port& aAddress, page aPage)
{
  wire::http_server_settings settings;
  settings.mAddress = aAddress.mAddress;
  settings.mPort = aAddress.mPort;
  const std::array workers{ &mContext };
  return std::make_unique<wire::http_server>(
    mContext,
    workers,
    std::move(settings),
    [page =
       std::move(aPage)](const wire::http_request& aRequest,
                         wire::http_reply& aReply) -> asio::awaitable<void> {
      auto response = page(wire::SplitTarget(aRequest.mTarget));
      co_await aReply.Send(std::move(response));
    });
}

std::unique_ptr<wire::http_server>
gateway_app::state::ServeCallers()
{
  wire::http_server_settings settings;
  settings.mAddress = mSettings.mCallers.mAddress;
  settings.mPort = mSettings.mCallers.mPort;
  settings.mLimits = [this] {
    wire::http_limits limits;
    if (const auto& table = mRouting.Table()) {
      const auto& configured = table->Config().mLimits;
      limits.mHeaderBytes = configured.mHeaderBytes;
      limits.mBodyBytes = configured.mBodyBytes;
      limits.mHeaderTimeout = configured.mHeaderTimeout;
      limits.mIdleTimeout = configured.mIdleTimeout;
    }
    return limits;
  };
  settings.mMakeErrorResponse = [this](unsigned aStatus,
                                       std::string_view aReason) {
    LogEvent(log_level::Info,
             "request_unparsed",
             { { "status", aStatus }, { "reason", aReason } });
    mMetrics.Count("gateway_unparsed_total");
    return TextResponse(aStatus, std::string(aReason) + "\n");
  };
  const std::array workers{ &mContext };
  return std::make_unique<wire::http_server>(
    mContext,
    workers,
    std::move(settings),
    [this](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return ServeForward(mForward, aRequest, aReply);
    });
}

wire::platform_client_settings
gateway_app::state::StoreClientSettings()
{
  auto settings = StoreSettings(mSettings);
  settings.mOnCall = [this](std::string_view aMethod, std::string_view aKind) {
    mMetrics.Count("gateway_store_calls_total",
                   { { "method", aMethod }, { "kind", aKind } });
  };
  return settings;
}

forward_services
gateway_app::state::ForwardServices()
{
  return { .mProtocol = mProtocol,
           .mRouting = mRouting,
           .mUpstreams = mUpstreams,
           .mRetries = mRetries,
           .mPrefill = mPrefill,
           .mSplit = mSplit,
           .mModels = mModels,
           .mKinds = mKinds,
           .mCrashGuard = mCrashGuard,
           .mRateGuard = mRateGuard,
           .mBrittleGuard = mBrittleGuard,
           .mStreams = mStreams,
           .mReach = mReach,
           .mClient = mUpstreamClient,
           .mMetrics = mMetrics,
           .mRefreshLoads = [this] { RefreshLoads(); },
           .mGateways =
             [this] { return mPeers.MaximumGateways(mTimers.Now()); },
           .mHelpers = [this] { return mPeers.Helpers(mTimers.Now()); },
           .mDraw = [this] { return Draw(); },
           .mTimeToStop = [this] { return TimeToStop(); },
           .mDataCentre = mSettings.mDataCentre,
           .mKeyFreshness = mSettings.mKeyFreshness,
           .mEventLimitBytes = mSettings.mAnswers.mEventBytes,
           .mAnswerMemory =
             std::make_shared<answer_memory>(mSettings.mAnswers.mTotalBytes) };
}

store_reader_hooks
gateway_app::state::ReaderHooks()
{
  store_reader_hooks hooks;
  hooks.mNow = BootNow;
  hooks.mReaders = [this] {
    auto readers = mPeers.Readers(mTimers.Now());
    const auto self = std::ranges::find(readers, mSettings.mVm);
    readers.erase(self, readers.end());
    return readers;
  };
  hooks.mIsReader = [this] {
    const auto readers = mPeers.Readers(mTimers.Now());
    return std::ranges::find(readers, mSettings.mVm) != readers.end();
  };
  hooks.mQuerySummary = [this](const vm_id& aVm, summary_callback aDone) {
    const auto* peer = mPeers.Find(aVm);
    if (peer == nullptr) {
      boost::asio::post(mContext, [aDone] { aDone(std::nullopt); });
      return;
    }
    mGossip.Query(peer->mAddress,
                  kQueryTimeout,
                  [done = std::move(aDone)](const gossip_state* aAnswer) {
                    done(aAnswer ? aAnswer->mStore : std::nullopt);
                  });
  };
  hooks.mFetch = [this](const std::optional<vm_id>& aVm,
                        const known_versions& aKnown,
                        snapshot_callback aDone) {
    FetchSnapshot(aVm, aKnown, std::move(aDone));
  };
  hooks.mRestored = [this] {
    mMetrics.Count("gateway_store_restores_total");
    mRegistry.WriteAgain();
    mGossip.SendNow();
  };
  hooks.mChanged = [this] { mGossip.SendNow(); };
  return hooks;
}

gossip_hooks
gateway_app::state::GossipHooks()
{
  gossip_hooks hooks;
  hooks.mSelf = [this] { return OwnState(); };
  hooks.mReceived = [this](const gossip_state& aState) {
    mLoadsStale = true;
    mCrashGuard.Merge({ aState.mCrashReport, aState.mRequestCrashReport });
    mRateGuard.Merge(aState.mUpstreamRates);
    mBrittleGuard.Merge(aState.mUpstreamPauses);
    for (const auto key : aState.mLeavingUpstreams) {
      mUpstreams.NoteLeaving(key, "peer");
    }
    if (aState.mStore) {
      mReader.OnPeerSummary(*aState.mStore);
    }
  };
  hooks.mReceivedStreams = [this](const std::string& aFrom,
                                  const stream_message& aMessage) {
    mStreams.OnMessage(aFrom, aMessage);
  };
  return hooks;
}

crash_guard_hooks
gateway_app::state::CrashGuardHooks()
{
  crash_guard_hooks hooks;
  hooks.mMakesTrials = [this](const prompt_part& aPart) {
    return mPeers.IsOwnerOf(aPart.mId, mTimers.Now());
  };
  hooks.mTellPeers = [this] { mGossip.SendNow(); };
  return hooks;
}

rate_guard_hooks
gateway_app::state::RateHooks()
{
  rate_guard_hooks hooks;
  hooks.mGateways = [this] { return mPeers.PossibleGateways(mTimers.Now()); };
  hooks.mNameOf = [this](std::uint64_t aKey) {
    return mUpstreams.NameOf(aKey);
  };
  hooks.mTellPeers = [this] { mGossip.SendNow(); };
  return hooks;
}

brittle_hooks
gateway_app::state::BrittleHooks()
{
  brittle_hooks hooks;
  hooks.mFind = [this](std::uint64_t aKey) { return mUpstreams.Find(aKey); };
  hooks.mDraw = [this] { return Draw(); };
  hooks.mTellPeers = [this] { mGossip.SendNow(); };
  return hooks;
}

stream_versions_hooks
gateway_app::state::StreamHooks()
{
  stream_versions_hooks hooks;
  hooks.mKeepers = [this](std::uint64_t aStream, std::size_t aCount) {
    return mPeers.Keepers(aStream, aCount, mTimers.Now());
  };
  hooks.mSend = [this](const std::string& aAddress,
                       const stream_message& aMessage) {
    mGossip.SendStreams(aAddress, aMessage);
  };
  hooks.mListed = [this] {
    const auto summary = mReader.Summary();
    const bool fresh =
      summary && summary->mUpstreamsAge <= mSettings.mMaxPropagationDelay;
    return fresh ? ListedSoftware(mUpstreams) : std::vector<pool_software>{};
  };
  return hooks;
}

reach_hooks
gateway_app::state::ReachHooks()
{
  reach_hooks hooks;
  hooks.mConnect = MakeConnectHook(mContext.get_executor());
  hooks.mUpstreams = [this] {
    auto members = mUpstreams.Members();
    std::ranges::shuffle(members, mRandom);
    return members;
  };
  hooks.mChanged = [this] { mGossip.SendNow(); };
  return hooks;
}

registry_hooks
gateway_app::state::RegistryHooks()
{
  registry_hooks hooks;
  hooks.mFetchContacts = [this](std::function<void(bool)> aDone) {
    known_versions known;
    if (const auto summary = mReader.Summary()) {
      known = { summary->mRoutingVersion, summary->mUpstreamsDigest, true };
    }
    FetchSnapshot(mPeers.Readers(mTimers.Now()).front(),
                  known,
                  [done = std::move(aDone)](
                    const std::optional<store_snapshot>& aSnapshot) {
                    done(aSnapshot && !aSnapshot->mGateways.empty());
                  });
  };
  return hooks;
}

gossip_state
gateway_app::state::OwnState() const
{
  gossip_state own;
  own.mSender = mSelf;
  own.mDataCentre = mSettings.mDataCentre;
  own.mAddress = mSettings.mGossip.mAddress;
  own.mCallerPort = mSettings.mCallers.mPort;
  own.mAdminPort = mSettings.mAdmin.mPort;
  own.mReady = IsReady();
  own.mLeaving = IsLeaving();
  own.mCutOff = mReach.IsCutOff();
  own.mStore = mReader.Summary();
  own.mLoads = mUpstreams.OwnLoads();
  own.mLeavingUpstreams = mUpstreams.Leaving();
  auto crashes = mCrashGuard.Reports();
  own.mCrashReport = std::move(crashes.mParts);
  own.mRequestCrashReport = std::move(crashes.mRequests);
  own.mUpstreamRates = mRateGuard.Report();
  own.mUpstreamPauses = mBrittleGuard.Report();
  const auto prefill = mPrefill.Demand(mTimers.Now());
  own.mInteractivePrefill = ToThousandths(prefill.mInteractive.mPrefill);
  own.mProcessor = ToThousandths(mSettings.mProcessor);
  own.mBulkPrefill = ToThousandths(prefill.mBulk.mPrefill);
  return own;
}

bool
gateway_app::state::IsReady() const
{
  const auto age = mRouting.Age(BootNow());
  const bool fresh = age && *age + kReadinessMargin < mSettings.mKeyFreshness;
  return fresh && mUpstreams.Size() > 0 && !IsLeaving();
}

wire::http_response
gateway_app::state::ServeReadiness(const wire::http_target& aTarget)
{
  return aTarget.mPath == mProtocol.mReadinessPath ? ReadinessPage(IsReady())
                                                   : TextResponse(404, kNoPage);
}

wire::http_response
gateway_app::state::ServeEntry(const wire::http_target& aTarget)
{
  if (aTarget.mPath != mProtocol.mEntryPath) {
    return TextResponse(404, kNoPage);
  }
  mMetrics.Count("gateway_entry_answers_total");
  auto points = mPeers.EntryPoints(mTimers.Now());
  std::ranges::shuffle(points, mRandom);
  if (IsReady()) {
    points.insert(points.begin(),
                  { mSettings.mCallers.mAddress, mSettings.mCallers.mPort });
  }
  const auto ttl = std::min(kEntryTtl, mSettings.mEntryTtl);
  return EntryPage(mProtocol, std::move(points), ttl);
}

wire::http_response
gateway_app::state::ServeAdmin(const wire::http_target& aTarget)
{
  if (aTarget.mPath == kMetricsPath) {
    const auto status = Status();
    mMetrics.Set(
      "log_lines_dropped", {}, static_cast<double>(DroppedLogLines()));
    mMetrics.Set(
      "gateway_upstreams", {}, static_cast<double>(status.mUpstreams));
    mMetrics.Set("gateway_gateways", {}, status.mGateways);
    return TextResponse(200, mMetrics.Render());
  }
  if (aTarget.mPath == kStatusPath) {
    return StatusPage(Status());
  }
  if (aTarget.mPath == kStoreSnapshotPath) {
    const auto known = ParseKnownVersions(aTarget.mQuery);
    auto snapshot = mReader.Snapshot(known);
    const bool wanted = known.mWantsGateways || known.mRoutingVersion == 0;
    if (snapshot && wanted && mPeers.HasGatewayList()) {
      snapshot->mGateways = mPeers.Contacts();
      snapshot->mGateways.push_back(
        { mSettings.mVm, mSettings.mGossip.mAddress });
    }
    return snapshot
             ? wire::JsonResponse(200, EncodeStoreSnapshot(*snapshot, mPacker))
             : TextResponse(503, "nothing read yet\n");
  }
  return TextResponse(404, kNoPage);
}

gateway_status
gateway_app::state::Status() const
{
  gateway_status status;
  status.mReady = IsReady();
  status.mLeaving = IsLeaving();
  status.mRouting = mRouting.Version();
  if (const auto age = mRouting.Age(BootNow())) {
    status.mRoutingAge = std::chrono::duration_cast<milliseconds>(*age);
  }
  status.mUpstreams = mUpstreams.Size();
  status.mGateways = mPeers.MaximumGateways(mTimers.Now());
  return status;
}

std::optional<wire::endpoint>
gateway_app::state::AdminEndpoint(const std::optional<vm_id>& aVm)
{
  wire::endpoint endpoint;
  if (aVm) {
    const auto* peer = mPeers.Find(*aVm);
    if (peer == nullptr) {
      return std::nullopt;
    }
    endpoint.mAddress = peer->mAddress;
    endpoint.mPort = peer->mAdminPort;
    return endpoint;
  }
  const auto points = mPeers.AdminPoints(mTimers.Now());
  if (points.empty()) {
    return std::nullopt;
  }
  const auto& point = points[mRandom() % points.size()];
  endpoint.mAddress = point.mAddress;
  endpoint.mPort = point.mPort;
  return endpoint;
}

void
gateway_app::state::FetchSnapshot(const std::optional<vm_id>& aVm,
                                  const known_versions& aKnown,
                                  snapshot_callback aDone)
{
  auto endpoint = AdminEndpoint(aVm);
  if (!endpoint) {
    boost::asio::post(mContext, [aDone] { aDone(std::nullopt); });
    return;
  }
  const auto fetch = [](wire::http_client& aClient,
                        wire::endpoint aEndpoint,
                        std::string aTarget,
                        snapshot_callback aThen) -> asio::awaitable<void> {
    wire::http_request request;
    request.mTarget = std::move(aTarget);
    const auto answer = co_await aClient.Fetch(
      std::move(aEndpoint), std::move(request), kPeerTimeout);
    const bool read = answer && answer.value().mStatus == 200;
    aThen(read ? DecodeStoreSnapshot(answer.value().mBody) : std::nullopt);
  };
  auto addContacts =
    [this, done = std::move(aDone)](std::optional<store_snapshot> aSnapshot) {
      if (aSnapshot && !aSnapshot->mGateways.empty()) {
        mPeers.AddContacts(aSnapshot->mGateways, mTimers.Now());
      }
      done(std::move(aSnapshot));
    };
  boost::asio::co_spawn(mContext,
                        fetch(mPeerClient,
                              std::move(*endpoint),
                              SnapshotTarget(aKnown),
                              std::move(addContacts)),
                        boost::asio::detached);
}

double
gateway_app::state::CountEngines() const
{
  double count = 0;
  if (const auto& table = mRouting.Table()) {
    for (const auto& pool : table->Config().mPools) {
      const auto members = mUpstreams.Members(pool.mName).size();
      count += pool.mEngine ? static_cast<double>(members) : 0;
    }
  }
  return count;
}

// Adds up the loads of the other gateways. In a large fleet far more datagrams
// arrive than requests, so the sums are made when a request needs them instead
// of for each datagram.
void
gateway_app::state::RefreshLoads()
{
  if (mLoadsStale) {
    mLoadsStale = false;
    mUpstreams.SetPeerLoads(mPeers.Loads(mTimers.Now()));
  }
}

void
gateway_app::state::UpdateSplit()
{
  const auto now = mTimers.Now();
  // Also drops the loads of gateways that are no longer live.
  mLoadsStale = true;
  RefreshLoads();
  auto demand = mUpstreams.SlotDemand();
  demand += mPeers.PrefillDemand(now);
  demand += mPrefill.Demand(now);
  mSplit.Update(demand, CountEngines(), now);
}

// Logs the learned speed of the engines once it has changed noticeably.
void
gateway_app::state::LogModels()
{
  constexpr double kNoticeable = 0.15;
  const auto differs = [](double aOld, double aNew) {
    return std::abs(aNew - aOld) > kNoticeable * aOld;
  };
  for (const auto& [pool, model] : mModels.All()) {
    const auto& now = model.Figures();
    auto& last =
      mLoggedModels.try_emplace(pool, mSettings.mEngines).first->second;
    if (differs(last.mPrefillTokensPerMs, now.mPrefillTokensPerMs) ||
        differs(last.mFirstEventMs, now.mFirstEventMs) ||
        differs(last.mChunkTokens, now.mChunkTokens)) {
      last = now;
      LogEvent(log_level::Info,
               "engine_model",
               { { "pool", pool },
                 { "prefill_tokens_per_ms", now.mPrefillTokensPerMs },
                 { "first_event_ms", now.mFirstEventMs },
                 { "chunk_tokens", now.mChunkTokens },
                 { "step_ms", now.mStepMs } });
    }
  }
}

std::optional<milliseconds>
gateway_app::state::TimeToStop() const
{
  if (!mLeaveBegun) {
    return std::nullopt;
  }
  const auto end = *mLeaveBegun + mSettings.mDrainTime - kStopMargin;
  return std::chrono::duration_cast<milliseconds>(end - mTimers.Now());
}

// Stops the process once callers no longer cache this gateway's address and no
// request is in progress, or when the drain time is over.
void
gateway_app::state::StopWhenIdle()
{
  const auto left = TimeToStop().value_or(milliseconds::zero());
  const auto cacheTime =
    std::min(kEntryTtl, mSettings.mEntryTtl) * kEntryTtlFactor;
  const bool uncached = mTimers.Now() - *mLeaveBegun >= cacheTime;
  const bool idle = mCallers->RequestsInProgress() == 0;
  if ((uncached && idle) || left <= milliseconds::zero()) {
    LogEvent(log_level::Info,
             "stopped",
             { { "in_progress", mCallers->RequestsInProgress() },
               { "left_ms", left.count() } });
    mContext.stop();
    return;
  }
  mStopTimer = mTimers.After(kStopCheckPeriod, [this] { StopWhenIdle(); });
}

gateway_app::gateway_app(boost::asio::io_context& aContext,
                         gateway_settings aSettings,
                         protocol aProtocol)
  : mState(std::make_unique<state>(aContext,
                                   std::move(aSettings),
                                   std::move(aProtocol)))
{
}

gateway_app::~gateway_app() = default;

void
gateway_app::Reload(const gateway_settings& aSettings)
{
  auto& settings = mState->mSettings;
  settings.mKeyFreshness = aSettings.mKeyFreshness;
  settings.mDrainTime = aSettings.mDrainTime;
  settings.mEntryTtl = aSettings.mEntryTtl;
  settings.mRetryRatio = aSettings.mRetryRatio;
  settings.mRetrySlack = aSettings.mRetrySlack;
  settings.mRetryWindow = aSettings.mRetryWindow;
  settings.mSeeds = aSettings.mSeeds;
  mState->mGossip.SetSeeds(GossipSettings(settings).mSeeds);
  mState->mForward.mKeyFreshness = settings.mKeyFreshness;
  mState->mRetries.SetLimits(RetryLimits(settings));
}

void
gateway_app::Leave()
{
  if (mState->IsLeaving()) {
    return;
  }
  mState->mLeaveBegun = mState->mTimers.Now();
  LogEvent(log_level::Info,
           "leaving",
           { { "in_progress", mState->mCallers->RequestsInProgress() },
             { "drain_ms", mState->mSettings.mDrainTime.count() } });
  mState->mCallers->DisableKeepAlive();
  mState->mGossip.SendNow();
  mState->mStreams.HandOver();
  mState->StopWhenIdle();
}

} // namespace sapphirespar::gateway
