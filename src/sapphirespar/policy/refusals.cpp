// Builds rejections with their messages.
#include "sapphirespar/policy/refusals.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

// About the time until a missing upstream is replaced or recovers.
constexpr std::chrono::milliseconds kNoUpstreamRetryAfter{ 2000 };

// Prevents immediate retries, which would only add to the load.
constexpr std::chrono::milliseconds kMinimumRetryAfter{ 100 };

// Predictions further into the future are meaningless.
constexpr std::chrono::milliseconds kMaximumRetryAfter{ 600000 };

} // namespace

rejection
RefuseNoUpstream(const queued_request& aRequest)
{
  return { aRequest.mId,
           { refusal_reason::NoUpstream,
             outcome::NotRun,
             "no upstream can serve pool " + aRequest.mPool,
             kNoUpstreamRetryAfter } };
}

rejection
RefuseTooLate(const queued_request& aRequest,
              std::chrono::milliseconds aRetryAfter)
{
  return { aRequest.mId,
           { refusal_reason::TooLate,
             outcome::NotRun,
             "the answer would come too late",
             std::clamp(
               aRetryAfter, kMinimumRetryAfter, kMaximumRetryAfter) } };
}

rejection
RefuseQueueFull(const queued_request& aRequest,
                std::chrono::milliseconds aRetryAfter)
{
  return { aRequest.mId,
           { refusal_reason::QueueFull,
             outcome::NotRun,
             "too many requests of class " + aRequest.mClass.mText + " wait",
             std::clamp(
               aRetryAfter, kMinimumRetryAfter, kMaximumRetryAfter) } };
}

} // namespace sapphirespar::policy
