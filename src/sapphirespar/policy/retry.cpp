// Rules for retrying and resuming requests.
#include "sapphirespar/policy/retry.hpp"

namespace sapphirespar::policy {

namespace {

bool
ProvablyNotRun(const failed_attempt& aAttempt)
{
  return !aAttempt.mBytesWritten || aAttempt.mRejectedByUpstream;
}

} // namespace

retry_decision
DecideRetry(const failed_attempt& aAttempt,
            const take_retry& aTakeRetry,
            steady_time aNow)
{
  const bool notRun = ProvablyNotRun(aAttempt);
  const retry_decision giveUp{ retry_action::GiveUp,
                               notRun ? outcome::NotRun : outcome::Unknown };
  if (aNow >= aAttempt.mAnswerBy ||
      aAttempt.mAttempts >= aAttempt.mMaximumAttempts) {
    return giveUp;
  }
  if (aAttempt.mSentToCaller || aAttempt.mResumeOffered) {
    const bool resumes = aAttempt.mResumeOffered && aTakeRetry();
    return resumes ? retry_decision{ retry_action::Resume } : giveUp;
  }
  if (!aAttempt.mBytesWritten) {
    return { retry_action::Retry };
  }
  const bool retries = (notRun || aAttempt.mIdempotent) && aTakeRetry();
  return retries ? retry_decision{ retry_action::Retry } : giveUp;
}

retry_decision
DecideRetry(const failed_attempt& aAttempt,
            retry_budget& aBudget,
            steady_time aNow)
{
  return DecideRetry(
    aAttempt, [&] { return aBudget.TryTake(); }, aNow);
}

} // namespace sapphirespar::policy
