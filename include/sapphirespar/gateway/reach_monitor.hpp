// Decides whether this gateway has lost its path to all upstreams. A failed or
// silent connection raises the question; connections to other upstreams that
// are opened for this purpose, and closed at once, answer it.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <vector>

namespace sapphirespar::gateway {

struct reach_hooks
{
  // Connects to an upstream, closes the connection and calls the callback with
  // whether it was established.
  std::function<void(const upstream_entry&, std::function<void(bool)>)>
    mConnect;
  // The upstreams that accept requests, in random order.
  std::function<std::vector<upstream_ptr>()> mUpstreams;
  // Called when the belief has changed.
  std::function<void()> mChanged;
};

class reach_monitor
{
public:
  // The references must outlive the monitor.
  reach_monitor(timer_service& aTimers, metrics& aMetrics, reach_hooks aHooks);

  // Whether no upstream can be reached, as far as is known.
  bool IsCutOff() const { return mCutOff; }

  // Whether that is in question and an answer is due within about a second.
  bool IsProbing() const { return mProbes > 0; }

  // Records that an upstream could not be connected to, broke a connection or
  // is silent.
  void Suspect();

  // Records that bytes came from an upstream.
  void OnSign();

  // A request waits for an upstream from the first call until the second one.
  void BeginWait();
  void EndWait();

private:
  void Tick();
  void StartRound();
  void Probe(const upstream_ptr& aUpstream);
  void OnProbe(bool aConnected);
  void EndRound();
  void Set(bool aCutOff);

  timer_service& mTimers;
  metrics& mMetrics;
  const reach_hooks mHooks;
  bool mCutOff = false;
  // Connections of the current round that are being opened, those that could
  // not be, and whether one could.
  unsigned mProbes = 0;
  unsigned mFailures = 0;
  bool mConnected = false;
  // Rounds in a row without any connection.
  unsigned mFailedRounds = 0;
  steady_time mLastRound{};
  steady_time mLastSign{};
  // Requests that wait for upstreams.
  unsigned mWaiting = 0;
  timer_subscription mTick;
};

// Returns a hook for mConnect.
std::function<void(const upstream_entry&, std::function<void(bool)>)>
MakeConnectHook(boost::asio::any_io_executor aExecutor);

} // namespace sapphirespar::gateway
