// The part of a router that runs on the control thread: the blackboard, the
// controllers that read and write it, and the snapshots that they publish to
// traffic threads.
#pragma once

#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/ledger/at_most_once_guard.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/router/attempt.hpp"
#include "sapphirespar/router/dispatcher.hpp"
#include "sapphirespar/router/pause_registry.hpp"
#include "sapphirespar/router/shared_account_limiter.hpp"
#include "sapphirespar/router/snapshot.hpp"
#include "sapphirespar/router/tls_contexts.hpp"
#include "sapphirespar/router/upstream_control.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sapphirespar::router {

// All of these objects outlive the control plane.
struct control_services
{
  asio::io_context& mContext;
  snapshot_cell& mSnapshots;
  pause_registry& mPauses;
  shared_account_limiter& mAccounts;
  metrics& mMetrics;
  span_buffer& mSpans;
  const tls_contexts& mTls;
};

// Used on the control thread only, except for construction and Start, which
// happen before that thread runs, and PeerPort.
class control_plane
{
public:
  // Throws boost::system::system_error if the peer port can't be bound.
  control_plane(const router_settings& aSettings,
                process_id aSelf,
                policy::scheduler_ptr aScheduler,
                std::uint16_t aCallerPort,
                control_services aServices);
  ~control_plane();
  control_plane(const control_plane&) = delete;
  control_plane& operator=(const control_plane&) = delete;

  std::uint16_t PeerPort() const;

  // Starts the controllers.
  void Start();

  // Announces to peers and callers that this router is leaving.
  void Leave();

  const blackboard& Board() const;

  // Returns the load of each pool, summed over the upstreams that this router
  // owns.
  std::vector<pool_load> Loads() const;

  // The dispatcher may be used on any thread.
  dispatcher& Dispatcher();

  ledger::at_most_once_guard& AtMostOnce();

  upstream_control& Upstreams();

  struct state;

private:
  std::unique_ptr<state> mState;
};

} // namespace sapphirespar::router
