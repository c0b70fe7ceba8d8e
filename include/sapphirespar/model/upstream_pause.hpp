// What gateways tell each other of upstreams that fall over if they have to
// turn many requests away.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace sapphirespar {

// A time in which no gateway sends to an upstream that has turned a request
// away.
struct upstream_pause
{
  // The incarnation of the upstream, as in gossip_load.
  std::uint64_t mUpstream = 0;
  // What is left of the pause.
  std::chrono::milliseconds mLeft{ 0 };

  bool operator==(const upstream_pause&) const = default;
};

// A pool to whose brittle upstreams gateways send only within their shares.
struct rationed_pool
{
  // Hash of the pool's name; the same at all gateways.
  std::uint64_t mPool = 0;
  // Rejections a second that each upstream tolerates.
  double mTolerated = 0;
  // How long that holds if nothing confirms it.
  std::chrono::milliseconds mLeft{ 0 };
  // Mean time for which requests take a slot; zero if unknown.
  std::chrono::milliseconds mWork{ 0 };

  bool operator==(const rationed_pool&) const = default;
};

struct brittle_report
{
  std::vector<upstream_pause> mPauses;
  std::vector<rationed_pool> mPools;

  bool operator==(const brittle_report&) const = default;
};

} // namespace sapphirespar
