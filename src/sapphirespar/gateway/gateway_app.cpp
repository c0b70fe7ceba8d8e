// Wires the parts of a gateway, serves its pages, and ends it in order.
#include "sapphirespar/gateway/gateway_app.hpp"

#include "store_copy_codec.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/gateway/forward.hpp"
#include "sapphirespar/gateway/gateway_register.hpp"
#include "sapphirespar/gateway/gossip_link.hpp"
#include "sapphirespar/gateway/peer_board.hpp"
#include "sapphirespar/wire/asio_timer_service.hpp"
#include "sapphirespar/wire/platform_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view kCopyPath = "/v1/store-copy";
constexpr std::string_view kStatusPath = "/v1/status";
constexpr std::string_view kMetricsPath = "/metrics";

// Callers keep an answer for up to three times as long as they are told, and
// must have let go of a gateway before it ends.
constexpr milliseconds kEntryTtl{ 2000 };
constexpr int kEntryKeptFor = 3;

// Most addresses in one answer.
constexpr std::size_t kMostEntries = 64;

// Readiness ends this long before keys are no longer accepted.
constexpr milliseconds kReadinessMargin{ 500 };

// The process ends this long before it would be killed.
constexpr milliseconds kStopMargin{ 400 };
constexpr milliseconds kStopCheck{ 50 };

// How often the split of the engines is looked at.
constexpr milliseconds kSplitPeriod{ 200 };

constexpr milliseconds kStoreTimeout{ 1200 };
constexpr milliseconds kPeerTimeout{ 400 };

// For a datagram there and back between data centres, and a busy receiver.
constexpr milliseconds kAnswerTimeout{ 250 };
constexpr milliseconds kConnectTimeout{ 400 };

// Idle connections to upstreams whose announced limit is longer, or that
// announce none.
constexpr milliseconds kUpstreamIdle{ 4000 };

wire::endpoint
ToEndpoint(const address_port& aPlace)
{
  wire::endpoint place;
  place.mAddress = aPlace.mAddress;
  place.mPort = aPlace.mPort;
  return place;
}

// Numbers this process's life by the wall clock, so that a restart gets a
// higher number unless the clock has been set back; then others hear it once
// they have forgotten the earlier life.
process_id
MakeSelf(const vm_id& aVm)
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  return { aVm, static_cast<incarnation_number>(count) };
}

policy::fleet_retry_limits
RetryLimits(const gateway_settings& aSettings)
{
  return { aSettings.mRetryRatio,
           aSettings.mRetrySlack,
           aSettings.mRetryWindow };
}

wire::platform_client_settings
StoreSettings(const gateway_settings& aSettings)
{
  wire::platform_client_settings settings;
  settings.mPlatform = ToEndpoint(aSettings.mPlatform);
  settings.mTimeout = kStoreTimeout;
  return settings;
}

store_reader_settings
ReaderSettings(const gateway_settings& aSettings)
{
  store_reader_settings settings;
  // Three periods and some delay fit into the bound.
  constexpr double kPeriodsInBound = 3.3;
  settings.mPeriod = std::chrono::duration_cast<milliseconds>(
    aSettings.mChangeBound / kPeriodsInBound);
  settings.mOldestAnswer = settings.mPeriod * 5 / 3;
  settings.mOldestKnowledge = settings.mPeriod * 11 / 6;
  return settings;
}

wire::http_client_settings
UpstreamClientSettings()
{
  wire::http_client_settings settings;
  settings.mConnectTimeout = kConnectTimeout;
  settings.mIdleLimit = kUpstreamIdle;
  return settings;
}

wire::http_client_settings
PeerClientSettings()
{
  wire::http_client_settings settings;
  settings.mConnectTimeout = kPeerTimeout;
  return settings;
}

std::uint32_t
ToThousandths(double aNumber)
{
  constexpr double kThousand = 1000;
  return static_cast<std::uint32_t>(kThousand * std::max(aNumber, 0.0));
}

wire::http_response
TextResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain" } }, std::move(aBody) };
}

} // namespace

struct gateway_app::state
{
  state(boost::asio::io_context& aContext,
        gateway_settings aSettings,
        protocol aProtocol);

  using page = std::function<wire::http_response(const wire::http_request&)>;
  std::unique_ptr<wire::http_server> ServePages(const address_port& aPlace,
                                                page aPage);
  std::unique_ptr<wire::http_server> ServeCallers();

