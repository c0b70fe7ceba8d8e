// A queue of waiting requests ordered by their keys.
#pragma once

#include "sapphirespar/policy/scheduler.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>

namespace sapphirespar::policy {

// Position in a queue; the smallest key is served first.
struct queue_key
{
  // Latest start with which the request can be in time.
  steady_time mStartBy{};
  // Order of arrival; unique within a scheduler.
  std::uint64_t mSequence = 0;

  auto operator<=>(const queue_key&) const = default;
};

using waiting_queue = std::map<queue_key, queued_request>;

// Removes and returns the request at aKey; nothing if there is none.
std::optional<queued_request> Extract(waiting_queue& aQueue,
                                      const queue_key& aKey);

} // namespace sapphirespar::policy
