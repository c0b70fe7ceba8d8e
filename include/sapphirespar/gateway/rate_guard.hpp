// Keeps the requests of this gateway within its share of the rates that
// upstreams accept from all gateways together. Each answer of such an upstream
// names its rate; gateways tell each other what they have been told.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_alert.hpp"
#include "sapphirespar/model/upstream_rate.hpp"
#include "sapphirespar/policy/rate_share.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::gateway {

struct rate_guard_hooks
{
  // Returns the names of all gateways that may be live, this one included;
  // nothing while they are unknown.
  std::function<std::vector<vm_id>()> mGateways;
  // Returns an upstream's name for logs; nothing if it is not listed.
  std::function<std::optional<upstream_id>(std::uint64_t)> mNameOf;
  // Sends this gateway's state to all peers.
  std::function<void()> mTellPeers;
};

enum class send_permit
{
  // The upstream limits nothing.
  NotNeeded,
  Granted,
  // Nothing may be sent now.
  Refused,
};

class rate_guard
{
public:
  // The references must outlive the guard.
  rate_guard(timer_service& aTimers,
             metrics& aMetrics,
             vm_id aSelf,
             rate_guard_hooks aHooks);

  // Records the rate in an answer, kUnlimitedRate if it names none. aSent: when
  // the request was sent at the earliest.
  void OnAnswer(std::uint64_t aUpstream, double aRate, steady_time aSent);

  // Takes a permit to send one request, if one is needed.
  send_permit TakePermit(std::uint64_t aUpstream);

  // Gives back a permit whose request was not sent.
  void ReturnPermit(std::uint64_t aUpstream);

  // Returns the time until this gateway may send to the upstream; zero if it
  // may now.
  std::chrono::milliseconds TimeUntilPermit(std::uint64_t aUpstream) const;

  // Adds what another gateway was told by upstreams.
  void Merge(std::span<const upstream_rate> aReported);

  // What this gateway was told by upstreams itself, for its peers.
  std::vector<upstream_rate> Report() const;

private:
  struct told_rate
  {
    double mRate = kUnlimitedRate;
    steady_time mAt{};
  };
  struct limit
  {
    // The latest that is known of the upstream, from whatever source.
    told_rate mLatest;
    // The latest that this gateway was told by the upstream itself.
    std::optional<told_rate> mOwn;
    // When an answer or a peer last said that there is a limit.
    steady_time mConfirmed{};
    policy::rate_permits mPermits;
    // The rate of the last log line and alert.
    double mShownRate = kUnlimitedRate;
  };

  limit& Find(std::uint64_t aUpstream);
  // Replaces the latest rate.
  void Believe(std::uint64_t aUpstream,
               limit& aLimit,
               told_rate aRate,
               std::string_view aSource);
  policy::rate_share ShareOf(std::uint64_t aUpstream, double aRate) const;
  // Follows changes of the fleet, and forgets.
  void Update();
  void ShowLimits();

  timer_service& mTimers;
  metrics& mMetrics;
  const vm_id mSelf;
  const rate_guard_hooks mHooks;
  peer_alert mAlert;
  std::vector<vm_id> mGateways;
  // By upstream. An entry without a limit is kept for a while, so that an older
  // report of a peer does not bring the limit back.
  std::map<std::uint64_t, limit> mLimits;
  timer_subscription mUpdate;
};

} // namespace sapphirespar::gateway
