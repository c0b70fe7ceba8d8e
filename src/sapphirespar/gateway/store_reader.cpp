// Rounds of queries and reads, and the fallbacks when a reader or the store
// does not answer.
#include "sapphirespar/gateway/store_reader.hpp"

#include "store_reader_state.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

} // namespace

void
store_reader::state::BeginRound()
{
  mRoundTimer = {};
  mRoundBegun = mHooks.mNow();
  mInRound = true;
  mReaders = mHooks.mReaders();
  std::ranges::reverse(mReaders);
  mQueriedAny = false;
  QueryNextReader();
}

void
store_reader::state::EndRound(bool aSucceeded)
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
void
store_reader::state::QueryNextReader()
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
void
store_reader::state::ReadStoreOrWait()
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

void
store_reader::state::EndRoundAfter(steady_duration aDelay)
{
  mInRound = false;
  mRoundTimer = mTimers.After(aDelay, [this] { BeginRound(); });
}

// Spaces out the reads of a gateway that is no reader while they fail.
void
store_reader::state::RecordOwnRead(bool aSucceeded)
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

void
store_reader::state::OnSummary(const std::optional<store_summary>& aSummary,
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
    mUpstreamsRead = std::max(*mUpstreamsRead, aSent - aSummary->mUpstreamsAge);
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

void
store_reader::state::OnPeerSummary(const store_summary& aSummary)
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
void
store_reader::state::ReadStore()
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

void
store_reader::state::ReadUpstreams()
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

void
store_reader::state::OnRead(platform_status aStatus)
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
void
store_reader::state::FetchFormer()
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

// Fetches the first snapshot from any gateway. This saves calls to the store
// and works while the store is unavailable.
void
store_reader::state::FetchFirst()
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
void
store_reader::state::FetchFromAnyone()
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

std::vector<std::string>
store_reader::UnreadableEntries() const
{
  std::vector<std::string> names;
  std::ranges::transform(mState->mUnreadable,
                         std::back_inserter(names),
                         [](const auto& aItem) { return aItem.first; });
  return names;
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
