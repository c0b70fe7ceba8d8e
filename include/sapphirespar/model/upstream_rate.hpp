// The request rate that an upstream accepts, as a gateway has it from the
// upstream's answers.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace sapphirespar {

// The rate of an upstream that names no limit.
inline constexpr double kUnlimitedRate =
  std::numeric_limits<double>::infinity();

struct upstream_rate
{
  // The incarnation of the upstream, as in gossip_load.
  std::uint64_t mUpstream = 0;
  // Requests per second from all gateways together; kUnlimitedRate once an
  // upstream that has named a limit names none.
  double mRate = kUnlimitedRate;
  // Time since the answer that said so, rounded up.
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const upstream_rate&) const = default;
};

} // namespace sapphirespar
