// The control thread's care for upstreams: health, drains, cache hints, pauses
// and the models that engines hold.
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

// Everything named here outlives the upstream control.
struct upstream_control_services
{
  blackboard& mBoard;
  platform_api& mPlatform;
  timer_service& mTimers;
  pause_registry& mPauses;
  asio::any_io_executor mExecutor;
  // Null speaks plain TCP to upstreams.
  wire::tls_context_ptr mTls;
  // What upstreams may be given has changed.
  std::function<void()> mOnChange;
  // Only the hints of prefix caches may have changed.
  std::function<void()> mOnHints;
};

// Lives on the control thread.
class upstream_control
{
public:
  explicit upstream_control(upstream_control_services aServices);
  ~upstream_control();
  upstream_control(const upstream_control&) = delete;
  upstream_control& operator=(const upstream_control&) = delete;

  // Begins to watch; the blackboard's mSelf must be set.
  void Start();

  // The bundle or the members on the blackboard have changed.
  void OnBundle();
  void OnMembers();

  // An attempt at an upstream with this prompt prefix has ended.
  void Observe(const upstream_id& aUpstream,
               const attempt_result& aResult,
               std::uint64_t aPrefix);

  // Pauses or resumes a request that this router runs.
  void Pause(const policy::pause_order& aOrder);

  // The upstreams of the bundle as they are now.
  std::vector<policy::upstream_view> Views() const;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
