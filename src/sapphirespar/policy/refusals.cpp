// Refusals with their texts.
#include "sapphirespar/policy/refusals.hpp"

#include <algorithm>

namespace sapphirespar::policy {

namespace {

// A missing upstream takes about this long to be replaced or come back.
constexpr std::chrono::milliseconds kNoUpstreamRetry{ 2000 };

// A caller told to come back at once would only add to the load.
constexpr std::chrono::milliseconds kLeastRetry{ 100 };

// Predictions further ahead than this say nothing.
constexpr std::chrono::milliseconds kLongestRetry{ 600000 };

} // namespace

rejection
RefuseNoUpstream(const queued_request& aRequest)
{
  return { aRequest.mId,
           { refusal_reason::NoUpstream,
             outcome::NotRun,
             "no upstream can serve pool " + aRequest.mPool,
             kNoUpstreamRetry } };
}

rejection
RefuseTooLate(const queued_request& aRequest,
              std::chrono::milliseconds aRetryAfter)
{
  return { aRequest.mId,
           { refusal_reason::TooLate,
             outcome::NotRun,
             "the answer would come too late",
             std::clamp(aRetryAfter, kLeastRetry, kLongestRetry) } };
}

rejection
RefuseQueueFull(const queued_request& aRequest,
                std::chrono::milliseconds aRetryAfter)
{
  return { aRequest.mId,
           { refusal_reason::QueueFull,
             outcome::NotRun,
             "too many requests of class " + aRequest.mClass.mText + " wait",
             std::clamp(aRetryAfter, kLeastRetry, kLongestRetry) } };
}

} // namespace sapphirespar::policy
