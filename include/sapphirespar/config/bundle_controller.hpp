// Keeps the newest accepted bundle in force on this router. A few routers of
// each data centre watch the platform; the others learn of a new version from
// notices and heartbeats of their peers, and fetch it from them.
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

// Returns the key of the object that holds the bundle in force.
object_key CurrentBundleKey();

// Returns the key of the object that holds the bytes of a large bundle. Its
// kind differs, so that watches of the current bundle do not carry it.
object_key FullBundleKey(std::string aName);

struct bundle_controller_settings
{
  // Signers trusted while no bundle is in force.
  std::vector<signer> mTrusted;
  // Number of routers in each data centre that keep a watch open.
  unsigned mWatchers = 2;
  // Time for which the platform holds one watch open.
  std::chrono::milliseconds mWatchWait{ 30000 };
  // Interval, with jitter, at which a router that is not a watcher reads the
  // platform in case no peer informs it.
  std::chrono::milliseconds mPollPeriod{ 60000 };
  // The same while no bundle is in force.
  std::chrono::milliseconds mInitialPollPeriod{ 2000 };
  // Delay after a failed platform call, with jitter. It doubles with each
  // failure in a row, up to mRetryLimit.
  std::chrono::milliseconds mRetryAfter{ 500 };
  std::chrono::milliseconds mRetryLimit{ 15000 };
  // Timeout of a bundle request to a peer. After it, another peer may be asked.
  std::chrono::milliseconds mPeerTimeout{ 1000 };
  // Seed of the random jitter and peer choice.
  std::uint64_t mSeed = 1;
};

// A router never returns to an older version. If the platform has an older one,
// the router writes the bundle in force back.
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

  // Starts to watch or poll the platform.
  void Start();

  // Asks a random peer at once, and the platform too unless a call to it is in
  // progress. Used after a pause of this process, during which a newer bundle
  // may have been accepted.
  void Refresh();

  // Reads the platform again soon, because its store has come back from an
  // older copy.
  void OnStoreRestored();

  // Handles bundle_request and bundle_push; returns false for other messages.
  bool OnPeerMessage(const process_id& aFrom, const peer_message& aMessage);

  // Requests the bundle from the sender if the sender has a newer version.
  void OnHeartbeat(const heartbeat& aHeartbeat);

  // Returns whether this router is one of the watchers of its data centre.
  bool IsWatcher() const;

  // Returns the number of bundles refused for their signature or form.
  std::uint64_t Refused() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar
