// Rounds of queries and reads, and the fallbacks when a reader or the store
// does not answer.
#include "sapphirespar/gateway/store_reader.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <string>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

std::int64_t
Milliseconds(boot_clock::duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string_view
ToText(list_completeness aCompleteness)
{
  switch (aCompleteness) {
    case list_completeness::Complete:
      return "complete";
    case list_completeness::PossiblyPartial:
      return "partial";
    case list_completeness::Restored:
      return "restored";
    case list_completeness::RestoredComplete:
      break;
  }
  return "restored_complete";
}

std::string
JoinNames(std::span<const upstream_id> aIds)
{
  std::string names;
  for (const auto& id : aIds) {
    names += names.empty() ? "" : ",";
    names += id.mText;
  }
  return names;
}

} // namespace

struct store_reader::state : std::enable_shared_from_this<state>
{
  state(platform_api& aPlatform,
        timer_service& aTimers,
        const protocol& aProtocol,
        routing_state& aRouting,
        upstream_directory& aUpstreams,
        store_reader_settings aSettings,
        store_reader_hooks aHooks)
    : mPlatform(aPlatform)
    , mTimers(aTimers)
    , mProtocol(aProtocol)
    , mRouting(aRouting)
    , mUpstreams(aUpstreams)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
    , mRestores(aSettings.mRestores)
  {
  }

  // Wraps a callback so that it does nothing after the reader is destroyed.
  template<class Callback>
  auto IfAlive(Callback aCallback)
  {
    return [weak = weak_from_this(), aCallback](auto aAnswer) {
      if (const auto self = weak.lock()) {
        aCallback(std::move(aAnswer));
      }
    };
  }

  void BeginRound()
  {
    mRoundTimer = {};
    mRoundBegun = mHooks.mNow();
    mInRound = true;
    mReaders = mHooks.mReaders();
    std::ranges::reverse(mReaders);
    mQueriedAny = false;
    QueryNextReader();
  }

  void EndRound(bool aSucceeded)
  {
    RecordOwnRead(aSucceeded);
    steady_duration delay{};
    if (aSucceeded) {
      const auto passed = mHooks.mNow() - mRoundBegun;
      delay = std::max<steady_duration>(mSettings.mPeriod - passed,
                                        milliseconds::zero());
    } else {
      delay = mHooks.mReaders().empty() ? mSettings.mReaderRetry
                                        : mSettings.mOtherRetry;
    }
    EndRoundAfter(delay);
  }

  // Queries the next reader of this round. If none is left, schedules another
  // round, fetches a first snapshot, or reads the store.
  void QueryNextReader()
  {
    if (mReaders.empty()) {
      if (mQueriedAny && IsRecent() && !mHooks.mIsReader()) {
        mRoundTimer =
          mTimers.After(mSettings.mQueryRetry, [this] { BeginRound(); });
        mInRound = false;
        return;
      }
      if (!HasBoth() && !mQueriedAny) {
        FetchFirst();
      } else {
        ReadStoreOrWait();
      }
      return;
    }
    mQueriedAny = true;
    const auto reader = mReaders.back();
    mReaders.pop_back();
    const auto sent = mHooks.mNow();
    mHooks.mQuerySummary(
      reader,
      IfAlive([this, sent, reader](std::optional<store_summary> aSummary) {
        OnSummary(aSummary, sent, reader);
      }));
  }

  // Reads the store, or ends the round without a read if other gateways are to
  // read it.
  void ReadStoreOrWait()
  {
    const auto now = mHooks.mNow();
    if (!HasBoth() && now < mStartedAt + mSettings.mFirstReadPatience) {
      EndRoundAfter(mSettings.mFirstReadRetry);
    } else if (HasBoth() && !mHooks.mIsReader() && now < mNextOwnRead) {
      EndRoundAfter(mSettings.mOtherRetry);
    } else {
      ReadStore();
    }
  }

