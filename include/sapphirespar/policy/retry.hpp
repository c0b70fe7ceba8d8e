// Decides whether to retry a request after a failed attempt at an upstream.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/policy/retry_budget.hpp"

#include <functional>

namespace sapphirespar::policy {

// Default limit of attempts. Further attempts usually fail for the same reason.
inline constexpr unsigned kMaximumAttempts = 3;

// State of the request after the failed attempt.
struct failed_attempt
{
  bool mIdempotent = false;
  // Whether any byte of the request may have reached the upstream.
  bool mBytesWritten = true;
  // The upstream stated that it did not run the request.
  bool mRejectedByUpstream = false;
  // Whether any byte of an answer has been sent to the caller.
  bool mSentToCaller = false;
  // The engine can resume this stream after the last token sent.
  bool mResumeOffered = false;
  // Attempts made so far, this one included, and how many there may be.
  unsigned mAttempts = 1;
  unsigned mMaximumAttempts = kMaximumAttempts;
  steady_time mAnswerBy{};
};

enum class retry_action
{
  // Send the whole request to another upstream.
  Retry,
  // Let the engine resume after the last token that the caller has received.
  Resume,
  // Report the failure to the caller.
  GiveUp,
};

struct retry_decision
{
  retry_action mAction = retry_action::GiveUp;
  // Outcome to report to the caller after GiveUp.
  outcome mOutcome = outcome::Unknown;
};

// Spends one retry of a budget; returns false if there is none left.
using take_retry = std::function<bool()>;

// Decides on a further attempt, which is made only before the deadline and up
// to the maximum number of attempts. A request is retried only if it is
// idempotent or provably did not run. A stream is only resumed, never
// restarted, if the caller has part of the answer or the engine offers to
// resume it. Each further attempt spends a retry, except after an attempt that
// sent nothing to the upstream.
retry_decision DecideRetry(const failed_attempt& aAttempt,
                           const take_retry& aTakeRetry,
                           steady_time aNow);
retry_decision DecideRetry(const failed_attempt& aAttempt,
                           retry_budget& aBudget,
                           steady_time aNow);

} // namespace sapphirespar::policy
