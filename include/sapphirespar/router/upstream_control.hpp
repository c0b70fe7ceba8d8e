// Manages upstreams on the control thread: health, drains, prefix cache hints,
// pauses and the models that engines have loaded.
#pragma once

#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/platform.hpp"
#include "sapphirespar/policy/scheduler.hpp"
#include "sapphirespar/router/attempt.hpp"
#include "sapphirespar/router/pause_registry.hpp"
#include "sapphirespar/wire/byte_stream.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace sapphirespar::router {

// All of these objects outlive the upstream control.
struct upstream_control_services
{
  blackboard& mBoard;
  platform_api& mPlatform;
  timer_service& mTimers;
  pause_registry& mPauses;
  asio::any_io_executor mExecutor;
  // If null, connections to upstreams use plain TCP.
  wire::tls_context_ptr mTls;
  // Called when the requests that upstreams may receive have changed.
  std::function<void()> mOnChange;
  // Called when only the prefix cache hints may have changed.
  std::function<void()> mOnHints;
};

// Used on the control thread only.
class upstream_control
{
public:
  explicit upstream_control(upstream_control_services aServices);
  ~upstream_control();
  upstream_control(const upstream_control&) = delete;
  upstream_control& operator=(const upstream_control&) = delete;

  // Starts to monitor upstreams. The blackboard's mSelf must be set.
  void Start();

  // Must be called when the bundle or the members on the blackboard have
  // changed.
  void OnBundle();
  void OnMembers();

  // Records the result of an attempt whose prompt prefix has the hash aPrefix.
  void Observe(const upstream_id& aUpstream,
               const attempt_result& aResult,
               std::uint64_t aPrefix);

  // Pauses or resumes a request that this router runs.
  void Pause(const policy::pause_order& aOrder);

  // Returns the current state of all upstreams of the bundle. A bundle must be
  // in force.
  std::vector<policy::upstream_view> Views() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