  void EndRoundAfter(steady_duration aDelay)
  {
    mInRound = false;
    mRoundTimer = mTimers.After(aDelay, [this] { BeginRound(); });
  }

  // Spaces out the reads of a gateway that is no reader while they fail.
  void RecordOwnRead(bool aSucceeded)
  {
    if (aSucceeded) {
      mOwnReadDelay = mSettings.mOtherRetry;
      mNextOwnRead = {};
      return;
    }
    mNextOwnRead = mHooks.mNow() + mOwnReadDelay;
    mOwnReadDelay =
      std::min<steady_duration>(2 * mOwnReadDelay, mSettings.mMaximumOtherRead);
  }

  void OnSummary(const std::optional<store_summary>& aSummary,
                 boot_time aSent,
                 const vm_id& aReader)
  {
    const bool recent = aSummary &&
                        aSummary->mRoutingAge <= mSettings.mMaximumAnswerAge &&
                        aSummary->mUpstreamsAge <= mSettings.mMaximumAnswerAge;
    if (!recent) {
      QueryNextReader();
      return;
    }
    if (IsKnown(*aSummary)) {
      mRouting.Confirm(aSent - aSummary->mRoutingAge);
      mUpstreamsRead =
        std::max(*mUpstreamsRead, aSent - aSummary->mUpstreamsAge);
      TrackAvailability(true, "peer");
      EndRound(true);
      return;
    }
    const auto requestedAt = mHooks.mNow();
    mHooks.mFetch(
      aReader,
      KnownVersions(),
      IfAlive([this, requestedAt](std::optional<store_snapshot> aSnapshot) {
        if (!aSnapshot) {
          QueryNextReader();
          return;
        }
        ApplySnapshot(std::move(*aSnapshot), requestedAt);
        TrackAvailability(true, "peer");
        EndRound(true);
      }));
  }

  // Whether the local data are recent enough to wait for the readers.
  bool IsRecent() const
  {
    return HasBoth() && RoutingAge() < mSettings.mMaximumAge &&
           UpstreamsAge() < mSettings.mMaximumAge;
  }

  bool IsKnown(const store_summary& aSummary) const
  {
    return mUpstreamsRead && mRouting.Version() == aSummary.mRoutingVersion &&
           mUpstreams.Digest() == aSummary.mUpstreamsDigest;
  }

  void OnPeerSummary(const store_summary& aSummary)
  {
    NoteEra(aSummary.mEra, "peer");
    const bool isNew =
      aSummary.mRoutingVersion > mRouting.Version() ||
      (aSummary.mUpstreamsDigest != mUpstreams.Digest() &&
       (!mUpstreamsRead ||
        mHooks.mNow() - aSummary.mUpstreamsAge > *mUpstreamsRead));
    if (isNew && !mInRound) {
      BeginRound();
    }
  }

  // Starts both reads; the round ends with the later answer. While the store is
  // unavailable only the routing is read, because one call is enough to detect
  // its return.
  void ReadStore()
  {
    mReadsLeft = mUnavailable ? 1 : 2;
    mReadFailed = false;
    const auto sent = mHooks.mNow();
    mPlatform.Get({ mProtocol.mRoutingKind, mProtocol.mRoutingName },
                  IfAlive([this, sent](object_answer aAnswer) {
                    NoteEra(aAnswer.mEra, "store");
                    if (aAnswer.mStatus == platform_status::Ok) {
                      ApplyStoreRouting(aAnswer.mObject.mValue, sent);
                    }
                    OnRead(aAnswer.mStatus);
                  }));
    if (mReadsLeft > 1) {
      ReadUpstreams();
    }
  }

  void ReadUpstreams()
  {
    const auto sent = mHooks.mNow();
    mPlatform.List(mProtocol.mUpstreamKind,
                   IfAlive([this, sent](list_answer aAnswer) {
                     NoteEra(aAnswer.mEra, "store");
                     if (aAnswer.mStatus == platform_status::Ok) {
                       ApplyStoreList(aAnswer.mObjects, sent);
                     }
                     OnRead(aAnswer.mStatus);
                   }));
  }

