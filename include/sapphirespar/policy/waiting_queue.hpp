// Requests that wait, in an order given by their keys.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace sapphirespar::policy {

// Position in a queue: the smaller goes first.
struct queue_key
{
  steady_time mStartBy{};
  // Order of arrival, unique at one scheduler.
  std::uint64_t mSequence = 0;

  auto operator<=>(const queue_key&) const = default;
};

using waiting_queue = std::map<queue_key, queued_request>;

// Removes and returns the request at aKey; nothing if there is none.
std::optional<queued_request> TakeOut(waiting_queue& aQueue,
                                      const queue_key& aKey);

} // namespace sapphirespar::policy
