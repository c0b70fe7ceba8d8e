// Keeps the routing and the upstreams as the platform's store has them. A few
// gateways read the store for all; the others ask these what they have read and
// how long ago, fetch it if it is new to them, and read the store themselves
// where nobody's answer is recent enough.
//
// Whole reads rather than watches: a watch may hear nothing for a while
// although something has changed, and proves nothing of the time before it
// answers.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_board.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/gossip.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespar::gateway {

// What a gateway has of the store already; zero stands for nothing.
struct store_known
{
  object_version mRoutingRevision = kNoObject;
  std::uint64_t mUpstreamsDigest = 0;
};

// What one gateway has read of the store, for another.
struct store_copy
{
  // Without its value if the other has it.
  platform_object mRouting;
  // All upstreams; none if mDelta is set.
  std::vector<upstream_entry> mUpstreams;
  // What has changed since the other's list.
  std::optional<upstream_delta> mDelta;
  // Of the list that results.
  std::uint64_t mUpstreamsDigest = 0;
  // How long before this copy was made the reads of either were sent.
  std::chrono::milliseconds mRoutingAge{ 0 };
  std::chrono::milliseconds mUpstreamsAge{ 0 };
  // The gateways that the copier knows; whoever passes the copy on adds them.
  std::vector<peer_contact> mGateways;
};

using copy_callback = std::function<void(std::optional<store_copy>)>;
using summary_callback = std::function<void(std::optional<store_summary>)>;

struct store_reader_settings
{
  // At the start, how long to wait for another gateway that has read the store.
  std::chrono::milliseconds mFirstLook{ 0 };
  // Between the starts of two rounds. A change is known everywhere after two
  // rounds and a fetch, so it takes effect within three periods.
  std::chrono::milliseconds mPeriod{ 600 };
  // Before the next round after a failed one, for readers and for others.
  std::chrono::milliseconds mReaderRetry{ 250 };
  std::chrono::milliseconds mOtherRetry{ 1000 };
  // Older answers of other gateways are of no use: a reader has missed a round.
  std::chrono::milliseconds mOldestAnswer{ 1000 };
  // Without a useful answer, the store is read when what is known here is as
  // old as this; until then readers are asked again after a while.
  std::chrono::milliseconds mOldestKnowledge{ 1100 };
  std::chrono::milliseconds mAskAgain{ 150 };
  // Entries lapse only when the store has been away for at least this long:
  // they are given three heartbeats of 1.2 s, the first of which may be nearly
  // over.
  std::chrono::milliseconds mShortestLapse{ 2000 };
  // For so long after the store is back, entries that are not listed may have
  // lapsed meanwhile and may come back.
  std::chrono::milliseconds mLapseGrace{ 2200 };
};

struct store_reader_hooks
{
  // The time since the machine was started.
  std::function<boot_time()> mNow;
  // The other gateways that are to be asked before this one reads the store, in
  // this order.
  std::function<std::vector<vm_id>()> mReaders;
  // Whether others may ask this one.
  std::function<bool()> mIsReader;
  // Asks a gateway what it has read.
  std::function<void(const vm_id&, summary_callback)> mAsk;
  // Fetches what a gateway has read beyond what is known here; of any gateway
  // if no name is given.
  std::function<
    void(const std::optional<vm_id>&, const store_known&, copy_callback)>
    mFetch;
  // Something that others have to know has changed here.
  std::function<void()> mChanged;
};

class store_reader
{
public:
  // All that is passed by reference outlives the reader.
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

  // Another gateway says what it has read; begins a round if that is new here.
  void Hear(const store_summary& aSummary);

  // What is known here, for another gateway that has aKnown; nothing before
  // both parts have been read once.
  std::optional<store_copy> Copy(const store_known& aKnown = {}) const;
  std::optional<store_summary> Summary() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