  void OnRead(platform_status aStatus)
  {
    const bool wasUnavailable = mUnavailable;
    const bool reachable =
      aStatus == platform_status::Ok || aStatus == platform_status::NotFound;
    TrackAvailability(reachable, ToText(aStatus));
    mReadFailed = mReadFailed || aStatus != platform_status::Ok;
    if (wasUnavailable && reachable) {
      // The store is available again. Make the read that was left out.
      ReadUpstreams();
      return;
    }
    if (--mReadsLeft > 0) {
      return;
    }
    if (mUnavailable) {
      FetchFromAnyone();
      return;
    }
    if (!mReadFailed && mRestores.IsAssumed(mHooks.mNow())) {
      FetchFormer();
      return;
    }
    EndRound(!mReadFailed);
  }

  // Fetches a full snapshot from any gateway, which may have known the store
  // before its last restore.
  void FetchFormer()
  {
    const auto requestedAt = mHooks.mNow();
    mHooks.mFetch(
      std::nullopt,
      {},
      IfAlive([this, requestedAt](std::optional<store_snapshot> aSnapshot) {
        if (aSnapshot) {
          ApplySnapshot(std::move(*aSnapshot), requestedAt);
        }
        EndRound(true);
      }));
  }

  // Tracks whether the store's contents reach this gateway, directly or through
  // a reader.
  void TrackAvailability(bool aReachable, std::string_view aDetail)
  {
    const auto now = mHooks.mNow();
    if (aReachable && mUnavailable) {
      LogEvent(log_level::Info,
               "store_regained",
               { { "away_ms", Milliseconds(now - mUnavailableSince) },
                 { "detail", aDetail } });
      if (now - mUnavailableSince >= mSettings.mMinimumOutage) {
        mAvailableAgainAt = now;
      }
    } else if (!aReachable && !mUnavailable) {
      LogEvent(
        log_level::Warning,
        "store_lost",
        { { "detail", aDetail }, { "routing_version", mRouting.Version() } });
      mUnavailableSince = now;
    }
    mUnavailable = !aReachable;
  }

  // Fetches the first snapshot from any gateway. This saves calls to the store
  // and works while the store is unavailable.
  void FetchFirst()
  {
    const auto requestedAt = mHooks.mNow();
    mHooks.mFetch(
      std::nullopt,
      KnownVersions(),
      IfAlive([this, requestedAt](std::optional<store_snapshot> aSnapshot) {
        if (!aSnapshot) {
          ReadStoreOrWait();
          return;
        }
        ApplySnapshot(std::move(*aSnapshot), requestedAt);
        EndRound(true);
      }));
  }

  // Fetches a snapshot from any gateway after a failed read: another gateway
  // may reach the store although this one does not.
  void FetchFromAnyone()
  {
    const auto requestedAt = mHooks.mNow();
    mHooks.mFetch(
      std::nullopt,
      KnownVersions(),
      IfAlive([this, requestedAt](std::optional<store_snapshot> aSnapshot) {
        if (aSnapshot) {
          ApplySnapshot(std::move(*aSnapshot), requestedAt);
        }
        EndRound(false);
      }));
  }

  known_versions KnownVersions() const
  {
    known_versions known{ mRouting.Version(), 0 };
    if (mUpstreamsRead && !mNeedsFullList) {
      known.mUpstreamsDigest = mUpstreams.Digest();
    }
    return known;
  }

