// Route, key, deadlines and pool of a request.
#include "forward_admission.hpp"

#include "placement.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/gateway/request_fingerprint.hpp"
#include "sapphirespar/policy/wait_limit.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

// An unknown route or key is refused with a final status (404 or 401) only
// while the routing is newer than this. The time covers a failed read and the
// read after it.
constexpr milliseconds kFreshRoutingAge{ 2500 };

// During shutdown a request is accepted only if it can finish before the
// process ends: these are the times that the longest streams and plain answers
// take.
constexpr milliseconds kLongestStream{ 5000 };
constexpr milliseconds kLongestPlainAnswer{ 500 };

// Time to send an answer before the process ends.
constexpr milliseconds kStopMargin{ 50 };

// Retry-After during shutdown. It is short, because the caller retries at
// another gateway.
constexpr milliseconds kRetryElsewhere{ 20 };

std::optional<refusal_answer>
CheckKey(const forward_services& aServices,
         forwarded_request& aForwarded,
         boot_time aArrival,
         bool aFresh)
{
  const auto& routing = *aForwarded.mRouting;
  const auto* account = routing.FindKey(aForwarded.mInfo.mKey);
  if (account == nullptr) {
    return aFresh ? refusal_answer{ 401, "unknown_key" }
                  : refusal_answer{ 503, "routing_stale", kRetrySoon };
  }
  if (!aServices.mRouting.IsConfirmedWithin(aArrival,
                                            aServices.mKeyFreshness)) {
    return refusal_answer{ 503, "key_not_proved", kRetryLater };
  }
  aForwarded.mAccount = account->mId;
  aForwarded.mPriority = routing.PriorityOf(*aForwarded.mRoute, account);
  return std::nullopt;
}

// Whether this process, which ends after aLeft, may end before the answer is
// complete.
bool
MayBeCutOff(milliseconds aLeft, const route& aRoute)
{
  return aLeft < (aRoute.mStreams ? kLongestStream : kLongestPlainAnswer);
}

void
ChoosePool(const forward_services& aServices, forwarded_request& aForwarded)
{
  SetPool(aForwarded,
          policy::ChoosePool(*aForwarded.mRoute, aServices.mDraw()));
  // The gateway that passed the request on has counted it.
  if (!aForwarded.mInfo.mFromGateway) {
    aServices.mRetries.CountRequest(aForwarded.mPool, aForwarded.mArrived);
  }
}

void
SetSharedParts(forwarded_request& aForwarded)
{
  std::ranges::transform(aForwarded.mInfo.mPrompt,
                         std::back_inserter(aForwarded.mSharedParts),
                         &prompt_segment::mId);
  if (!aForwarded.mSharedParts.empty()) {
    aForwarded.mSharedParts.pop_back();
  }
}

} // namespace

void
SetPool(forwarded_request& aForwarded, std::string aPool)
{
  aForwarded.mPool = std::move(aPool);
  const auto* pool = aForwarded.mRouting->FindPool(aForwarded.mPool);
  aForwarded.mEngine = pool != nullptr ? pool->mEngine : std::nullopt;
}

std::optional<refusal_answer>
CheckCrashes(const forward_services& aServices,
             const forwarded_request& aForwarded)
{
  const auto refused = aServices.mCrashGuard.Refuse(MarksOf(aForwarded));
  return refused ? std::optional(refusal_answer{
                     503, refused->mReason, refused->mRetryAfter })
                 : std::nullopt;
}

std::optional<refusal_answer>
AdmitRequest(const forward_services& aServices,
             forwarded_request& aForwarded,
             boot_time aArrival,
             std::optional<boot_clock::duration> aRoutingAge)
{
  SetSharedParts(aForwarded);
  aForwarded.mRouting = aServices.mRouting.Table();
  if (!aForwarded.mRouting) {
    return refusal_answer{ 503, "no_routing_yet", kRetrySoon };
  }
  const auto& routing = *aForwarded.mRouting;
  const bool fresh = aRoutingAge && *aRoutingAge < kFreshRoutingAge;
  const auto path = wire::SplitTarget(aForwarded.mRequest.mTarget).mPath;
  aForwarded.mRoute = routing.Match(aForwarded.mRequest.Header("Host"), path);
  if (aForwarded.mRoute == nullptr) {
    return fresh ? refusal_answer{ 404, "no_such_route" }
                 : refusal_answer{ 503, "routing_stale", kRetrySoon };
  }
  aForwarded.mPriority = routing.PriorityOf(*aForwarded.mRoute, nullptr);
  if (!aForwarded.mRoute->mPublic && routing.Config().mUsesKeys) {
    if (const auto refusal = CheckKey(aServices, aForwarded, aArrival, fresh)) {
      return refusal;
    }
  }
  const auto left = aServices.mTimeToStop();
  if (left && MayBeCutOff(*left, *aForwarded.mRoute)) {
    return refusal_answer{ 503, "leaving", kRetryElsewhere };
  }
  const auto timeout = aForwarded.mRoute->mTimeout;
  const auto deadline = aForwarded.mInfo.mDeadline.value_or(timeout);
  aForwarded.mDeadline = aForwarded.mArrived + timeout;
  if (left) {
    aForwarded.mDeadline =
      std::min(aForwarded.mDeadline, aForwarded.mArrived + *left - kStopMargin);
  }
  aForwarded.mCallerDeadline = aForwarded.mArrived + deadline;
  ChoosePool(aServices, aForwarded);
  aForwarded.mFingerprint = FingerprintOf(
    aForwarded.mRequest, aForwarded.mAccount, aForwarded.mSharedParts);
  return CheckCrashes(aServices, aForwarded);
}

std::optional<refusal_answer>
CheckWait(const forward_services& aServices,
          const forwarded_request& aForwarded,
          const attempt_target& aTarget)
{
  if (!aForwarded.mEngine) {
    return std::nullopt;
  }
  policy::expected_wait wait;
  wait.mFirstEvent =
    milliseconds(static_cast<std::int64_t>(aTarget.mPredictedMs));
  wait.mQueueing = milliseconds(static_cast<std::int64_t>(aTarget.mQueueingMs));
  wait.mSlotsTaken = aTarget.mSlotsTaken;
  wait.mInteractive = aTarget.mInteractive;
  wait.mTarget = aForwarded.mRoute->mTargetLatency;
  wait.mPatience = std::min({ CallerPatience(*aForwarded.mRoute),
                              LeftUntil(aForwarded.mDeadline),
                              LeftUntil(aForwarded.mCallerDeadline) });
  const auto retryAfter = policy::CheckWaitLimit(wait, aServices.mDraw());
  if (!retryAfter) {
    return std::nullopt;
  }
  const auto& figures = aServices.mModels.Of(aForwarded.mPool).Figures();
  aServices.mPrefill.AddRefused(
    policy::PrefillMs(figures, aTarget.mPrefillTokens),
    std::chrono::steady_clock::now());
  constexpr double kPercent = 100;
  LogEvent(
    log_level::Info,
    "wait_refused",
    { { "request", aForwarded.mInfo.mId },
      { "upstream", aTarget.mUpstream->mEntry.mId.mText },
      { "predicted_ms", wait.mFirstEvent.count() },
      { "queueing_ms", wait.mQueueing.count() },
      { "slots_taken_percent", static_cast<int>(kPercent * wait.mSlotsTaken) },
      { "others_running", aTarget.mUpstream->mPeerLoad.mRunning } });
  return refusal_answer{ 503, "too_long_a_wait", *retryAfter };
}

} // namespace sapphirespar::gateway
