// Removes requests from a waiting queue.
#include "sapphirespar/policy/waiting_queue.hpp"

#include <utility>

namespace sapphirespar::policy {

std::optional<queued_request>
Extract(waiting_queue& aQueue, const queue_key& aKey)
{
  auto node = aQueue.extract(aKey);
  if (node.empty()) {
    return std::nullopt;
  }
  return std::move(node.mapped());
}

} // namespace sapphirespar::policy
