// Rounds of reading, and the ways round a store or a reader that does not
// answer.
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
  {
  }

  // Wraps a callback so that it does nothing once the reader is gone.
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
    mAskedAny = false;
    AskNextReader();
  }

  void EndRound(bool aSucceeded)
  {
    mInRound = false;
    steady_duration delay{};
    if (aSucceeded) {
      const auto passed = mHooks.mNow() - mRoundBegun;
      delay = std::max<steady_duration>(mSettings.mPeriod - passed,
                                        milliseconds::zero());
    } else {
      delay = mHooks.mReaders().empty() ? mSettings.mReaderRetry
                                        : mSettings.mOtherRetry;
    }
    mRoundTimer = mTimers.After(delay, [this] { BeginRound(); });
  }

  // Asks the readers one after another, then reads the store.
  void AskNextReader()
  {
    if (mReaders.empty()) {
      if (mAskedAny && IsRecent() && !mHooks.mIsReader()) {
        mRoundTimer =
          mTimers.After(mSettings.mAskAgain, [this] { BeginRound(); });
        mInRound = false;
        return;
      }
      if (HasBoth() || mAskedAny) {
        ReadStore();
      } else {
        FetchFirst();
      }
      return;
    }
    mAskedAny = true;
    const auto reader = mReaders.back();
    mReaders.pop_back();
    const auto sent = mHooks.mNow();
    mHooks.mAsk(
      reader,
      IfAlive([this, sent, reader](std::optional<store_summary> aSummary) {
        OnSummary(aSummary, sent, reader);
      }));
  }

  void OnSummary(const std::optional<store_summary>& aSummary,
                 boot_time aSent,
                 const vm_id& aReader)
  {
    const bool recent = aSummary &&
                        aSummary->mRoutingAge <= mSettings.mOldestAnswer &&
                        aSummary->mUpstreamsAge <= mSettings.mOldestAnswer;
    if (!recent) {
      AskNextReader();
      return;
    }
    if (IsKnown(*aSummary)) {
      mRouting.Confirm(aSent - aSummary->mRoutingAge);
      mUpstreamsRead =
        std::max(*mUpstreamsRead, aSent - aSummary->mUpstreamsAge);
      NoteAnswer(true, "peer");
      EndRound(true);
      return;
    }
    const auto asked = mHooks.mNow();
    mHooks.mFetch(
      aReader, Known(), IfAlive([this, asked](std::optional<store_copy> aCopy) {
        if (!aCopy) {
          AskNextReader();
          return;
        }
        TakeCopy(std::move(*aCopy), asked);
        NoteAnswer(true, "peer");
        EndRound(true);
      }));
  }

  // Whether what is known here is recent enough without another read.
  bool IsRecent() const
  {
    return HasBoth() && RoutingAge() < mSettings.mOldestKnowledge &&
           UpstreamsAge() < mSettings.mOldestKnowledge;
  }

  bool IsKnown(const store_summary& aSummary) const
  {
    return mUpstreamsRead &&
           mRoutingObject.mVersion == aSummary.mRoutingRevision &&
           mUpstreams.Digest() == aSummary.mUpstreamsDigest;
  }

  void Hear(const store_summary& aSummary)
  {
    const bool news =
      aSummary.mRoutingRevision > mRoutingObject.mVersion ||
      (aSummary.mUpstreamsDigest != mUpstreams.Digest() &&
       (!mUpstreamsRead ||
        mHooks.mNow() - aSummary.mUpstreamsAge > *mUpstreamsRead));
    if (news && !mInRound) {
      BeginRound();
    }
  }

  // Both reads at once; the round ends with the later answer. While the store
  // is away one read tells as much as two.
  void ReadStore()
  {
    mReadsLeft = mAway ? 1 : 2;
    mReadFailed = false;
    const auto sent = mHooks.mNow();
    mPlatform.Get({ mProtocol.mRoutingKind, mProtocol.mRoutingName },
                  IfAlive([this, sent](object_answer aAnswer) {
                    if (aAnswer.mStatus == platform_status::Ok) {
                      TakeRouting(aAnswer.mObject, sent, "store");
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
                     if (aAnswer.mStatus == platform_status::Ok) {
                       TakeList(aAnswer.mObjects, sent);
                     }
                     OnRead(aAnswer.mStatus);
                   }));
  }

  void OnRead(platform_status aStatus)
  {
    const bool wasAway = mAway;
    const bool answers =
      aStatus == platform_status::Ok || aStatus == platform_status::NotFound;
    NoteAnswer(answers, ToText(aStatus));
    mReadFailed = mReadFailed || aStatus != platform_status::Ok;
    if (wasAway && answers) {
      // The other read was left out.
      ReadUpstreams();
      return;
    }
    if (--mReadsLeft > 0) {
      return;
    }
    if (mAway) {
      FetchFromAnyone();
      return;
    }
    EndRound(!mReadFailed);
  }

  // Follows whether the store's contents reach this gateway.
  void NoteAnswer(bool aAnswers, std::string_view aDetail)
  {
    const auto now = mHooks.mNow();
    if (aAnswers && mAway) {
      LogEvent(log_level::Info,
               "store_regained",
               { { "away_ms", Milliseconds(now - mAwaySince) },
                 { "detail", aDetail } });
      if (now - mAwaySince >= mSettings.mShortestLapse) {
        mBackAt = now;
      }
    } else if (!aAnswers && !mAway) {
      LogEvent(
        log_level::Warning,
        "store_lost",
        { { "detail", aDetail }, { "routing_version", mRouting.Version() } });
      mAwaySince = now;
    }
    mAway = !aAnswers;
  }

  // After the start, whatever any gateway has read spares the store a call, and
  // serves while the store is away.
  void FetchFirst()
  {
    const auto asked = mHooks.mNow();
    mHooks.mFetch(std::nullopt,
                  Known(),
                  IfAlive([this, asked](std::optional<store_copy> aCopy) {
                    if (!aCopy) {
                      ReadStore();
                      return;
                    }
                    TakeCopy(std::move(*aCopy), asked);
                    EndRound(true);
                  }));
  }

  // Some other gateway may reach the store although this one does not.
  void FetchFromAnyone()
  {
    const auto asked = mHooks.mNow();
    mHooks.mFetch(std::nullopt,
                  Known(),
                  IfAlive([this, asked](std::optional<store_copy> aCopy) {
                    if (aCopy) {
                      TakeCopy(std::move(*aCopy), asked);
                    }
                    EndRound(false);
                  }));
  }

  store_known Known() const
  {
    store_known known{ mRoutingObject.mVersion, 0 };
    if (mUpstreamsRead && !mWantsWhole) {
      known.mUpstreamsDigest = mUpstreams.Digest();
    }
    return known;
  }

  // The copy was made after it was asked for, so its ages count from there.
  void TakeCopy(store_copy aCopy, boot_time aAsked)
  {
    TakeRouting(aCopy.mRouting, aAsked - aCopy.mRoutingAge, "peer");
    const auto read = aAsked - aCopy.mUpstreamsAge;
    if (mUpstreamsRead && read <= *mUpstreamsRead) {
      return;
    }
    if (aCopy.mDelta) {
      auto entries = mUpstreams.WithDelta(*aCopy.mDelta);
      if (!entries) {
        // The list has changed here since it was asked for.
        return;
      }
      aCopy.mUpstreams = *std::move(entries);
    }
    mUpstreamsRead = read;
    TakeEntries(aCopy.mUpstreams, list_trust::Whole, "peer");
    mWantsWhole = mUpstreams.Digest() != aCopy.mUpstreamsDigest;
    if (mWantsWhole) {
      LogEvent(log_level::Warning,
               "upstreams_differ",
               { { "digest", mUpstreams.Digest() },
                 { "peer", aCopy.mUpstreamsDigest },
                 { "delta", static_cast<int>(aCopy.mDelta.has_value()) } });
    }
  }

  void TakeRouting(const platform_object& aObject,
                   boot_time aSent,
                   std::string_view aSource)
  {
    if (mRoutingObject.mVersion != kNoObject &&
        aObject.mVersion == mRoutingObject.mVersion) {
      mRouting.Confirm(aSent);
      return;
    }
    if (aObject.mVersion < mRoutingObject.mVersion) {
      return;
    }
    auto config = mProtocol.mReadRouting(aObject.mValue);
    if (!config) {
      LogEvent(log_level::Error,
               "routing_unreadable",
               { { "source", aSource },
                 { "revision", aObject.mVersion },
                 { "bytes", aObject.mValue.size() } });
      return;
    }
    const auto before = mRouting.Version();
    auto table = std::make_shared<policy::route_table>(std::move(*config));
    const auto routes = table->Config().mRoutes.size();
    const auto accounts = table->Config().mAccounts.size();
    mRoutingObject = aObject;
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

  void TakeList(std::span<const platform_object> aObjects, boot_time aSent)
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
    const auto now = mHooks.mNow();
    const bool justBack = mBackAt && now - *mBackAt < mSettings.mLapseGrace;
    const bool longAway = mAway && now - mAwaySince >= mSettings.mShortestLapse;
    TakeEntries(entries,
                justBack || longAway ? list_trust::JustBack : list_trust::Whole,
                "store");
  }

  void TakeEntries(std::span<const upstream_entry> aEntries,
                   list_trust aTrust,
                   std::string_view aSource)
  {
    const auto change = mUpstreams.ApplyList(aEntries, aTrust);
    if (change.Empty()) {
      return;
    }
    LogEvent(
      log_level::Info,
      "upstreams_changed",
      { { "source", aSource },
        { "added", JoinNames(change.mAdded) },
        { "draining", JoinNames(change.mDraining) },
        { "gone", JoinNames(change.mGone) },
        { "known", mUpstreams.Size() },
        { "store_just_back", static_cast<int>(aTrust == list_trust::JustBack) },
        { "read_age_ms", Milliseconds(mHooks.mNow() - *mUpstreamsRead) } });
    mHooks.mChanged();
  }

  bool HasBoth() const
  {
    return mRoutingObject.mVersion != kNoObject && mRouting.Table() &&
           mUpstreamsRead.has_value();
  }

  // Rounded up, so that nothing ever looks fresher than it is.
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

  // As last read; its version only rises.
  platform_object mRoutingObject;
  // When the read of what mUpstreams holds was sent; only rises. Unset before
  // the first.
  std::optional<boot_time> mUpstreamsRead;
  // The last change from another gateway did not lead to that one's list.
  bool mWantsWhole = false;

  bool mInRound = false;
  boot_time mRoundBegun{};
  // Readers that have not been asked in this round, the next one at the back.
  std::vector<vm_id> mReaders;
  bool mAskedAny = false;
  // Calls to the store that this round waits for.
  int mReadsLeft = 0;
  bool mReadFailed = false;

  // The store's contents do not reach this gateway.
  bool mAway = false;
  // Only meaningful while mAway.
  boot_time mAwaySince{};
  // Unset before the first return.
  std::optional<boot_time> mBackAt;
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
  mState->mRoundTimer =
    mState->mTimers.After(mState->mSettings.mFirstLook,
                          [state = mState.get()] { state->BeginRound(); });
}

