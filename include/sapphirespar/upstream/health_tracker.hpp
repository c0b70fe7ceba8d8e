// Tracks the health of upstreams from the results of requests, from probes and
// from load reports. Writes blackboard::mUpstreams.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace sapphirespar::upstream {

// The result of one request to an upstream, as far as it concerns its health.
enum class attempt_end
{
  Answered,
  ConnectFailed,
  TimedOut,
  // The connection broke or the upstream answered with a server error.
  Failed,
};

struct attempt_result
{
  attempt_end mEnd = attempt_end::Answered;
  // Time to the first token. Zero if unknown; the same applies to
  // mTokensPerSecond.
  std::chrono::milliseconds mFirstToken{ 0 };
  double mTokensPerSecond = 0;
};

// The load that an upstream reports about itself.
struct load_report
{
  unsigned mRunning = 0;
  unsigned mQueued = 0;
  unsigned mSlots = 0;
  // Models loaded; unset if the report does not list them.
  std::optional<std::vector<model_id>> mModels;
  // Highest fencing number among the orders that the upstream has carried out.
  std::uint64_t mFence = 0;
};

// Parses the body of an answer to GET /v1/load. Returns nothing if it is not a
// JSON object; missing or malformed fields keep their defaults.
std::optional<load_report> ReadLoadReport(std::string_view aBody);

using load_callback = std::function<void(std::optional<load_report>)>;

struct health_hooks
{
  // Probes an upstream over a new connection. The callback gets nothing if the
  // upstream does not answer.
  std::function<void(const upstream_spec&, load_callback)> mProbe;
  // Fetches the load report of an engine.
  std::function<void(const upstream_spec&, load_callback)> mFetchLoad;
  // Returns whether this router owns an upstream and so fetches its load
  // reports.
  std::function<bool(const upstream_spec&)> mIsOwner;
  // Called after an upstream's state on the blackboard has changed.
  std::function<void(const upstream_id&, upstream_state)> mOnChange;
  // Called after the list of models loaded at an upstream has changed on the
  // blackboard.
  std::function<void(const upstream_status&)> mOnModelsChange;
};

struct health_settings
{
  // Interval at which ejected upstreams are checked for a due probe.
  std::chrono::milliseconds mTick{ 250 };
  // Interval at which speeds are compared and load reports are fetched.
  std::chrono::milliseconds mLoadInterval{ 1000 };
  // Consecutive failures after which an upstream is probed.
  unsigned mFailureLimit = 3;
  // Delay before an ejected upstream is probed again. It doubles with each
  // further ejection, up to the maximum.
  std::chrono::milliseconds mInitialBackoff{ 1000 };
  std::chrono::milliseconds mMaxBackoff{ 60000 };
  // Speeds relative to the median of the upstreams that serve the same pools.
  // An upstream becomes slow below the first and recovers above the second.
  double mSlowBelow = 0.5;
  double mRecoveredAbove = 0.7;
  // The average speed of an upstream is ignored if its last measurement is
  // older than this.
  std::chrono::seconds mSpeedRetention{ 30 };
};

// All calls must be made on the control thread.
class health_tracker
{
public:
  health_tracker(blackboard& aBoard,
                 timer_service& aTimers,
                 health_hooks aHooks,
                 health_settings aSettings = {});
  ~health_tracker();
  health_tracker(const health_tracker&) = delete;
  health_tracker& operator=(const health_tracker&) = delete;

  // Records the result of a request to aId. Unknown upstreams are ignored.
  void Observe(const upstream_id& aId, const attempt_result& aResult);

  // Must be called after the bundle on the blackboard has changed; takes effect
  // at once.
  void OnBundle();

  // Replaces the set of upstreams that operators drain; takes effect at once.
  void SetDrained(std::set<upstream_id> aIds);

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::upstream
