// What a caller is told about a request that did not end in a whole answer.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace sapphirespar {

enum class outcome
{
  // Provably never started at an upstream.
  NotRun,
  // May have run.
  Unknown,
  // Ran to its end.
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
  // The idempotency key has been used; the first use's fate is told.
  DuplicateKey,
  MissingKey,
  // The claim could not be made while the platform is away.
  PlatformDown,
  // This router has no bundle yet or is shutting down.
  NotReady,
};

// Returns the reason as it stands in answers, such as "queue_full".
std::string_view ToText(refusal_reason aReason);

// Returns the HTTP status that goes with a reason.
unsigned HttpStatusOf(refusal_reason aReason);

struct refusal
{
  refusal_reason mReason = refusal_reason::BadRequest;
  outcome mOutcome = outcome::NotRun;
  std::string mDetail;
  // Zero when a later try would not help.
  std::chrono::milliseconds mRetryAfter{ 0 };
};

} // namespace sapphirespar
