// Log lines and metrics of attempts and requests.
#include "forward_record.hpp"

#include "sapphirespar/base/log.hpp"

#include <cmath>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

template<class Duration>
std::int64_t
ToMs(Duration aTime)
{
  return std::chrono::duration_cast<milliseconds>(aTime).count();
}

std::string_view
ToText(answered_part aPart)
{
  switch (aPart) {
    case answered_part::Nothing:
      return "nothing";
    case answered_part::Part:
      return "part";
    case answered_part::Whole:
      break;
  }
  return "whole";
}

// Returns -1 without a limit.
double
RateForLog(std::optional<double> aRate)
{
  return aRate && std::isfinite(*aRate) ? *aRate : -1;
}

} // namespace

void
RecordAttempt(const forward_services& aServices,
              const forwarded_request& aForwarded,
              const running_attempt& aAttempt,
              const attempt_result& aResult)
{
  const auto& target = aAttempt.mTarget;
  const auto& upstream = *target.mUpstream;
  LogEvent(log_level::Info,
           "attempt",
           { { "request", aForwarded.mInfo.mId },
             { "upstream", upstream.mEntry.mId.mText },
             { "software", upstream.mEntry.mSoftware },
             { "resumes_after", aAttempt.mResumesAfter },
             { "events", static_cast<int>(aAttempt.mHasEvents) },
             { "parts", PartsText(aForwarded.mSharedParts) },
             { "fingerprint", PartsText({ &aForwarded.mFingerprint, 1 }) },
             { "end", ToText(aResult.mEnd) },
             { "status", aResult.mStatus },
             { "reused", static_cast<int>(aResult.mReusedConnection) },
             { "predicted_ms", static_cast<int>(target.mPredictedMs) },
             { "took_ms", ToMs(steady_clock::now() - aAttempt.mStarted) },
             { "own_running", upstream.mOwnLoad.mRunning },
             { "others_running", upstream.mPeerLoad.mRunning },
             { "framing",
               aResult.mFraming ? wire::ToText(*aResult.mFraming) : "none" },
             { "unfinished_bytes", aResult.mUnfinishedBytes },
             { "foreign_answers", aAttempt.mForeignAnswers },
             { "silent_ms", aResult.mSilence.count() },
             { "left_ms", LeftUntil(aForwarded.mDeadline).count() },
             { "accepted_rate", RateForLog(aResult.mAcceptedRate) },
             { "detail", aResult.mDetail } });
  aServices.mMetrics.Count("gateway_attempts_total",
                           { { "end", ToText(aResult.mEnd) } });
}

void
RecordRequest(const forward_services& aServices,
              const forwarded_request& aForwarded,
              const relay_progress& aProgress,
              const request_outcome& aOutcome,
              std::optional<boot_clock::duration> aRoutingAge)
{
  const auto now = steady_clock::now();
  const auto& route = aForwarded.mRoute;
  const std::string_view name = route ? std::string_view(route->mName) : "";
  const auto first = aProgress.mFirstSent.value_or(now);
  LogEvent(
    log_level::Info,
    "request",
    { { "request", aForwarded.mInfo.mId },
      { "route", name },
      { "account", aForwarded.mAccount ? aForwarded.mAccount->mText : "" },
      { "pool", aForwarded.mPool },
      { "priority", aForwarded.mPriority },
      { "resumed_id", aForwarded.mInfo.mResumedId },
      { "resumes_after", aForwarded.mInfo.mLastEventId },
      { "tokens", aForwarded.mInfo.mPromptTokens },
      { "parts", PartsText(aForwarded.mSharedParts) },
      { "fingerprint", PartsText({ &aForwarded.mFingerprint, 1 }) },
      { "outcome", aOutcome.mName },
      { "status", aOutcome.mStatus },
      { "answered", ToText(aOutcome.mAnswered) },
      { "sends", aProgress.mSends },
      { "retry_after_ms", aOutcome.mRetryAfter.count() },
      { "first_ms", ToMs(first - aForwarded.mArrived) },
      { "total_ms", ToMs(now - aForwarded.mArrived) },
      { "routing_version",
        aForwarded.mRouting ? aForwarded.mRouting->Version() : 0 },
      { "routing_age_ms", aRoutingAge ? ToMs(*aRoutingAge) : -1 } });
  auto& metrics = aServices.mMetrics;
  metrics.Count("gateway_requests_total",
                { { "route", name }, { "outcome", aOutcome.mName } });
  metrics.Observe("gateway_first_event_ms",
                  { { "route", name } },
                  first - aForwarded.mArrived);
  metrics.Observe(
    "gateway_request_ms", { { "route", name } }, now - aForwarded.mArrived);
}

} // namespace sapphirespar::gateway
