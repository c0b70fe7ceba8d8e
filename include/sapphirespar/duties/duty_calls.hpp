// Calls to the platform that one gateway makes for the whole fleet.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/duties/duty_lease.hpp"
#include "sapphirespar/model/usage_message.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::duties {

// The requests of each account that began to run in a window.
struct usage_report
{
  usage_window mWindow = 0;
  std::vector<usage_count> mCounts;

  bool operator==(const usage_report&) const = default;
};

// How many upstreams of one kind a pool should have in a data centre.
struct capacity_order
{
  std::string mPool;
  data_centre_id mDataCentre;
  // Cheaper upstreams, which the platform may take away together.
  bool mPreemptible = false;
  unsigned mUpstreams = 0;

  bool operator==(const capacity_order&) const = default;
};

enum class duty_reply
{
  Done,
  // The platform has seen a higher token, or has no upstreams to give.
  Refused,
  // Nothing was done; the platform takes no call now.
  Throttled,
  // No answer; the call may be carried out, also later.
  Unknown,
};

// Returns the reply's name in logs, such as "refused".
std::string_view ToText(duty_reply aReply);

using duty_callback = std::function<void(duty_reply)>;

struct duty_calls
{
  std::function<void(const usage_report&, fencing_token, duty_callback)>
    mReport;
  std::function<void(const capacity_order&, fencing_token, duty_callback)>
    mOrder;
};

} // namespace sapphirespar::duties
