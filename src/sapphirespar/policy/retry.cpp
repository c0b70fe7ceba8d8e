// The rules of retries.
#include "sapphirespar/policy/retry.hpp"

namespace sapphirespar::policy {

namespace {

// Each further try meets the same cause more often than not.
constexpr unsigned kMaximumAttempts = 3;

bool
ProvablyNotRun(const failed_attempt& aAttempt)
{
  return !aAttempt.mBytesWritten || aAttempt.mRefusedUpstream;
}

} // namespace

retry_decision
DecideRetry(const failed_attempt& aAttempt,
            retry_budget& aBudget,
            steady_time aNow)
{
  const bool notRun = ProvablyNotRun(aAttempt);
  const retry_decision giveUp{ retry_action::GiveUp,
                               notRun ? outcome::NotRun : outcome::Unknown };
  if (aNow >= aAttempt.mAnswerBy || aAttempt.mAttempts >= kMaximumAttempts) {
    return giveUp;
  }
  if (aAttempt.mSentToCaller || aAttempt.mResumeOffered) {
    const bool resumes = aAttempt.mResumeOffered && aBudget.TryTake();
    return resumes ? retry_decision{ retry_action::Resume } : giveUp;
  }
  if (notRun) {
    return { retry_action::Retry };
  }
  const bool retries = aAttempt.mIdempotent && aBudget.TryTake();
  return retries ? retry_decision{ retry_action::Retry } : giveUp;
}

} // namespace sapphirespar::policy