  // The snapshot was made after aRequestedAt, so counting its ages from there
  // never makes the data look fresher than they are.
  void ApplySnapshot(store_snapshot aSnapshot, boot_time aRequestedAt)
  {
    NoteEra(aSnapshot.mEra, "peer");
    LearnFormer(aSnapshot, aRequestedAt);
    const auto routingRead = aRequestedAt - aSnapshot.mRoutingAge;
    if (aSnapshot.mRouting.empty() &&
        aSnapshot.mRoutingVersion == mRouting.Version()) {
      mRouting.Confirm(routingRead);
    } else {
      ApplyRouting(aSnapshot.mRouting, routingRead, "peer");
    }
    const auto read = aRequestedAt - aSnapshot.mUpstreamsAge;
    if (mUpstreamsRead && read <= *mUpstreamsRead) {
      return;
    }
    if (aSnapshot.mDelta) {
      auto entries = mUpstreams.WithDelta(*aSnapshot.mDelta);
      if (!entries) {
        // The local list has changed since the request.
        return;
      }
      aSnapshot.mUpstreams = *std::move(entries);
    }
    mUpstreamsRead = read;
    // After a restore, the sender may know less of what has left than this
    // gateway, so the lists may differ.
    const bool mayDiffer = mRestores.MayHoldFormerEntries(mHooks.mNow());
    const auto completeness =
      mayDiffer ? CompletenessNow() : list_completeness::Complete;
    ApplyEntries(aSnapshot.mUpstreams, completeness, "peer");
    mNeedsFullList =
      !mayDiffer && mUpstreams.Digest() != aSnapshot.mUpstreamsDigest;
    if (mNeedsFullList) {
      LogEvent(log_level::Warning,
               "upstreams_differ",
               { { "digest", mUpstreams.Digest() },
                 { "peer", aSnapshot.mUpstreamsDigest },
                 { "delta", static_cast<int>(aSnapshot.mDelta.has_value()) } });
    }
  }

  // Takes over what the sender of a snapshot knows of a restore before this
  // gateway's start.
  void LearnFormer(const store_snapshot& aSnapshot, boot_time aRequestedAt)
  {
    const bool lacksFormer =
      !mUpstreamsRead || mRestores.IsAssumed(mHooks.mNow());
    const auto change =
      lacksFormer
        ? mUpstreams.ApplyFormer(aSnapshot.mUpstreams, aSnapshot.mFormer)
        : directory_change{};
    std::optional<boot_time> restoredAt;
    if (aSnapshot.mRestoreAge) {
      restoredAt = aRequestedAt - *aSnapshot.mRestoreAge;
    }
    mRestores.NotePeerRestore(aSnapshot.mEra, restoredAt);
    LogUpstreams(change, list_completeness::Restored, "peer");
  }

  void NoteEra(store_era aEra, std::string_view aSource)
  {
    const auto now = mHooks.mNow();
    if (mRestores.Note(aEra, now, aSource)) {
      mHooks.mRestored();
    }
  }

  // Applies a routing that was read from the store. Soon after a restore a
  // later one may have been lost that its author has yet to write again, so
  // the read does not confirm it.
  void ApplyStoreRouting(const std::string& aValue, boot_time aSent)
  {
    const bool proves = !mRestores.MayLackChanges(aSent);
    ApplyRouting(aValue, proves ? aSent : boot_time{}, "store");
  }

  // Applies a routing if it is newer than the active one, or confirms it as of
  // aSent if it is the same.
  void ApplyRouting(const std::string& aValue,
                    boot_time aSent,
                    std::string_view aSource)
  {
    if (mRouting.Table() && aValue == mRoutingValue) {
      mRouting.Confirm(aSent);
      return;
    }
    auto config = mProtocol.mReadRouting(aValue);
    if (!config) {
      LogEvent(log_level::Error,
               "routing_unreadable",
               { { "source", aSource }, { "bytes", aValue.size() } });
      return;
    }
    if (config->mVersion < mRouting.Version()) {
      LogFormerRouting(config->mVersion, aSource);
      return;
    }
    const auto before = mRouting.Version();
    auto table = std::make_shared<policy::route_table>(std::move(*config));
    const auto routes = table->Config().mRoutes.size();
    const auto accounts = table->Config().mAccounts.size();
    mRoutingValue = aValue;
    if (!mRouting.Apply(std::move(table), aSent)) {
      return;
    }
    LogEvent(log_level::Info,
             "routing_changed",
             { { "source", aSource },
               { "version", mRouting.Version() },
               { "before", before },
               { "routes", routes },
               { "accounts", accounts },
               { "read_age_ms", Milliseconds(mHooks.mNow() - aSent) } });
    mHooks.mChanged();
  }

