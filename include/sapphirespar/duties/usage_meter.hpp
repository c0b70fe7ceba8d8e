// Counts the requests that upstreams begin to run for this gateway, and makes
// the messages that tell them to the gateways that keep the fleet's counts.
#pragma once

#include "sapphirespar/model/usage_message.hpp"
#include "sapphirespar/policy/fleet_clock.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <vector>

namespace sapphirespar::duties {

// Windows follow each other without gaps from the start of 1970.
usage_window WindowAt(policy::wall_time aTime,
                      std::chrono::milliseconds aLength);
policy::wall_time WindowEnd(usage_window aWindow,
                            std::chrono::milliseconds aLength);

class usage_meter
{
public:
  usage_meter(process_id aSelf, std::chrono::milliseconds aWindowLength);

  // Records that a request of the account began to run at aTime.
  void Count(const account_id& aAccount, policy::wall_time aTime);

  // Returns the counts of all windows after aFixed, which has been reported,
  // and forgets the others. An ended window without requests is among them, as
  // its end has to be known.
  std::vector<usage_message> Messages(policy::wall_time aNow,
                                      usage_window aFixed);

private:
  const process_id mSelf;
  const std::chrono::milliseconds mWindowLength;
  std::map<usage_window, std::map<account_id, std::uint64_t>> mWindows;
};

} // namespace sapphirespar::duties
