// Keeps the newest accepted bundle in force on this router. Few routers of a
// data centre watch the platform; the rest learn of a new version from their
// peers' heartbeats and fetch it from them. A router only moves forward.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/peer_message.hpp"
#include "sapphirespar/model/platform.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// The one object that holds the bundle in force.
object_key CurrentBundleKey();

// The object that holds the bytes of a large bundle. It has another kind, so
// that watches of the current bundle do not carry it.
object_key FullBundleKey(std::string aName);

struct bundle_controller_settings
{
  // Who may sign while no bundle is in force.
  std::vector<signer> mTrusted;
  // Routers of a data centre that hold a watch open.
  unsigned mWatchers = 2;
  std::chrono::milliseconds mWatchWait{ 30000 };
  // Every router reads the platform this often, with jitter, should neither
  // watch nor heartbeat reach it.
  std::chrono::milliseconds mPollPeriod{ 60000 };
  // While no bundle is in force.
  std::chrono::milliseconds mInitialPollPeriod{ 2000 };
  std::chrono::milliseconds mRetryAfter{ 500 };
  std::chrono::milliseconds mRetryLimit{ 15000 };
  // A peer that was asked for a bundle and stays silent this long is passed
  // over for another.
  std::chrono::milliseconds mPeerTimeout{ 1000 };
  // Seeds the jitter.
  std::uint64_t mSeed = 1;
};

class bundle_controller
{
public:
  // Called whenever a newer bundle has come into force.
  using accepted_hook = std::function<void(bundle_ptr)>;

  bundle_controller(platform_api& aPlatform,
                    peer_network& aNetwork,
                    timer_service& aTimers,
                    blackboard& aBoard,
                    bundle_controller_settings aSettings,
                    accepted_hook aOnAccepted);
  ~bundle_controller();
  bundle_controller(const bundle_controller&) = delete;
  bundle_controller& operator=(const bundle_controller&) = delete;

  // Begins to watch or poll.
  void Start();

  // Asks the platform and a peer now, as after a pause of this process, during
  // which a newer bundle may have been accepted.
  void Refresh();

  // Takes bundle_request and bundle_push; returns false for other messages.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  void OnHeartbeat(const heartbeat& aHeartbeat);

  // Whether this router is one of the watchers of its data centre.
  bool IsWatcher() const;

  // Bundles refused for their signature or form since the start.
  std::uint64_t Refused() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
