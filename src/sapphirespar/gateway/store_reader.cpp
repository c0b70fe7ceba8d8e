// The two reading loops and the way round a store that does not answer.
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

  void ReadRouting()
  {
    const auto sent = mHooks.mNow();
    mPlatform.Get({ mProtocol.mRoutingKind, mProtocol.mRoutingName },
                  IfAlive([this, sent](object_answer aAnswer) {
                    OnRouting(aAnswer, sent);
                  }));
  }

  void OnRouting(const object_answer& aAnswer, boot_time aSent)
  {
    const bool read = aAnswer.mStatus == platform_status::Ok;
    if (read) {
      TakeRouting(aAnswer.mObject, aSent, "store");
    }
    NoteCall(aAnswer.mStatus);
    mRoutingTimer =
      mTimers.After(NextDelay(read, aSent), [this] { ReadRouting(); });
  }

  void ReadUpstreams()
  {
    const auto sent = mHooks.mNow();
    mPlatform.List(mProtocol.mUpstreamKind,
                   IfAlive([this, sent](list_answer aAnswer) {
                     OnUpstreams(std::move(aAnswer), sent);
                   }));
  }

  void OnUpstreams(list_answer aAnswer, boot_time aSent)
  {
    const bool read = aAnswer.mStatus == platform_status::Ok;
    NoteCall(aAnswer.mStatus);
    if (read) {
      TakeUpstreams(std::move(aAnswer.mObjects), aSent, "store");
    }
    mUpstreamTimer =
      mTimers.After(NextDelay(read, aSent), [this] { ReadUpstreams(); });
  }

  steady_duration NextDelay(bool aRead, boot_time aSent) const
  {
    if (!aRead) {
      return mSettings.mRetryDelay;
    }
    const auto passed = mHooks.mNow() - aSent;
    return std::max<steady_duration>(mSettings.mPeriod - passed,
                                     milliseconds::zero());
  }

  // Follows whether the store answers here, and turns to a peer if not.
  void NoteCall(platform_status aStatus)
  {
    const bool answers =
      aStatus == platform_status::Ok || aStatus == platform_status::NotFound;
    const auto now = mHooks.mNow();
    if (answers && mAway) {
      LogEvent(log_level::Info,
               "store_regained",
               { { "away_ms", Milliseconds(now - mAwaySince) } });
      mBackAt = now;
    } else if (!answers && !mAway) {
      LogEvent(log_level::Warning,
               "store_lost",
               { { "status", ToText(aStatus) },
                 { "routing_version", mRouting.Version() } });
      mAwaySince = now;
    }
    mAway = !answers;
    if (mAway) {
      AskPeer();
    }
  }

  void AskPeer()
  {
    if (mAsking || !mHooks.mAskPeer) {
      return;
    }
    mAsking = true;
    const auto sent = mHooks.mNow();
    mHooks.mAskPeer(IfAlive([this, sent](std::optional<store_copy> aCopy) {
      mAsking = false;
      if (aCopy) {
        TakeCopy(std::move(*aCopy), sent);
      }
    }));
  }

  // The copy was made after it was asked for, so its ages count from there.
  void TakeCopy(store_copy aCopy, boot_time aAsked)
  {
    TakeRouting(aCopy.mRouting, aAsked - aCopy.mRoutingAge, "peer");
    const auto read = aAsked - aCopy.mUpstreamsAge;
    if (read > mUpstreamsRead) {
      TakeUpstreams(std::move(aCopy.mUpstreams), read, "peer");
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
    if (!mRouting.Apply(std::move(table), aSent)) {
      return;
    }
    mRoutingObject = aObject;
    LogEvent(log_level::Info,
             "routing_changed",
             { { "source", aSource },
               { "version", mRouting.Version() },
               { "before", before },
               { "routes", routes },
               { "accounts", accounts },
               { "read_age_ms", Milliseconds(mHooks.mNow() - aSent) } });
    if (mHooks.mRoutingChanged) {
      mHooks.mRoutingChanged();
    }
  }

  void TakeUpstreams(std::vector<platform_object> aObjects,
                     boot_time aSent,
                     std::string_view aSource)
  {
    std::vector<upstream_entry> entries;
    for (const auto& object : aObjects) {
      if (auto entry =
            mProtocol.mReadUpstream(object.mKey.mName, object.mValue)) {
        entries.push_back(std::move(*entry));
      }
    }
    const bool justBack =
      mBackAt && mHooks.mNow() - *mBackAt < mSettings.mLapseGrace;
    const auto trust = justBack ? list_trust::JustBack : list_trust::Whole;
    const auto change = mUpstreams.ApplyList(entries, trust);
    mUpstreamsRead = aSent;
    mUpstreamObjects = std::move(aObjects);
    LogChange(change, aSource, justBack);
  }

  void LogChange(const directory_change& aChange,
                 std::string_view aSource,
                 bool aJustBack) const
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
        { "gone", JoinNames(aChange.mGone) },
        { "known", mUpstreams.Size() },
        { "store_just_back", static_cast<int>(aJustBack) },
        { "read_age_ms", Milliseconds(mHooks.mNow() - mUpstreamsRead) } });
  }

  platform_api& mPlatform;
  timer_service& mTimers;
  const protocol& mProtocol;
  routing_state& mRouting;
  upstream_directory& mUpstreams;
  store_reader_settings mSettings;
  store_reader_hooks mHooks;

  // As last read, for peers.
  platform_object mRoutingObject;
  std::vector<platform_object> mUpstreamObjects;
  boot_time mUpstreamsRead{};

  // The last call failed.
  bool mAway = false;
  // Only meaningful while mAway.
  boot_time mAwaySince{};
  // Unset before the first return.
  std::optional<boot_time> mBackAt;
  bool mAsking = false;
  timer_subscription mRoutingTimer;
  timer_subscription mUpstreamTimer;
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
  mState->ReadRouting();
  mState->ReadUpstreams();
}

std::optional<store_copy>
store_reader::Copy() const
{
  const auto now = mState->mHooks.mNow();
  const auto age = mState->mRouting.Age(now);
  const bool complete = mState->mRoutingObject.mVersion != kNoObject &&
                        mState->mUpstreamsRead != boot_time{};
  if (!age || !complete) {
    return std::nullopt;
  }
  store_copy copy;
  copy.mRouting = mState->mRoutingObject;
  copy.mUpstreams = mState->mUpstreamObjects;
  // Rounded up, so that the copy never looks fresher than it is.
  copy.mRoutingAge = std::chrono::ceil<milliseconds>(*age);
  copy.mUpstreamsAge =
    std::chrono::ceil<milliseconds>(now - mState->mUpstreamsRead);
  return copy;
}

} // namespace sapphirespar::gateway
