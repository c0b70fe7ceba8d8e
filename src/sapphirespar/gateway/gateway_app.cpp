// Makes the parts of a gateway, keeps their sums up to date, and shuts it down.
#include "gateway_app_state.hpp"

#include "forward_admission.hpp"
#include "part_settings.hpp"
#include "refusal_answer.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Callers cache an entry answer for up to so many times as long as it states.
constexpr int kEntryTtlFactor = 3;

// Readiness ends this long before keys are rejected.
constexpr milliseconds kReadinessMargin{ 500 };

// The process ends this long before the end of the drain time, when it would be
// killed.
constexpr milliseconds kStopMargin{ 400 };
constexpr milliseconds kStopCheckPeriod{ 50 };

// Time without a request, once no new connections are taken, after which the
// process ends: a caller that has just connected is about to send one.
constexpr milliseconds kQuietTime{ 250 };

// Interval between updates of the split of the engines.
constexpr milliseconds kSplitPeriod{ 200 };

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

} // namespace

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
  , mZoneExits(mSettings.mDataCentre, mMetrics)
  , mCrashGuard(mTimers, mMetrics, CrashGuardHooks())
  , mRateGuard(mTimers, mMetrics, mSettings.mVm, RateHooks())
  , mBrittleGuard(mTimers, BrittleHooks())
  , mStreams(mTimers, StreamHooks())
  , mArchive(mPlatform, mTimers, mStreams, { mSelf }, { [this] {
               return mPeers.MaximumGateways(mTimers.Now());
             } })
  , mSoftwareRecord(mPlatform,
                    mTimers,
                    { mSettings.mFirstStart },
                    SoftwareHooks())
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
  if (mSettings.mDuties) {
    mDuties.emplace(duty_parts{ mContext.get_executor(),
                                mPlatform,
                                mTimers,
                                mMetrics,
                                mProtocol,
                                mRouting,
                                mUpstreams,
                                mPeers,
                                mSplit,
                                mPrefill,
                                mGossip },
                    mSelf,
                    mSettings.mFirstStart,
                    *mSettings.mDuties);
    mDuties->Start();
  }
  mReadiness =
    ServePages(mSettings.mReadiness, bindPage(&state::ServeReadiness));
  mEntry = ServePages(mSettings.mEntry, bindPage(&state::ServeEntry));
  mAdmin = ServePages(mSettings.mAdmin, bindPage(&state::ServeAdmin));
  mMetricsServer = ServePages(mSettings.mMetrics, bindPage(&state::ServeAdmin));
  mCallers = ServeCallers();
  mSplitTimer = mTimers.Every(kSplitPeriod, [this] {
    UpdateSplit();
    UpdateZoneExits();
    LogModels();
  });
  mGossip.Start();
  mReader.Start();
  mRegistry.Start();
  mArchive.Start();
  mSoftwareRecord.Start();
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
  settings.mBodyMemory = mRequestMemory;
  settings.mMakeErrorResponse = [this](unsigned aStatus,
                                       std::string_view aReason) {
    LogEvent(log_level::Info,
             "request_unparsed",
             { { "status", aStatus },
               { "reason", aReason },
               { "bodies_bytes", mRequestMemory->Taken() } });
    mMetrics.Count("gateway_unparsed_total");
    constexpr unsigned kUnavailable = 503;
    return aStatus == kUnavailable
             ? ToResponse({ aStatus, "no_memory_for_body", kRetrySoon })
             : TextResponse(aStatus, std::string(aReason) + "\n");
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

bool
gateway_app::state::IsReady() const
{
  const auto age = mRouting.Age(BootNow());
  const bool fresh = age && *age + kReadinessMargin < mSettings.mKeyFreshness;
  return fresh && mUpstreams.Size() > 0 && !IsLeaving();
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

void
gateway_app::state::UpdateZoneExits()
{
  const auto& table = mRouting.Table();
  if (!mSettings.mOwnZoneFirst || !table) {
    return;
  }
  for (const auto& pool : table->Config().mPools) {
    if (pool.mEngine) {
      mZoneExits.Update(pool.mName,
                        mUpstreams,
                        mModels.Of(pool.mName).Figures(),
                        mTimers.Now());
    }
  }
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
// request is in progress, or when the drain time is over. Before that, it takes
// no new connections, and waits for the requests of those that it has taken.
void
gateway_app::state::StopWhenIdle()
{
  const auto now = mTimers.Now();
  const auto left = TimeToStop().value_or(milliseconds::zero());
  const auto cacheTime =
    std::min(kEntryTtl, mSettings.mEntryTtl) * kEntryTtlFactor;
  const bool uncached = now - *mLeaveBegun >= cacheTime;
  const auto inProgress = mCallers->RequestsInProgress();
  if (uncached && inProgress == 0 && !mQuietSince) {
    mCallers->Drain();
  }
  if (!uncached || inProgress > 0 || !mQuietSince) {
    mQuietSince = uncached ? std::optional(now) : std::nullopt;
  }
  const bool quiet = mQuietSince && now - *mQuietSince >= kQuietTime;
  if (quiet || left <= milliseconds::zero()) {
    LogEvent(log_level::Info,
             "stopped",
             { { "in_progress", inProgress }, { "left_ms", left.count() } });
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
  if (mState->mDuties && aSettings.mDuties) {
    mState->mDuties->Reload(*aSettings.mDuties);
  }
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
  if (mState->mDuties) {
    mState->mDuties->Release();
  }
  mState->mGossip.SendNow();
  mState->mStreams.HandOver();
  mState->StopWhenIdle();
}

} // namespace sapphirespar::gateway
