// Keeps prompt parts that crash upstreams away from them: gives what happens to
// requests to policy/crash_suspects.hpp, logs its conclusions and tells peers.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_alert.hpp"
#include "sapphirespar/policy/crash_suspects.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sapphirespar::gateway {

struct part_guard_hooks
{
  // Returns whether this gateway makes the trials of a quarantined part.
  policy::crash_suspects::trial_hook mMakesTrials;
  // Sends this gateway's state to all peers.
  std::function<void()> mTellPeers;
};

class part_guard
{
public:
  // The references must outlive the guard.
  part_guard(timer_service& aTimers,
             metrics& aMetrics,
             part_guard_hooks aHooks);

  // Records that an upstream broke the connection of a request. aAtBegin: after
  // the head and before any event of the answer.
  void OnUpstreamLost(const policy::shared_parts& aParts,
                      std::uint64_t aUpstream,
                      bool aAtBegin);

  // Records that an answer went on after its begin, or is complete.
  void OnSurvival(const policy::shared_parts& aParts);

  // Records that bytes came from an upstream.
  void OnSign(std::uint64_t aUpstream);

  // Returns the Retry-After of a request that must not be sent.
  std::optional<std::chrono::milliseconds> Refuse(
    const policy::shared_parts& aParts);

  // Returns whether a request that lost its upstream may be sent to another.
  bool MayRepeat(const policy::shared_parts& aParts) const;

  void Merge(const crash_report& aReport);
  crash_report Report() const;

private:
  void Update();
  void ShowQuarantines();

  timer_service& mTimers;
  metrics& mMetrics;
  const part_guard_hooks mHooks;
  policy::crash_suspects mSuspects;
  peer_alert mAlert;
  timer_subscription mUpdate;
};

// Returns the identifiers in hexadecimal, separated by commas; those beyond the
// eighth are left out.
std::string PartsText(std::span<const std::uint64_t> aIds);

} // namespace sapphirespar::gateway