  forward_services ForwardServices();
  store_reader_hooks ReaderHooks();
  gossip_settings GossipSettings() const;
  gossip_hooks GossipHooks();

  wire::http_response EntryPage(const wire::http_request& aRequest);
  wire::http_response ReadinessPage(const wire::http_request& aRequest);
  wire::http_response AdminPage(const wire::http_request& aRequest);

  gossip_state OwnState() const;
  bool IsReady() const;
  bool IsLeaving() const { return mLeaveBegun.has_value(); }
  std::optional<milliseconds> TimeToStop() const;
  // The admin address of a gateway, or of any that has read the store.
  std::optional<wire::endpoint> AdminOf(const std::optional<vm_id>& aVm);
  void FetchCopy(const std::optional<vm_id>& aVm, copy_callback aDone);
  void StopWhenIdle();
  double CountEngines() const;
  void UpdateSplit();

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
  peer_board mPeers;
  policy::fleet_retry_budget mRetries;
  policy::reading_meter mReading;
  policy::engine_split mSplit;
  store_reader mReader;
  gateway_register mRegister;
  gossip_link mGossip;
  forward_services mForward;
  // Null only during construction.
  std::unique_ptr<wire::http_server> mCallers;
  std::unique_ptr<wire::http_server> mReadiness;
  std::unique_ptr<wire::http_server> mEntry;
  std::unique_ptr<wire::http_server> mAdmin;
  std::unique_ptr<wire::http_server> mMetricsServer;
  // Unset unless the process is leaving.
  std::optional<steady_time> mLeaveBegun;
  timer_subscription mSplitTimer;
  timer_subscription mStopTimer;
};

gateway_app::state::state(boost::asio::io_context& aContext,
                          gateway_settings aSettings,
                          protocol aProtocol)
  : mContext(aContext)
  , mSettings(std::move(aSettings))
  , mProtocol(std::move(aProtocol))
  , mSelf(MakeSelf(mSettings.mVm))
  , mTimers(aContext.get_executor())
  , mPlatform(aContext.get_executor(), StoreSettings(mSettings))
  , mUpstreamClient(aContext.get_executor(), UpstreamClientSettings())
  , mPeerClient(aContext.get_executor(), PeerClientSettings())
  , mPeers(mSettings.mVm, ToThousandths(mSettings.mProcessor))
  , mRetries(RetryLimits(mSettings))
  , mReader(mPlatform,
            mTimers,
            mProtocol,
            mRouting,
            mUpstreams,
            ReaderSettings(mSettings),
            ReaderHooks())
  , mRegister(mPlatform,
              mTimers,
              mPeers,
              { mSettings.mVm, mSettings.mGossip.mAddress })
  , mGossip(aContext, mTimers, mPeers, GossipSettings(), GossipHooks())
  , mForward(ForwardServices())
{
  const auto own = [this](auto aPage) {
    return [this, aPage](const wire::http_request& aRequest) {
      return (this->*aPage)(aRequest);
    };
  };
  mReadiness = ServePages(mSettings.mReadiness, own(&state::ReadinessPage));
  mEntry = ServePages(mSettings.mEntry, own(&state::EntryPage));
  mAdmin = ServePages(mSettings.mAdmin, own(&state::AdminPage));
  mMetricsServer = ServePages(mSettings.mMetrics, own(&state::AdminPage));
  mCallers = ServeCallers();
  mSplitTimer = mTimers.Every(kSplitPeriod, [this] { UpdateSplit(); });
  mReader.Start();
  mGossip.Start();
  mRegister.Start();
}

