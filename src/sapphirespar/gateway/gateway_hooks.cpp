// Hooks by which the parts of a gateway use each other.
#include "gateway_app_state.hpp"

#include "part_settings.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// Time for a round trip between data centres with a busy receiver.
constexpr milliseconds kQueryTimeout{ 250 };

} // namespace

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
  return {
    .mProtocol = mProtocol,
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
    .mGateways = [this] { return mPeers.MaximumGateways(mTimers.Now()); },
    .mHelpers = [this] { return mPeers.Helpers(mTimers.Now()); },
    .mDraw = [this] { return Draw(); },
    .mTimeToStop = [this] { return TimeToStop(); },
    .mDataCentre = mSettings.mDataCentre,
    .mKeyFreshness = mSettings.mKeyFreshness,
    .mEventLimitBytes = mSettings.mAnswers.mEventBytes,
    .mAnswerMemory =
      std::make_shared<memory_budget>(mSettings.mAnswers.mTotalBytes),
    .mFindArchived =
      [this](std::uint64_t aStream, stream_archive::versions_callback aDone) {
        mArchive.Find(aStream, std::move(aDone));
      },
    .mFindOnlyVersion =
      [this](std::uint64_t aPool, software_record::version_callback aDone) {
        mSoftwareRecord.FindOnly(aPool, std::move(aDone));
      },
    .mMayBeginStream =
      [this](const pool_software& aVersion) {
        return mSoftwareRecord.MayBegin(aVersion);
      },
    .mZoneExit =
      [this](const std::string& aPool) { return mZoneExits.Find(aPool); },
    .mCountUsage =
      [this](const account_id& aAccount, steady_time aBegan) {
        if (mDuties) {
          mDuties->CountUsage(aAccount, aBegan);
        }
      },
  };
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
    mBrittleGuard.Merge(aState.mBrittle);
    for (const auto key : aState.mLeavingUpstreams) {
      mUpstreams.NoteLeaving(key, "peer");
    }
    if (aState.mStore) {
      mReader.OnPeerSummary(*aState.mStore);
    }
    mUpstreams.NotePaces(aState.mEnginePaces);
    if (mDuties) {
      mDuties->OnGossip(aState);
    }
  };
  hooks.mReceivedStreams = [this](const std::string& aFrom,
                                  const stream_message& aMessage) {
    mStreams.OnMessage(aFrom, aMessage);
  };
  hooks.mReceivedUsage = [this](const usage_message& aMessage) {
    if (mDuties) {
      mDuties->OnUsage(aMessage);
    }
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
  hooks.mGateways = [this] {
    // Those that have been lost for seconds send nothing any more; half of
    // them may be cut off from this gateway only.
    const auto now = mTimers.Now();
    const auto live = static_cast<unsigned>(mPeers.LiveGateways(now).size());
    return std::max(live + 1, mPeers.MaximumGateways(now) / 2);
  };
  hooks.mLoadPeriod = [this] {
    return mPeers.LoadDelay(GossipSettings(mSettings).mMinimumInterval);
  };
  return hooks;
}

software_record_hooks
gateway_app::state::SoftwareHooks()
{
  software_record_hooks hooks;
  hooks.mListed = StreamHooks().mListed;
  hooks.mSeen = [this] { return mStreams.SeenLately(); };
  hooks.mSeenAll = [this] { return mStreams.HasSeenAll(); };
  hooks.mEra = [this] {
    const auto summary = mReader.Summary();
    return summary ? summary->mEra : store_era{ 0 };
  };
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
  hooks.mLongestLifetime = [this] {
    milliseconds longest{ 0 };
    if (const auto& table = mRouting.Table()) {
      for (const auto& route : table->Config().mRoutes) {
        longest =
          std::max(longest, route.mResumable ? route.mTimeout : longest);
      }
    }
    return longest + kTakeUpMargin;
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
  own.mBrittle = mBrittleGuard.Report();
  if (mDuties) {
    own.mDuties = mDuties->Gossip();
  }
  own.mEnginePaces = mUpstreams.SlowEngines([this](const std::string& aPool) {
    const auto model = mModels.All().find(aPool);
    return model == mModels.All().end() ? mSettings.mEngines
                                        : model->second.Figures();
  });
  const auto prefill = mPrefill.Demand(mTimers.Now());
  own.mInteractivePrefill = ToThousandths(prefill.mInteractive.mPrefill);
  own.mProcessor = ToThousandths(mSettings.mProcessor);
  own.mBulkPrefill = ToThousandths(prefill.mBulk.mPrefill);
  return own;
}

} // namespace sapphirespar::gateway