  // Logs each older version once.
  void LogFormerRouting(routing_version aVersion, std::string_view aSource)
  {
    if (aVersion == mLoggedFormer) {
      return;
    }
    mLoggedFormer = aVersion;
    LogEvent(log_level::Warning,
             "routing_older",
             { { "source", aSource },
               { "version", mRouting.Version() },
               { "told", aVersion } });
  }

  void ApplyStoreList(std::span<const platform_object> aObjects,
                      boot_time aSent)
  {
    std::vector<upstream_entry> entries;
    for (const auto& object : aObjects) {
      if (auto entry =
            mProtocol.mReadUpstream(object.mKey.mName, object.mValue)) {
        entries.push_back(std::move(*entry));
      }
    }
    if (mUpstreamsRead && aSent < *mUpstreamsRead) {
      return;
    }
    mUpstreamsRead = aSent;
    ApplyEntries(entries, CompletenessNow(), "store");
  }

  // How to take a list that the store returns now.
  list_completeness CompletenessNow() const
  {
    const auto now = mHooks.mNow();
    const bool justAvailable =
      mAvailableAgainAt && now - *mAvailableAgainAt < mSettings.mOutageGrace;
    const bool longUnavailable =
      mUnavailable && now - mUnavailableSince >= mSettings.mMinimumOutage;
    const bool partial =
      justAvailable || longUnavailable || mRestores.MayLackChanges(now);
    if (mRestores.MayHoldFormerEntries(now)) {
      return partial ? list_completeness::Restored
                     : list_completeness::RestoredComplete;
    }
    return partial ? list_completeness::PossiblyPartial
                   : list_completeness::Complete;
  }

  void ApplyEntries(std::span<const upstream_entry> aEntries,
                    list_completeness aCompleteness,
                    std::string_view aSource)
  {
    LogUpstreams(
      mUpstreams.ApplyList(aEntries, aCompleteness), aCompleteness, aSource);
  }

  void LogUpstreams(const directory_change& aChange,
                    list_completeness aCompleteness,
                    std::string_view aSource)
  {
    if (aChange.Empty()) {
      return;
    }
    LogEvent(
      log_level::Info,
      "upstreams_changed",
      { { "source", aSource },
        { "added", JoinNames(aChange.mAdded) },
        { "draining", JoinNames(aChange.mDraining) },
        { "gone", JoinNames(aChange.mRemoved) },
        { "known", mUpstreams.Size() },
        { "list", ToText(aCompleteness) },
        { "read_age_ms", Milliseconds(mHooks.mNow() - *mUpstreamsRead) } });
    mHooks.mChanged();
  }

  bool HasBoth() const
  {
    return mRouting.Table() && mUpstreamsRead.has_value();
  }