void
store_reader::Hear(const store_summary& aSummary)
{
  mState->Hear(aSummary);
}

std::optional<store_copy>
store_reader::Copy(const store_known& aKnown) const
{
  if (!mState->HasBoth()) {
    return std::nullopt;
  }
  store_copy copy;
  copy.mRouting = mState->mRoutingObject;
  if (copy.mRouting.mVersion == aKnown.mRoutingRevision) {
    copy.mRouting.mValue.clear();
  }
  const auto& upstreams = mState->mUpstreams;
  copy.mUpstreamsDigest = upstreams.Digest();
  if (aKnown.mUpstreamsDigest != 0) {
    copy.mDelta = upstreams.ChangedSince(aKnown.mUpstreamsDigest);
  }
  if (!copy.mDelta) {
    copy.mUpstreams = upstreams.Entries();
  }
  copy.mRoutingAge = mState->RoutingAge();
  copy.mUpstreamsAge = mState->UpstreamsAge();
  return copy;
}

std::optional<store_summary>
store_reader::Summary() const
{
  if (!mState->HasBoth()) {
    return std::nullopt;
  }
  store_summary summary;
  summary.mRoutingAge = mState->RoutingAge();
  summary.mRoutingRevision = mState->mRoutingObject.mVersion;
  summary.mUpstreamsAge = mState->UpstreamsAge();
  summary.mUpstreamsDigest = mState->mUpstreams.Digest();
  return summary;
}

} // namespace sapphirespar::gateway
