// The requests that upstreams began to run for one gateway, by window of the
// wall clock and client account.
#pragma once

#include "sapphirespar/base/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace sapphirespar {

// Windows are numbered from the start of 1970.
using usage_window = std::int64_t;

struct usage_count
{
  account_id mAccount;
  std::uint64_t mRequests = 0;

  bool operator==(const usage_count&) const = default;
};

// Counts since the start of a window, not since the last message, so that a
// message that arrives twice or late changes nothing.
struct usage_message
{
  process_id mSender;
  usage_window mWindow = 0;
  // The window is over, and this message names the final counts.
  bool mComplete = false;
  // The accounts of one part of the message, if it was too large for one
  // datagram.
  std::vector<usage_count> mCounts;

  bool operator==(const usage_message&) const = default;
};

} // namespace sapphirespar
