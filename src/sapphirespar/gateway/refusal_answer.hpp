// Answers that the gateway makes itself instead of relaying an upstream's.
// Internal to gateway.
#pragma once

#include "sapphirespar/wire/http_message.hpp"

#include <chrono>
#include <string_view>

namespace sapphirespar::gateway {

struct refusal_answer
{
  unsigned mStatus = 503;
  std::string_view mReason;
  // Zero if a retry would not help.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// The reason is the body; Retry-After is in seconds with three decimals.
wire::http_response ToResponse(const refusal_answer& aRefusal);

} // namespace sapphirespar::gateway
