// Outcomes and refusals that are reported to callers whose requests did not end
// with a complete answer.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace sapphirespar {

enum class outcome
{
  // The request provably never started at an upstream.
  NotRun,
  // The request may have run.
  Unknown,
  // The request ran to completion.
  Done,
};

// Returns "not_run", "unknown" or "done".
std::string_view ToText(outcome aOutcome);

enum class refusal_reason
{
  BadRequest,
  Unauthorized,
  ClassNotAllowed,
  NoSuchClass,
  NoSuchModel,
  NoSuchService,
  AccountLimit,
  QueueFull,
  // The request could not have been answered in time.
  TooLate,
  NoUpstream,
  UpstreamFailed,
  UpstreamTimeout,
  // The idempotency key has been used before. The refusal reports the outcome
  // of the first request with the key.
  DuplicateKey,
  MissingKey,
  // The key could not be claimed because the platform is unavailable.
  PlatformDown,
  // This router has no bundle yet or is shutting down.
  NotReady,
};

// Returns the reason's name in answers, such as "queue_full".
std::string_view ToText(refusal_reason aReason);

// Returns the HTTP status of answers with this reason.
unsigned HttpStatusOf(refusal_reason aReason);

struct refusal
{
  refusal_reason mReason = refusal_reason::BadRequest;
  outcome mOutcome = outcome::NotRun;
  std::string mDetail;
  // Zero if a retry would not help.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

} // namespace sapphirespar
