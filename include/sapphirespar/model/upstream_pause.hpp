// A time in which no gateway sends to an upstream, because that has turned a
// request away and tolerates only few of them.
#pragma once

#include <chrono>
#include <cstdint>

namespace sapphirespar {

struct upstream_pause
{
  // The incarnation of the upstream, as in gossip_load.
  std::uint64_t mUpstream = 0;
  // What is left of the pause.
  std::chrono::milliseconds mLeft{ 0 };

  bool operator==(const upstream_pause&) const = default;
};

} // namespace sapphirespar
