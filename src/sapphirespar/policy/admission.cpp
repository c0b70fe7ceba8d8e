// Checks new requests against queue limits and predicted waiting times.
#include "sapphirespar/policy/admission.hpp"

#include "sapphirespar/policy/refusals.hpp"

#include <limits>

namespace sapphirespar::policy {

bool
IsExpired(const class_lane& aLane,
          const queue_key& aKey,
          const queued_request& aRequest,
          steady_time aNow)
{
  return aLane.IsFirstTier() ? aRequest.mAnswerBy <= aNow
                             : aKey.mStartBy <= aNow;
}

std::chrono::milliseconds
RetryAfter(const admission_view& aView, steady_duration aSpare)
{
  const queue_key last{ aView.mNow + aSpare,
                        std::numeric_limits<std::uint64_t>::max() };
  const auto wait = PredictWait(
    aView.mPool, aView.mLane, last, aView.mMembers, aView.mEstimate);
  return std::chrono::ceil<std::chrono::milliseconds>(wait - aSpare);
}

std::optional<rejection>
CheckAdmission(const admission_view& aView,
               const queue_key& aKey,
               const queued_request& aRequest)
{
  const auto spare = aKey.mStartBy - aView.mNow;
  if (IsExpired(aView.mLane, aKey, aRequest, aView.mNow)) {
    return RefuseTooLate(aRequest, RetryAfter(aView, {}));
  }
  if (IsFull(aView.mLane, aRequest.mAccount)) {
    return RefuseQueueFull(aRequest, RetryAfter(aView, spare));
  }
  if (aView.mLane.IsFirstTier() ||
      MayTakeSlot(aView.mPool, aView.mLane, aView.mMembers, aView.mNow)) {
    return std::nullopt;
  }
  const auto wait = PredictWait(
    aView.mPool, aView.mLane, aKey, aView.mMembers, aView.mEstimate);
  if (wait <= spare) {
    return std::nullopt;
  }
  return RefuseTooLate(aRequest, RetryAfter(aView, spare));
}

} // namespace sapphirespar::policy
