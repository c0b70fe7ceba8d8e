// Usage counts of all gateways, merged from their messages.
#pragma once

#include "sapphirespar/model/usage_message.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace sapphirespar::duties {

// Messages may be lost, come twice or out of order: a later state of a sender
// holds all of its earlier ones, and the higher count stands.
class usage_book
{
public:
  void Merge(const usage_message& aMessage);

  // Drops the windows before aWindow, and takes no messages about them.
  void DropBefore(usage_window aWindow);

  // Returns the sums over all gateways, by account, without zeros.
  std::vector<usage_count> Sum(usage_window aWindow) const;

  // Returns whether each of these gateways has named its final counts.
  bool IsComplete(usage_window aWindow, std::span<const vm_id> aVms) const;

private:
  struct gateway_counts
  {
    std::map<account_id, std::uint64_t> mRequests;
    bool mComplete = false;
  };

  // A gateway that was restarted counts anew, so each process has an entry.
  std::map<usage_window, std::map<process_id, gateway_counts>> mWindows;
  usage_window mFirst = 0;
};

} // namespace sapphirespar::duties
