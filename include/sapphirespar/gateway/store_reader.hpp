// Keeps the routing and the upstreams in step with the platform's store. A few
// gateways (the readers) read the store. The others query a reader, fetch what
// they lack, and read the store themselves if no reader's answer is recent.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_table.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/store_restores.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sapphirespar::gateway {

// The state of the store that a gateway already has; zero means none.
struct known_versions
{
  routing_version mRoutingVersion = 0;
  std::uint64_t mUpstreamsDigest = 0;
  // Whether the answer shall contain the list of gateways. A gateway that has
  // nothing gets it in any case.
  bool mWantsGateways = false;
};

// A store snapshot: the contents of the store as one gateway has read them, or
// the difference from what the requesting gateway has.
struct store_snapshot
{
  routing_version mRoutingVersion = 0;
  // The stored routing; empty if the requester has this version.
  std::string mRouting;
  // All upstreams; empty if mDelta is set.
  std::vector<upstream_entry> mUpstreams;
  // Changes since the requester's list.
  std::optional<upstream_delta> mDelta;
  // Digest of the complete, or changed, list of upstreams.
  std::uint64_t mUpstreamsDigest = 0;
  // Latest era of the store that the sender knows.
  store_era mEra = 0;
  // How long ago the sender noticed the restore that began it; unset if that
  // doesn't matter any more.
  std::optional<std::chrono::milliseconds> mRestoreAge;
  // The latest incarnations that the sender saw leave. Empty in answer to a
  // gateway that has a list.
  std::vector<std::uint64_t> mFormer;
  // Time from the sending of each read to the making of this snapshot.
  std::chrono::milliseconds mRoutingAge{ 0 };
  std::chrono::milliseconds mUpstreamsAge{ 0 };
  // The sender's list of gateways, including itself. Not filled in by
  // store_reader.
  std::vector<peer_contact> mGateways;
};

using snapshot_callback = std::function<void(std::optional<store_snapshot>)>;
using summary_callback = std::function<void(std::optional<store_summary>)>;

struct store_reader_settings
{
  // Delay before the first round. It gives gossip time to find another gateway
  // that has read the store.
  std::chrono::milliseconds mStartDelay{ 0 };
  // How long a gateway that has read nothing yet waits for another gateway's
  // snapshot before it reads the store. When a whole fleet starts, few gateways
  // read the store and the others copy from them.
  std::chrono::milliseconds mFirstReadPatience{ 0 };
  // Delay before a gateway that waits so looks for a snapshot again.
  std::chrono::milliseconds mFirstReadRetry{ 250 };
  // Time between the starts of two rounds. A change reaches every gateway after
  // two rounds and a fetch, so it takes effect within three periods.
  std::chrono::milliseconds mPeriod{ 600 };
  // Delay after a failed round, for the first reader and for other gateways.
  std::chrono::milliseconds mReaderRetry{ 250 };
  std::chrono::milliseconds mOtherRetry{ 1000 };
  // A gateway that is no reader queries the readers at that interval, but while
  // its own reads fail it reads the store at intervals that double up to this
  // one.
  std::chrono::milliseconds mMaximumOtherRead{ 4000 };
  // Older answers are ignored, because the reader has missed a round.
  std::chrono::milliseconds mMaximumAnswerAge{ 1000 };
  // If no reader gives a recent answer, the store is read once the local data
  // are older than mMaximumAge. Until then the readers are queried again after
  // mQueryRetry.
  std::chrono::milliseconds mMaximumAge{ 1100 };
  std::chrono::milliseconds mQueryRetry{ 150 };
  // Entries of live upstreams expire only in outages at least this long.
  std::chrono::milliseconds mMinimumOutage{ 2000 };
  // For this long after such an outage, an upstream that is not listed may have
  // an expired entry that it will write again.
  std::chrono::milliseconds mOutageGrace{ 2200 };
  store_restore_settings mRestores;
};

struct store_reader_hooks
{
  // Returns the time since the machine was booted.
  std::function<boot_time()> mNow;
  // Returns the gateways to query, in order, before this one reads the store.
  std::function<std::vector<vm_id>()> mReaders;
  // Whether other gateways may query this one.
  std::function<bool()> mIsReader;
  // Queries a gateway's store summary. Passes std::nullopt to the callback if
  // the gateway does not answer or has read nothing.
  std::function<void(const vm_id&, summary_callback)> mQuerySummary;
  // Fetches a gateway's store snapshot, relative to the given versions. Without
  // a name, any gateway will do. Passes std::nullopt to the callback on
  // failure.
  std::function<
    void(const std::optional<vm_id>&, const known_versions&, snapshot_callback)>
    mFetch;
  // Called when the store has come back from an older copy, which may lack what
  // this gateway has written there.
  std::function<void()> mRestored;
  // Called when the routing or the upstreams have changed, so that the other
  // gateways can be notified.
  std::function<void()> mChanged;
};

// Reads the store in rounds. Uses full reads instead of watches: a watch may
// report a change late, and it proves nothing about the time before its answer.
class store_reader
{
public:
  // All references must outlive the reader.
  store_reader(platform_api& aPlatform,
               timer_service& aTimers,
               const protocol& aProtocol,
               routing_state& aRouting,
               upstream_directory& aUpstreams,
               store_reader_settings aSettings,
               store_reader_hooks aHooks);
  ~store_reader();
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  void Start();

  // Processes another gateway's summary. Begins a round at once if that gateway
  // has newer contents.
  void OnPeerSummary(const store_summary& aSummary);

  // Returns a snapshot for a gateway that has aKnown, or nothing until both the
  // routing and the upstreams have been read once. Summary, too, returns
  // nothing until then.
  std::optional<store_snapshot> Snapshot(
    const known_versions& aKnown = {}) const;
  std::optional<store_summary> Summary() const;

  // Names of the upstreams' entries that could not be read when this gateway
  // last read the store itself.
  std::vector<std::string> UnreadableEntries() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
