// The rules of the door.
#include "sapphirespar/policy/admission.hpp"

#include "sapphirespar/policy/refusals.hpp"

#include <limits>

namespace sapphirespar::policy {

bool
IsLost(const class_lane& aLane,
       const queue_key& aKey,
       const queued_request& aRequest,
       steady_time aNow)
{
  return aLane.IsFirstTier() ? aRequest.mAnswerBy <= aNow
                             : aKey.mStartBy <= aNow;
}

std::chrono::milliseconds
RetryAfter(const door_view& aDoor, steady_duration aSpare)
{
  const queue_key last{ aDoor.mNow + aSpare,
                        std::numeric_limits<std::uint64_t>::max() };
  const auto wait = PredictWait(
    aDoor.mPool, aDoor.mLane, last, aDoor.mMembers, aDoor.mEstimate);
  return std::chrono::ceil<std::chrono::milliseconds>(wait - aSpare);
}

std::optional<rejection>
RefuseAtDoor(const door_view& aDoor,
             const queue_key& aKey,
             const queued_request& aRequest)
{
  const auto spare = aKey.mStartBy - aDoor.mNow;
  if (IsLost(aDoor.mLane, aKey, aRequest, aDoor.mNow)) {
    return RefuseTooLate(aRequest, RetryAfter(aDoor, {}));
  }
  if (IsFull(aDoor.mLane, aRequest.mAccount)) {
    return RefuseQueueFull(aRequest, RetryAfter(aDoor, spare));
  }
  if (aDoor.mLane.IsFirstTier() ||
      MayTakeSlot(aDoor.mPool, aDoor.mLane, aDoor.mMembers, aDoor.mNow)) {
    return std::nullopt;
  }
  const auto wait = PredictWait(
    aDoor.mPool, aDoor.mLane, aKey, aDoor.mMembers, aDoor.mEstimate);
  if (wait <= spare) {
    return std::nullopt;
  }
  return RefuseTooLate(aRequest, RetryAfter(aDoor, spare));
}

} // namespace sapphirespar::policy
