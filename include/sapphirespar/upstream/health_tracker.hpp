// Health of upstreams, judged by the requests sent to them, by probes and by
// their own load reports. Writes blackboard::mUpstreams.
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

// How one request to an upstream ended, as far as it tells of its health.
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
  // Zero when not known.
  std::chrono::milliseconds mFirstToken{ 0 };
  double mTokensPerSecond = 0;
};

// What an upstream says of itself.
struct load_report
{
  unsigned mRunning = 0;
  unsigned mQueued = 0;
  unsigned mSlots = 0;
  // Models loaded; nothing if it does not tell.
  std::optional<std::vector<model_id>> mModels;
  // Highest fencing number of an order that it has carried out.
  std::uint64_t mFence = 0;
};

// Reads the body of GET /v1/load; nothing if it is not one.
std::optional<load_report> ReadLoadReport(std::string_view aBody);

using load_callback = std::function<void(std::optional<load_report>)>;

struct health_hooks
{
  // Asks an upstream, over a fresh connection, whether it answers at all;
  // nothing means that it did not.
  std::function<void(const upstream_spec&, load_callback)> mProbe;
  // Fetches the load report of an engine.
  std::function<void(const upstream_spec&, load_callback)> mFetchLoad;
  // Whether this router fetches load reports of an upstream.
  std::function<bool(const upstream_spec&)> mIsOwner;
  // A status on the blackboard has changed its state.
  std::function<void(const upstream_id&, upstream_state)> mOnChange;
  // The models loaded at an upstream, as on the blackboard, have changed.
  std::function<void(const upstream_status&)> mOnModelsChange;
};

struct health_settings
{
  std::chrono::milliseconds mTick{ 250 };
  std::chrono::milliseconds mLoadInterval{ 1000 };
  // Consecutive failures until an upstream is probed.
  unsigned mFailureLimit = 3;
  // First wait of an ejected upstream; doubles up to the longest.
  std::chrono::milliseconds mFirstBackoff{ 1000 };
  std::chrono::milliseconds mLongestBackoff{ 60000 };
  // A speed below this, relative to the median of the peers, is slow, and
  // one above the other is slow no more.
  double mSlowBelow = 0.5;
  double mRecoveredAbove = 0.7;
  // Speeds measured longer ago are not used.
  std::chrono::seconds mSpeedRetention{ 30 };
};

// Lives on the control thread.
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

  // A request to aId has ended.
  void Observe(const upstream_id& aId, const attempt_result& aResult);

  // The bundle on the blackboard has changed; takes effect at once.
  void OnBundle();

  // Replaces the upstreams that operators drain; takes effect at once.
  void SetDrained(std::set<upstream_id> aIds);

private:
  class state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::upstream
