// What gateways tell each other of streams: which version of the upstreams'
// software began them. Streams, pools and versions are named by hashes.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace sapphirespar {

struct pool_software
{
  std::uint64_t mPool = 0;
  std::uint64_t mSoftware = 0;

  auto operator<=>(const pool_software&) const = default;
};

// The version at which a stream began in a pool.
struct stream_version
{
  std::uint64_t mStream = 0;
  std::uint64_t mPool = 0;
  std::uint64_t mSoftware = 0;
  // How long it is remembered from now on.
  std::chrono::milliseconds mLeft{ 0 };

  bool operator==(const stream_version&) const = default;
};

struct stream_message
{
  std::vector<stream_version> mTold;
  // Streams that the sender asks about.
  std::vector<std::uint64_t> mAsked;
  // Streams that the receiver asked about and the sender does not know.
  std::vector<std::uint64_t> mUnknown;
  // With unknown streams: the versions that the sender has seen listed lately,
  // and whether it has watched the list for as long as it remembers streams,
  // which is mSpan. Zero if the sender does not tell how long that is.
  std::vector<pool_software> mSeen;
  bool mSeenAll = false;
  std::chrono::milliseconds mSpan{ 0 };

  bool operator==(const stream_message&) const = default;
};

} // namespace sapphirespar
