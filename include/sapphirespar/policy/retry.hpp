// Decides what becomes of a request whose upstream has failed it.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/policy/retry_budget.hpp"

#include <functional>

namespace sapphirespar::policy {

// Each further try meets the same cause more often than not.
inline constexpr unsigned kMaximumAttempts = 3;

// All that is known about the failed attempt.
struct failed_attempt
{
  bool mIdempotent = false;
  // Whether any byte of the request may have reached the upstream.
  bool mBytesWritten = true;
  // The upstream itself said that it did not run the request.
  bool mRejectedByUpstream = false;
  // Whether any byte of an answer has gone to the caller.
  bool mSentToCaller = false;
  // The engine can go on with this stream where it broke off.
  bool mResumeOffered = false;
  // Attempts made so far, this one included, and how many there may be.
  unsigned mAttempts = 1;
  unsigned mMaximumAttempts = kMaximumAttempts;
  steady_time mAnswerBy{};
};

enum class retry_action
{
  // Send it to another upstream from its start.
  Retry,
  // Let the engine go on after the last token that the caller has.
  Resume,
  // Tell the caller that it failed.
  GiveUp,
};

struct retry_decision
{
  retry_action mAction = retry_action::GiveUp;
  // What the caller is told after GiveUp.
  outcome mOutcome = outcome::Unknown;
};

// Spends one retry of a budget; false if there is none left.
using take_retry = std::function<bool()>;

// Retries only where a second run does no harm and helps. Spends a retry for
// each further attempt unless the upstream has seen nothing of this one.
retry_decision DecideRetry(const failed_attempt& aAttempt,
                           const take_retry& aTakeRetry,
                           steady_time aNow);
retry_decision DecideRetry(const failed_attempt& aAttempt,
                           retry_budget& aBudget,
                           steady_time aNow);

} // namespace sapphirespar::policy
