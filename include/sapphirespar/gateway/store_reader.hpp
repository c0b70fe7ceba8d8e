// Reads the routing and the upstreams from the platform's store again and
// again, and from another gateway while the store does not answer here.
//
// Whole reads rather than watches: a watch may hear nothing for a while
// although something has changed, and proves nothing of the time before it
// answers.
#pragma once

#include "sapphirespar/base/boot_clock.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sapphirespar::gateway {

// What one gateway has read of the store, for another.
struct store_copy
{
  platform_object mRouting;
  std::vector<platform_object> mUpstreams;
  // How long before this copy was made the reads of either were sent.
  std::chrono::milliseconds mRoutingAge{ 0 };
  std::chrono::milliseconds mUpstreamsAge{ 0 };
};

using copy_callback = std::function<void(std::optional<store_copy>)>;

struct store_reader_settings
{
  // Between the starts of two reads; with a failed read and another after it,
  // well within the two seconds in which changes must take effect.
  std::chrono::milliseconds mPeriod{ 800 };
  // Before the next read after a failed one.
  std::chrono::milliseconds mRetryDelay{ 250 };
  // For so long after the store is back, entries that are not listed may have
  // lapsed meanwhile and may come back.
  std::chrono::milliseconds mLapseGrace{ 2200 };
};

struct store_reader_hooks
{
  // Asks another gateway for its copy; may be empty.
  std::function<void(copy_callback)> mAskPeer;
  // The time since the machine was started.
  std::function<boot_time()> mNow;
  // The routing has been replaced; may be empty.
  std::function<void()> mRoutingChanged;
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

  // What has been read here; nothing before both reads have succeeded once.
  std::optional<store_copy> Copy() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::gateway