std::unique_ptr<wire::http_server>
gateway_app::state::ServePages(const address_port& aPlace, page aPage)
{
  wire::http_server_settings settings;
  settings.mAddress = aPlace.mAddress;
  settings.mPort = aPlace.mPort;
  const std::array workers{ &mContext };
  return std::make_unique<wire::http_server>(
    mContext,
    workers,
    std::move(settings),
    [page =
       std::move(aPage)](const wire::http_request& aRequest,
                         wire::http_reply& aReply) -> asio::awaitable<void> {
      auto response = page(aRequest);
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
      const auto& from = table->Config().mLimits;
      limits.mHeaderBytes = from.mHeaderBytes;
      limits.mBodyBytes = from.mBodyBytes;
      limits.mHeaderTimeout = from.mHeaderTimeout;
      limits.mIdleTimeout = from.mIdleTimeout;
    }
    return limits;
  };
  settings.mBadRequest = [this](unsigned aStatus, std::string_view aReason) {
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

forward_services
gateway_app::state::ForwardServices()
{
  return { .mProtocol = mProtocol,
           .mRouting = mRouting,
           .mUpstreams = mUpstreams,
           .mRetries = mRetries,
           .mReading = mReading,
           .mSplit = mSplit,
           .mClient = mUpstreamClient,
           .mMetrics = mMetrics,
           .mGateways = [this] { return mPeers.MostGateways(mTimers.Now()); },
           .mDraw =
             [this] {
               return std::uniform_real_distribution<double>(0, 1)(mRandom);
             },
           .mTimeToStop = [this] { return TimeToStop(); },
           .mDataCentre = mSettings.mDataCentre,
           .mKeyFreshness = mSettings.mKeyFreshness };
}

store_reader_hooks
gateway_app::state::ReaderHooks()
{
  store_reader_hooks hooks;
  hooks.mNow = BootNow;
  hooks.mReaders = [this] {
    auto reader = mPeers.Reader(mTimers.Now());
    return reader == mSettings.mVm ? std::vector<vm_id>{}
                                   : std::vector<vm_id>{ std::move(reader) };
  };
  hooks.mAsk = [this](const vm_id& aVm, summary_callback aDone) {
    const auto* peer = mPeers.Find(aVm);
    if (peer == nullptr) {
      boost::asio::post(mContext, [aDone] { aDone(std::nullopt); });
      return;
    }
    mGossip.Ask(peer->mAddress,
                kAnswerTimeout,
                [done = std::move(aDone)](const gossip_state* aAnswer) {
                  done(aAnswer ? aAnswer->mStore : std::nullopt);
                });
  };
  hooks.mFetch = [this](const std::optional<vm_id>& aVm, copy_callback aDone) {
    FetchCopy(aVm, std::move(aDone));
  };
  hooks.mChanged = [this] { mGossip.TellNow(); };
  return hooks;
}

gossip_settings
gateway_app::state::GossipSettings() const
{
  gossip_settings settings;
  settings.mListen = ToEndpoint(mSettings.mGossip);
  std::ranges::transform(mSettings.mSeeds,
                         std::back_inserter(settings.mSeeds),
                         &address_port::mAddress);
  return settings;
}

gossip_hooks
gateway_app::state::GossipHooks()
{
  gossip_hooks hooks;
  hooks.mSelf = [this] { return OwnState(); };
  hooks.mReceived = [this](const gossip_state& aState) {
    mUpstreams.SetOthers(mPeers.Loads(mTimers.Now()));
    if (aState.mStore) {
      mReader.Hear(*aState.mStore);
    }
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
  own.mStore = mReader.Summary();
  own.mLoads = mUpstreams.OwnLoads();
  const auto reading = mReading.Demand(mTimers.Now());
  own.mInteractiveReading = ToThousandths(reading.mInteractive.mReading);
  own.mProcessor = ToThousandths(mSettings.mProcessor);
  own.mBulkReading = ToThousandths(reading.mBulk.mReading);
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
gateway_app::state::ReadinessPage(const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  if (path != mProtocol.mReadinessPath) {
    return TextResponse(404, "no such page\n");
  }
  return IsReady() ? TextResponse(200, "ready\n")
                   : TextResponse(503, "not ready\n");
}

wire::http_response
gateway_app::state::EntryPage(const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  if (path != mProtocol.mEntryPath) {
    return TextResponse(404, "no such page\n");
  }
  auto points = mPeers.EntryPoints(mTimers.Now());
  std::ranges::shuffle(points, mRandom);
  if (IsReady()) {
    points.insert(points.begin(),
                  { mSettings.mCallers.mAddress, mSettings.mCallers.mPort });
  }
  if (points.size() > kMostEntries) {
    points.resize(kMostEntries);
  }
  mMetrics.Count("gateway_entry_answers_total");
  if (points.empty()) {
    return TextResponse(503, "no gateway takes requests\n");
  }
  const auto ttl = std::min(kEntryTtl, mSettings.mEntryTtl);
  return wire::JsonResponse(200, mProtocol.mEntryBody(points, ttl));
}

wire::http_response
gateway_app::state::AdminPage(const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  if (path == kMetricsPath) {
    mMetrics.Set(
      "log_lines_dropped", {}, static_cast<double>(DroppedLogLines()));
    mMetrics.Set(
      "gateway_upstreams", {}, static_cast<double>(mUpstreams.Size()));
    mMetrics.Set("gateway_gateways", {}, mPeers.MostGateways(mTimers.Now()));
    return TextResponse(200, mMetrics.Render());
  }
  if (path == kStatusPath) {
    const auto age = mRouting.Age(BootNow());
    const auto ageMs =
      age ? std::chrono::duration_cast<milliseconds>(*age).count() : -1;
    return wire::JsonResponse(
      200,
      "{\"ready\":" + std::string(IsReady() ? "true" : "false") +
        ",\"leaving\":" + (IsLeaving() ? "true" : "false") +
        ",\"routing_version\":" + std::to_string(mRouting.Version()) +
        ",\"routing_age_ms\":" + std::to_string(ageMs) +
        ",\"upstreams\":" + std::to_string(mUpstreams.Size()) +
        ",\"gateways\":" + std::to_string(mPeers.MostGateways(mTimers.Now())) +
        "}");
  }
  if (path == kCopyPath) {
    const auto copy = mReader.Copy();
    return copy ? wire::JsonResponse(200, EncodeStoreCopy(*copy))
                : TextResponse(503, "nothing read yet\n");
  }
  return TextResponse(404, "no such page\n");
}

std::optional<wire::endpoint>
gateway_app::state::AdminOf(const std::optional<vm_id>& aVm)
{
  wire::endpoint place;
  if (aVm) {
    const auto* peer = mPeers.Find(*aVm);
    if (peer == nullptr) {
      return std::nullopt;
    }
    place.mAddress = peer->mAddress;
    place.mPort = peer->mAdminPort;
    return place;
  }
  const auto points = mPeers.AdminPoints(mTimers.Now());
  if (points.empty()) {
    return std::nullopt;
  }
  const auto& point = points[mRandom() % points.size()];
  place.mAddress = point.mAddress;
  place.mPort = point.mPort;
  return place;
}

void
gateway_app::state::FetchCopy(const std::optional<vm_id>& aVm,
                              copy_callback aDone)
{
  auto place = AdminOf(aVm);
  if (!place) {
    boost::asio::post(mContext, [aDone] { aDone(std::nullopt); });
    return;
  }
  const auto fetch = [](wire::http_client& aClient,
                        wire::endpoint aPlace,
                        copy_callback aThen) -> asio::awaitable<void> {
    wire::http_request request;
    request.mTarget = kCopyPath;
    const auto answer = co_await aClient.Fetch(
      std::move(aPlace), std::move(request), kPeerTimeout);
    const bool read = answer && answer.value().mStatus == 200;
    aThen(read ? DecodeStoreCopy(answer.value().mBody) : std::nullopt);
  };
  boost::asio::co_spawn(mContext,
                        fetch(mPeerClient, std::move(*place), std::move(aDone)),
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

void
gateway_app::state::UpdateSplit()
{
  const auto now = mTimers.Now();
  auto demand = mUpstreams.SlotsHeld();
  demand += mPeers.Reading(now);
  demand += mReading.Demand(now);
  mSplit.Update(demand, CountEngines(), now);
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

// Ends once callers have let go of this gateway and nothing is in progress, or
// when time is up.
void
gateway_app::state::StopWhenIdle()
{
  const auto left = TimeToStop().value_or(milliseconds::zero());
  const auto known = std::min(kEntryTtl, mSettings.mEntryTtl) * kEntryKeptFor;
  const bool forgotten = mTimers.Now() - *mLeaveBegun >= known;
  const bool idle = mCallers->Busy() == 0;
  if ((forgotten && idle) || left <= milliseconds::zero()) {
    LogEvent(
      log_level::Info,
      "stopped",
      { { "in_progress", mCallers->Busy() }, { "left_ms", left.count() } });
    mContext.stop();
    return;
  }
  mStopTimer = mTimers.After(kStopCheck, [this] { StopWhenIdle(); });
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
           { { "in_progress", mState->mCallers->Busy() },
             { "drain_ms", mState->mSettings.mDrainTime.count() } });
  mState->mCallers->CloseAfterAnswers();
  mState->mGossip.TellNow();
  mState->StopWhenIdle();
}

} // namespace sapphirespar::gateway
