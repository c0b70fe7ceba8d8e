// Spares upstreams that fall over if they have to turn too many requests away.
// After such an upstream has turned one away, no gateway sends to it for a
// while, and then each gateway one request at a time until it is likely to have
// been let in. Gateways tell each other at once.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/gateway/peer_alert.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/model/upstream_pause.hpp"

#include <chrono>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace sapphirespar::gateway {

struct brittle_hooks
{
  // Returns a listed upstream; null if it is not listed.
  std::function<upstream_ptr(std::uint64_t aKey)> mFind;
  // Returns a random number from 0 to 1.
  std::function<double()> mDraw;
  // Sends this gateway's state to all peers.
  std::function<void()> mTellPeers;
};

class brittle_guard
{
public:
  // aTimers must outlive the guard.
  brittle_guard(timer_service& aTimers, brittle_hooks aHooks);

  // Records that an upstream, which tolerates so many rejections a second, has
  // turned a request away.
  void OnRejected(upstream& aUpstream, double aTolerated);

  // Records that a request is about to be written to an upstream.
  void OnSend(upstream& aUpstream) const;

  // Takes over the pauses that another gateway reports.
  void Merge(std::span<const upstream_pause> aReported);

  // The pauses that this gateway has begun, for other gateways.
  std::vector<upstream_pause> Report() const;

private:
  struct own_pause
  {
    std::uint64_t mUpstream = 0;
    steady_time mUntil{};
  };

  // Sends nothing to the upstream for aPause, and a random part of it more, so
  // that gateways don't return together.
  void Pause(upstream& aUpstream,
             std::chrono::milliseconds aPause,
             std::string_view aSource);

  timer_service& mTimers;
  const brittle_hooks mHooks;
  // Pauses after rejections of this gateway's requests; at most one for each
  // upstream.
  std::vector<own_pause> mOwn;
  peer_alert mAlert;
};

} // namespace sapphirespar::gateway
