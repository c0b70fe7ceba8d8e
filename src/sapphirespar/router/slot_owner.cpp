// Queues requests, and grants and revokes slots.
#include "slot_owner.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;

milliseconds
ToMilliseconds(steady_duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

// Returns the keys of the values that satisfy aPredicate, so that the map may
// be changed while the keys are processed.
template<class Map, class Predicate>
std::vector<request_id>
KeysWhere(const Map& aMap, Predicate aPredicate)
{
  std::vector<request_id> keys;
  for (const auto& [key, value] : aMap) {
    if (aPredicate(value)) {
      keys.push_back(key);
    }
  }
  // Sorted because the iteration order of the map differs between runs.
  std::ranges::sort(keys);
  return keys;
}

// Whether the process has died or restarted according to the board.
bool
HasEnded(const process_id& aProcess, const blackboard& aBoard)
{
  const auto found = aBoard.mMembers.find(aProcess.mVm);
  if (found == aBoard.mMembers.end()) {
    return false;
  }
  return found->second.mState == member_state::Dead ||
         found->second.mProcess.mIncarnation > aProcess.mIncarnation;
}

policy::completion
ToCompletion(const slot_release& aRelease)
{
  policy::completion completion;
  completion.mRequest = aRelease.mRequest;
  completion.mSucceeded = aRelease.mSucceeded;
  completion.mTokens = aRelease.mTokens;
  completion.mFirstToken = milliseconds(aRelease.mFirstTokenMs);
  completion.mTotal = milliseconds(aRelease.mTotalMs);
  return completion;
}

// A grant is revoked if it has not been confirmed for this many check periods.
constexpr int kMaxUnconfirmedChecks = 4;

} // namespace

policy::queued_request
ToQueued(const slot_request& aRequest, steady_time aNow)
{
  policy::queued_request queued;
  queued.mId = aRequest.mRequest;
  queued.mClass = aRequest.mClass;
  queued.mAccount = aRequest.mAccount;
  queued.mPool = aRequest.mPool;
  queued.mPromptTokens = aRequest.mPromptTokens;
  queued.mMaximumTokens = aRequest.mMaximumTokens;
  queued.mPrefixHash = aRequest.mPrefixHash;
  queued.mArrival = aNow;
  queued.mFirstTokenBy = aNow + milliseconds(aRequest.mFirstTokenDueMs);
  queued.mAnswerBy = aNow + milliseconds(aRequest.mAnswerDueMs);
  queued.mExcluded = aRequest.mExcluded;
  return queued;
}

slot_request
ToMessage(const policy::queued_request& aRequest, steady_time aNow)
{
  slot_request message;
  message.mRequest = aRequest.mId;
  message.mClass = aRequest.mClass;
  message.mAccount = aRequest.mAccount;
  message.mPool = aRequest.mPool;
  message.mPromptTokens = aRequest.mPromptTokens;
  message.mMaximumTokens = aRequest.mMaximumTokens;
  message.mPrefixHash = aRequest.mPrefixHash;
  message.mFirstTokenDueMs =
    ToMilliseconds(aRequest.mFirstTokenBy - aNow).count();
  message.mAnswerDueMs = ToMilliseconds(aRequest.mAnswerBy - aNow).count();
  message.mExcluded = aRequest.mExcluded;
  return message;
}

slot_owner::slot_owner(policy::scheduler_ptr aScheduler,
                       slot_broker_settings aSettings,
                       slot_sender aSend)
  : mScheduler(std::move(aScheduler))
  , mSettings(aSettings)
  , mSend(std::move(aSend))
{
}

void
slot_owner::Configure(bundle_ptr aBundle)
{
  mScheduler->Configure(std::move(aBundle));
}

void
slot_owner::SetUpstreams(std::span<const policy::upstream_view> aUpstreams,
                         steady_time aNow)
{
  ApplyDecisions(mScheduler->SetUpstreams(aUpstreams, aNow), aNow);
}

void
slot_owner::OnRequest(const process_id& aFrom,
                      const slot_request& aRequest,
                      steady_time aNow)
{
  const auto& id = aRequest.mRequest;
  if (const auto grant = mGrants.find(id); grant != mGrants.end()) {
    const auto& upstream = grant->second.mUpstream;
    if (std::ranges::find(aRequest.mExcluded, upstream) ==
        aRequest.mExcluded.end()) {
      grant->second.mConfirmedAt = aNow;
      mSend(aFrom.mVm, slot_grant{ id, upstream });
      return;
    }
    // The request has failed at this upstream, and its release was lost.
    RevokeGrant(id, aNow);
  }
  const bool isNew = !mWaiting.contains(id);
  mWaiting[id] = { aFrom, aNow };
  if (isNew) {
    ApplyDecisions(mScheduler->Submit(ToQueued(aRequest, aNow), aNow), aNow);
  }
  if (mWaiting.contains(id)) {
    mSend(aFrom.mVm, slot_waiting{ id });
  }
}

