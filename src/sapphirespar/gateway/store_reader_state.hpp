// The state of a store reader. store_reader.cpp implements the rounds of
// queries and reads, store_contents.cpp what is known of the store's contents.
#pragma once

#include "sapphirespar/gateway/store_reader.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sapphirespar::gateway {

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

  // Rounds of queries and reads.
  void BeginRound();
  void EndRound(bool aSucceeded);
  void QueryNextReader();
  void ReadStoreOrWait();
  void EndRoundAfter(steady_duration aDelay);
  void RecordOwnRead(bool aSucceeded);
  void OnSummary(const std::optional<store_summary>& aSummary,
                 boot_time aSent,
                 const vm_id& aReader);
  void OnPeerSummary(const store_summary& aSummary);
  void ReadStore();
  void ReadUpstreams();
  void OnRead(platform_status aStatus);
  void FetchFormer();
  void FetchFirst();
  void FetchFromAnyone();

  // The known contents.
  bool IsRecent() const;
  bool IsKnown(const store_summary& aSummary) const;
  void TrackAvailability(bool aReachable, std::string_view aDetail);
  known_versions KnownVersions() const;
  void ApplySnapshot(store_snapshot aSnapshot, boot_time aRequestedAt);
  void LearnFormer(const store_snapshot& aSnapshot, boot_time aRequestedAt);
  void NoteEra(store_era aEra, std::string_view aSource);
  void ApplyStoreRouting(const std::string& aValue, boot_time aSent);
  void ApplyRouting(const std::string& aValue,
                    boot_time aSent,
                    std::string_view aSource);
  void LogFormerRouting(routing_version aVersion, std::string_view aSource);
  void ApplyStoreList(std::span<const platform_object> aObjects,
                      boot_time aSent);
  void AddUnreadable(std::map<std::string, std::string> aUnreadable,
                     std::vector<upstream_entry>& aEntries);
  list_completeness CompletenessNow() const;
  void ApplyEntries(std::span<const upstream_entry> aEntries,
                    list_completeness aCompleteness,
                    std::string_view aSource);
  void LogUpstreams(const directory_change& aChange,
                    list_completeness aCompleteness,
                    std::string_view aSource);
  bool HasBoth() const;
  std::chrono::milliseconds RoutingAge() const;
  std::chrono::milliseconds UpstreamsAge() const;

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
  // Names of the entries of the last list that could not be read, and why.
  std::map<std::string, std::string> mUnreadable;
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

} // namespace sapphirespar::gateway
