// Log lines and metrics of forwarded requests. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include "sapphirespar/base/boot_clock.hpp"

namespace sapphirespar::gateway {

// How much of an answer the caller has been sent, whoever made it.
enum class answered_part
{
  Nothing,
  Part,
  Whole,
};

// How a request ended.
struct request_outcome
{
  answered_part mAnswered = answered_part::Nothing;
  unsigned mStatus = 0;
  std::string_view mName;
  // Zero if the caller was not told to come back.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

// Writes the log line of an attempt that has ended, and counts it.
void RecordAttempt(const forward_services& aServices,
                   const forwarded_request& aForwarded,
                   const running_attempt& aAttempt,
                   const attempt_result& aResult);

// Writes the log line of a request that has ended, and its metrics.
// aRoutingAge is unset if there was no routing when it arrived.
void RecordRequest(const forward_services& aServices,
                   const forwarded_request& aForwarded,
                   const relay_progress& aProgress,
                   const request_outcome& aOutcome,
                   std::optional<boot_clock::duration> aRoutingAge);

} // namespace sapphirespar::gateway