void
slot_owner::OnRelease(const process_id& aFrom,
                      const slot_release& aRelease,
                      steady_time aNow)
{
  const auto& id = aRelease.mRequest;
  RemoveWaiting(id, aNow);
  const auto grant = mGrants.find(id);
  if (grant == mGrants.end() || grant->second.mHolder != aFrom) {
    return;
  }
  mGrants.erase(grant);
  ApplyDecisions(mScheduler->Finish(ToCompletion(aRelease), aNow), aNow);
}

void
slot_owner::OnHolding(const process_id& aFrom,
                      const slot_holding& aHolding,
                      steady_time aNow)
{
  const auto& id = aHolding.mRequest.mRequest;
  if (const auto grant = mGrants.find(id); grant != mGrants.end()) {
    grant->second.mConfirmedAt = aNow;
    return;
  }
  RemoveWaiting(id, aNow);
  mScheduler->Adopt(
    ToQueued(aHolding.mRequest, aNow), aHolding.mUpstream, aNow);
  mGrants[id] = { aFrom, aHolding.mUpstream, aNow, aNow };
}

std::size_t
slot_owner::Reclaim(const blackboard& aBoard, steady_time aNow)
{
  const auto ended = [&](const auto& aEntry) {
    return HasEnded(aEntry.mHolder, aBoard);
  };
  for (const auto& id : KeysWhere(mWaiting, ended)) {
    RemoveWaiting(id, aNow);
  }
  const auto lost = KeysWhere(mGrants, ended);
  for (const auto& id : lost) {
    RevokeGrant(id, aNow);
  }
  return lost.size();
}

void
slot_owner::Tick(steady_time aNow)
{
  const auto stale = [&](const waiting_entry& aEntry) {
    return aNow - aEntry.mRenewedAt >= mSettings.mWaitingExpiry;
  };
  for (const auto& id : KeysWhere(mWaiting, stale)) {
    RemoveWaiting(id, aNow);
  }
  CheckGrants(aNow);
  ApplyDecisions(mScheduler->Tick(aNow), aNow);
}

void
slot_owner::CheckGrants(steady_time aNow)
{
  const auto due = [&](const grant_entry& aEntry) {
    const auto latest = std::max(aEntry.mConfirmedAt, aEntry.mCheckedAt);
    return aNow - latest >= mSettings.mGrantCheckPeriod;
  };
  for (const auto& id : KeysWhere(mGrants, due)) {
    auto& grant = mGrants.at(id);
    const auto limit = kMaxUnconfirmedChecks * mSettings.mGrantCheckPeriod;
    if (aNow - grant.mConfirmedAt >= limit) {
      RevokeGrant(id, aNow);
      continue;
    }
    // The holder answers a repeated grant with a confirmation or a release.
    grant.mCheckedAt = aNow;
    mSend(grant.mHolder.mVm, slot_grant{ id, grant.mUpstream });
  }
}

std::vector<pool_load>
slot_owner::Loads() const
{
  std::vector<pool_load> loads;
  for (const auto& count : mScheduler->Counts()) {
    loads.push_back(
      { count.mPool, count.mSlots, count.mOutstanding, count.mQueued });
  }
  return loads;
}

void
slot_owner::ApplyDecisions(const policy::decisions& aDecisions,
                           steady_time aNow)
{
  for (const auto& rejection : aDecisions.mRejections) {
    Refuse(rejection);
  }
  for (const auto& pause : aDecisions.mPauses) {
    const auto grant = mGrants.find(pause.mRequest);
    if (grant != mGrants.end()) {
      mSend(grant->second.mHolder.mVm,
            slot_pause{ pause.mRequest, pause.mResume });
    }
  }
  for (const auto& assignment : aDecisions.mAssignments) {
    Grant(assignment, aNow);
  }
}

void
slot_owner::Grant(const policy::assignment& aAssignment, steady_time aNow)
{
  const auto waiting = mWaiting.extract(aAssignment.mRequest);
  if (waiting.empty()) {
    return;
  }
  const auto& holder = waiting.mapped().mHolder;
  mGrants[aAssignment.mRequest] = { holder, aAssignment.mUpstream, aNow, aNow };
  mSend(holder.mVm, slot_grant{ aAssignment.mRequest, aAssignment.mUpstream });
}

void
slot_owner::Refuse(const policy::rejection& aRejection)
{
  const auto waiting = mWaiting.extract(aRejection.mRequest);
  if (waiting.empty()) {
    return;
  }
  mSend(waiting.mapped().mHolder.mVm,
        slot_refusal{ aRejection.mRequest,
                      aRejection.mRefusal.mReason,
                      aRejection.mRefusal.mRetryAfter.count() });
}

void
slot_owner::RevokeGrant(const request_id& aRequest, steady_time aNow)
{
  mGrants.erase(aRequest);
  policy::completion completion;
  completion.mRequest = aRequest;
  ApplyDecisions(mScheduler->Finish(completion, aNow), aNow);
}

void
slot_owner::RemoveWaiting(const request_id& aRequest, steady_time aNow)
{
  if (mWaiting.erase(aRequest) > 0) {
    ApplyDecisions(mScheduler->Withdraw(aRequest, aNow), aNow);
  }
}

} // namespace sapphirespar::router