  // Ages are rounded up, so that data never look fresher than they are.
  milliseconds RoutingAge() const
  {
    return std::chrono::ceil<milliseconds>(
      mRouting.Age(mHooks.mNow()).value_or(std::chrono::hours(24)));
  }
  milliseconds UpstreamsAge() const
  {
    return std::chrono::ceil<milliseconds>(mHooks.mNow() - *mUpstreamsRead);
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  const protocol& mProtocol;
  routing_state& mRouting;
  upstream_directory& mUpstreams;
  store_reader_settings mSettings;
  store_reader_hooks mHooks;

  // The active routing as it is stored.
  std::string mRoutingValue;
  // The last older version that was logged.
  routing_version mLoggedFormer = 0;
  store_restores mRestores;
  // When the read that returned the contents of mUpstreams was sent. Unset
  // before the first read; never decreases.
  std::optional<boot_time> mUpstreamsRead;
  // The last snapshot did not lead to the sender's digest, so the next one must
  // contain the full list.
  bool mNeedsFullList = false;

  boot_time mStartedAt{};
  // When a gateway that is no reader may read the store again, and the delay
  // after the next failed read.
  boot_time mNextOwnRead{};
  steady_duration mOwnReadDelay = mSettings.mOtherRetry;

  bool mInRound = false;
  boot_time mRoundBegun{};
  // Readers not yet queried in this round; the next one is at the back.
  std::vector<vm_id> mReaders;
  bool mQueriedAny = false;
  // Calls to the store that this round still waits for.
  int mReadsLeft = 0;
  bool mReadFailed = false;

  // Neither the store nor a reader provides the store's contents.
  bool mUnavailable = false;
  // Only meaningful while mUnavailable.
  boot_time mUnavailableSince{};
  // End of the last outage of at least mMinimumOutage; unset before the first.
  std::optional<boot_time> mAvailableAgainAt;
  timer_subscription mRoundTimer;
};

store_reader::store_reader(platform_api& aPlatform,
                           timer_service& aTimers,
                           const protocol& aProtocol,
                           routing_state& aRouting,
                           upstream_directory& aUpstreams,
                           store_reader_settings aSettings,
                           store_reader_hooks aHooks)
  : mState(std::make_shared<state>(aPlatform,
                                   aTimers,
                                   aProtocol,
                                   aRouting,
                                   aUpstreams,
                                   aSettings,
                                   std::move(aHooks)))
{
}

store_reader::~store_reader() = default;

void
store_reader::Start()
{
  mState->mStartedAt = mState->mHooks.mNow();
  mState->mRoundTimer =
    mState->mTimers.After(mState->mSettings.mStartDelay,
                          [state = mState.get()] { state->BeginRound(); });
}

void
store_reader::OnPeerSummary(const store_summary& aSummary)
{
  mState->OnPeerSummary(aSummary);
}

std::optional<store_snapshot>
store_reader::Snapshot(const known_versions& aKnown) const
{
  if (!mState->HasBoth()) {
    return std::nullopt;
  }
  store_snapshot snapshot;
  snapshot.mEra = mState->mRestores.Era();
  snapshot.mRoutingVersion = mState->mRouting.Version();
  if (snapshot.mRoutingVersion != aKnown.mRoutingVersion) {
    snapshot.mRouting = mState->mRoutingValue;
  }
  const auto& upstreams = mState->mUpstreams;
  snapshot.mUpstreamsDigest = upstreams.Digest();
  const auto now = mState->mHooks.mNow();
  if (const auto restoredAt = mState->mRestores.RecentRestore(now)) {
    snapshot.mRestoreAge = std::chrono::floor<milliseconds>(now - *restoredAt);
  }
  if (aKnown.mUpstreamsDigest != 0) {
    snapshot.mDelta = upstreams.ChangedSince(aKnown.mUpstreamsDigest);
  } else {
    snapshot.mFormer = upstreams.Former();
  }
  if (!snapshot.mDelta) {
    snapshot.mUpstreams = upstreams.Entries();
  }
  snapshot.mRoutingAge = mState->RoutingAge();
  snapshot.mUpstreamsAge = mState->UpstreamsAge();
  return snapshot;
}

std::optional<store_summary>
store_reader::Summary() const
{
  if (!mState->HasBoth()) {
    return std::nullopt;
  }
  store_summary summary;
  summary.mRoutingAge = mState->RoutingAge();
  summary.mRoutingVersion = mState->mRouting.Version();
  summary.mEra = mState->mRestores.Era();
  summary.mUpstreamsAge = mState->UpstreamsAge();
  summary.mUpstreamsDigest = mState->mUpstreams.Digest();
  return summary;
}

} // namespace sapphirespar::gateway
