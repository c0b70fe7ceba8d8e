// Applies the rules for retries to what is known of a request.
#include "after_attempt.hpp"

#include "placement.hpp"

#include "sapphirespar/policy/retry.hpp"

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

// Maximum number of upstreams tried for one request, including those that could
// not be reached.
constexpr std::size_t kMaximumTargets = 4;

} // namespace

bool
TakeRetry(const forward_services& aServices,
          const forwarded_request& aForwarded,
          const relay_progress& aProgress,
          std::size_t aTried,
          attempt_end aEnd)
{
  const auto now = std::chrono::steady_clock::now();
  if (aTried >= kMaximumTargets ||
      !aServices.mCrashGuard.MayRepeat(MarksOf(aForwarded))) {
    return false;
  }
  const auto& route = *aForwarded.mRoute;
  policy::failed_attempt failed;
  failed.mIdempotent = route.mIdempotent;
  failed.mBytesWritten = aEnd != attempt_end::NotSent;
  failed.mRejectedByUpstream = aEnd == attempt_end::NotRun;
  failed.mSentToCaller = aProgress.mBegun;
  failed.mResumeOffered =
    aProgress.mBegun && route.mResumable && !aProgress.mLastEventId.empty();
  failed.mAttempts = aProgress.mSends;
  failed.mMaximumAttempts = route.mMaximumAttempts;
  failed.mAnswerBy =
    std::min(aForwarded.mDeadline, aForwarded.mCallerDeadline) -
    kTimerTolerance;
  const auto take = [&] {
    return aServices.mRetries.TryTake(
      aForwarded.mPool, aServices.mGateways(), now);
  };
  return policy::DecideRetry(failed, take, now).mAction !=
         policy::retry_action::GiveUp;
}

refusal_answer
RefusalAfter(const forward_services& aServices,
             const forwarded_request& aForwarded,
             const relay_progress& aProgress,
             std::string_view aReason,
             std::chrono::milliseconds aRetryAfter)
{
  if (aProgress.mMayHaveRun) {
    return { 502, aReason };
  }
  if (const auto pause =
        PauseOf(aServices, aForwarded.mPool, aProgress.mSoftware)) {
    return { 503, pause->mReason, pause->mLeft };
  }
  return { 503, aReason, aRetryAfter };
}

} // namespace sapphirespar::gateway
