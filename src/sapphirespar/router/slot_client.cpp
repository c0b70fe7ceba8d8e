// Requests, holds and releases slots.
#include "slot_client.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;

// Number of notified owners that a running request remembers.
constexpr std::size_t kMaxNotifiedOwners = 2;
// Delay after which a new owner is notified of a running request again.
constexpr milliseconds kResendAfter{ 2000 };
// Delay after which a caller may retry a request that no upstream can serve.
constexpr milliseconds kRetryAfter{ 1000 };

slot_release
Withdrawal(const request_id& aRequest)
{
  slot_release release;
  release.mRequest = aRequest;
  return release;
}

slot_release
ToRelease(const policy::completion& aCompletion, const upstream_id& aUpstream)
{
  const auto toMs = [](steady_duration aDuration) {
    return std::chrono::duration_cast<milliseconds>(aDuration).count();
  };
  slot_release release;
  release.mRequest = aCompletion.mRequest;
  release.mUpstream = aUpstream;
  release.mSucceeded = aCompletion.mSucceeded;
  release.mTokens = aCompletion.mTokens;
  release.mFirstTokenMs = toMs(aCompletion.mFirstToken);
  release.mTotalMs = toMs(aCompletion.mTotal);
  return release;
}

refusal
NoUpstream(const policy::queued_request& aRequest)
{
  refusal refused;
  refused.mReason = refusal_reason::NoUpstream;
  refused.mDetail = "no upstream can serve " + aRequest.mPool;
  refused.mRetryAfter = kRetryAfter;
  return refused;
}

} // namespace

slot_client::slot_client(const blackboard& aBoard,
                         owner_map& aOwnerMap,
                         slot_broker_settings aSettings,
                         slot_broker_counts& aCounts,
                         slot_sender aSend,
                         std::function<std::vector<pool_load>()> aOwnLoads)
  : mBoard(aBoard)
  , mOwnerMap(aOwnerMap)
  , mSettings(aSettings)
  , mCounts(aCounts)
  , mSend(std::move(aSend))
  , mOwnLoads(std::move(aOwnLoads))
{
}

void
slot_client::Acquire(policy::queued_request aRequest,
                     slot_callback aDone,
                     steady_time aNow)
{
  const auto id = aRequest.mId;
  waiting_request waiting;
  waiting.mRequest = std::move(aRequest);
  waiting.mDone = std::move(aDone);
  mWaiting[id] = std::move(waiting);
  AskNextOwner(id, aNow);
}

void
slot_client::AskNextOwner(const request_id& aId, steady_time aNow)
{
  auto& waiting = mWaiting.at(aId);
  const auto owner =
    waiting.mTried.size() < mSettings.mOwnerTries
      ? mOwnerMap.PickOwner(waiting.mRequest.mPool, waiting.mTried, mOwnLoads())
      : std::nullopt;
  if (owner) {
    mOwnerMap.NoteSent(*owner, waiting.mRequest.mPool);
    SendRequest(waiting, *owner, aNow);
  } else {
    ChooseDirectly(aId, aNow);
  }
}

void
slot_client::SendRequest(waiting_request& aWaiting,
                         const vm_id& aOwner,
                         steady_time aNow)
{
  const auto found = mBoard.mMembers.find(aOwner);
  // An owner that was just removed from the board gets incarnation 0, so that
  // the next change of members causes a failover.
  aWaiting.mOwner = found == mBoard.mMembers.end() ? process_id{ aOwner, 0 }
                                                   : found->second.mProcess;
  aWaiting.mSentAt = aNow;
  if (!aWaiting.mUnansweredSince) {
    aWaiting.mUnansweredSince = aNow;
  }
  mSend(aOwner, ToMessage(aWaiting.mRequest, aNow));
}

void
slot_client::ChooseDirectly(const request_id& aId, steady_time aNow)
{
  const auto& request = mWaiting.at(aId).mRequest;
  const auto running = [this](const upstream_id& aUpstream) {
    const auto found = mRunningCounts.find(aUpstream);
    return found == mRunningCounts.end() ? 0U : found->second;
  };
  const auto upstream = mOwnerMap.PickUpstream(request, running);
  if (!upstream) {
    Refuse(aId, NoUpstream(request));
    return;
  }
  ++mCounts.mDirectChoices;
  // The owner is notified before the callback runs, so that it never receives
  // the release before the notification.
  const auto owner = mOwnerMap.OwnerOf(*upstream);
  if (owner) {
    mSend(*owner, slot_holding{ ToMessage(request, aNow), *upstream });
  }
  StartRunning(aId,
               *upstream,
               owner ? std::vector<vm_id>{ *owner } : std::vector<vm_id>{});
}

void
slot_client::StartRunning(const request_id& aId,
                          const upstream_id& aUpstream,
                          std::vector<vm_id> aOwners)
{
  auto node = mWaiting.extract(aId);
  auto& waiting = node.mapped();
  ++mRunningCounts[aUpstream];
  running_request running;
  running.mRequest = std::move(waiting.mRequest);
  running.mUpstream = aUpstream;
  running.mOwners = std::move(aOwners);
  mRunning[aId] = std::move(running);
  waiting.mDone(aUpstream);
}

void
slot_client::Refuse(const request_id& aId, const refusal& aRefusal)
{
  ++mCounts.mRefused;
  const auto node = mWaiting.extract(aId);
  node.mapped().mDone(aRefusal);
}

void
slot_client::Withdraw(const request_id& aRequest)
{
  const auto node = mWaiting.extract(aRequest);
  if (!node.empty()) {
    mSend(node.mapped().mOwner.mVm, Withdrawal(aRequest));
  }
}

void
slot_client::Finish(const policy::completion& aCompletion)
{
  const auto node = mRunning.extract(aCompletion.mRequest);
  if (node.empty()) {
    return;
  }
  const auto& running = node.mapped();
  if (--mRunningCounts[running.mUpstream] == 0) {
    mRunningCounts.erase(running.mUpstream);
  }
  for (const auto& owner : running.mOwners) {
    mSend(owner, ToRelease(aCompletion, running.mUpstream));
  }
}

void
slot_client::OnGrant(const process_id& aFrom,
                     const slot_grant& aGrant,
                     steady_time aNow)
{
  const auto& id = aGrant.mRequest;
  const auto waiting = mWaiting.find(id);
  if (waiting != mWaiting.end() && waiting->second.mOwner.mVm == aFrom.mVm) {
    ++mCounts.mGranted;
    StartRunning(id, aGrant.mUpstream, { aFrom.mVm });
    return;
  }
  const auto running = mRunning.find(id);
  const bool counted = running != mRunning.end() &&
                       running->second.mUpstream == aGrant.mUpstream &&
                       std::ranges::find(running->second.mOwners, aFrom.mVm) !=
                         running->second.mOwners.end();
  if (counted) {
    mSend(aFrom.mVm,
          slot_holding{ ToMessage(running->second.mRequest, aNow),
                        aGrant.mUpstream });
    return;
  }
  auto unused = Withdrawal(id);
  unused.mUpstream = aGrant.mUpstream;
  mSend(aFrom.mVm, unused);
}

void
slot_client::OnRefusal(const process_id& aFrom,
                       const slot_refusal& aRefusal,
                       steady_time aNow)
{
  const auto found = mWaiting.find(aRefusal.mRequest);
  if (found == mWaiting.end() || found->second.mOwner.mVm != aFrom.mVm) {
    return;
  }
  // Another owner may have a free slot or a shorter queue. A request whose
  // deadline has passed is refused by every owner.
  const bool mayFitElsewhere = aRefusal.mReason == refusal_reason::NoUpstream ||
                               aRefusal.mReason == refusal_reason::QueueFull ||
                               (aRefusal.mReason == refusal_reason::TooLate &&
                                aNow < found->second.mRequest.mAnswerBy);
  auto& waiting = found->second;
  waiting.mTried.insert(aFrom.mVm);
  waiting.mUnansweredSince.reset();
  const auto nextOwner =
    mayFitElsewhere && waiting.mTried.size() < mSettings.mOwnerTries
      ? mOwnerMap.PickOwner(waiting.mRequest.mPool, waiting.mTried, mOwnLoads())
      : std::nullopt;
  if (nextOwner) {
    SendRequest(waiting, *nextOwner, aNow);
    return;
  }
  if (aRefusal.mReason == refusal_reason::NoUpstream) {
    // The owner may not have received the newest list of upstreams yet.
    ChooseDirectly(aRefusal.mRequest, aNow);
    return;
  }
  refusal refused;
  refused.mReason = aRefusal.mReason;
  refused.mRetryAfter = milliseconds(aRefusal.mRetryAfterMs);
  Refuse(aRefusal.mRequest, refused);
}

void
slot_client::OnWaiting(const process_id& aFrom,
                       const slot_waiting& aWaiting,
                       steady_time)
{
  const auto found = mWaiting.find(aWaiting.mRequest);
  if (found == mWaiting.end()) {
    mSend(aFrom.mVm, Withdrawal(aWaiting.mRequest));
    return;
  }
  if (found->second.mOwner.mVm == aFrom.mVm) {
    found->second.mUnansweredSince.reset();
  }
}

std::optional<upstream_id>
slot_client::UpstreamOf(const request_id& aRequest) const
{
  const auto found = mRunning.find(aRequest);
  return found == mRunning.end() ? std::nullopt
                                 : std::optional(found->second.mUpstream);
}

std::vector<request_id>
slot_client::WaitingIds() const
{
  std::vector<request_id> ids;
  for (const auto& [id, waiting] : mWaiting) {
    ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

bool
slot_client::OwnerIsLost(const waiting_request& aWaiting) const
{
  const auto found = mBoard.mMembers.find(aWaiting.mOwner.mVm);
  return found == mBoard.mMembers.end() ||
         found->second.mState != member_state::Live ||
         found->second.mProcess != aWaiting.mOwner;
}

// Withdraws a request from an owner that is lost or has timed out, and asks
// another one.
void
slot_client::FailOver(const request_id& aId, steady_time aNow)
{
  ++mCounts.mOwnerFailovers;
  auto& waiting = mWaiting.at(aId);
  // The owner may only be slow. Without the withdrawal, a slot that it grants
  // now would stay unused.
  mSend(waiting.mOwner.mVm, Withdrawal(aId));
  waiting.mTried.insert(waiting.mOwner.mVm);
  waiting.mUnansweredSince.reset();
  AskNextOwner(aId, aNow);
}

void
slot_client::OnOwnersChanged(steady_time aNow)
{
  // Running requests come first, so that a new owner counts their slots before
  // it grants any.
  for (auto& [id, running] : mRunning) {
    const auto owner = mOwnerMap.OwnerOf(running.mUpstream);
    if (owner &&
        (running.mOwners.empty() || running.mOwners.back() != *owner)) {
      NotifyOwner(running, *owner, aNow);
    }
  }
  for (const auto& id : WaitingIds()) {
    const auto waiting = mWaiting.find(id);
    if (waiting != mWaiting.end() && OwnerIsLost(waiting->second)) {
      FailOver(id, aNow);
    }
  }
}

void
slot_client::NotifyOwner(running_request& aRunning,
                         const vm_id& aOwner,
                         steady_time aNow)
{
  std::erase(aRunning.mOwners, aOwner);
  aRunning.mOwners.push_back(aOwner);
  if (aRunning.mOwners.size() > kMaxNotifiedOwners) {
    aRunning.mOwners.erase(aRunning.mOwners.begin());
  }
  aRunning.mResendAt = aNow + kResendAfter;
  mSend(aOwner,
        slot_holding{ ToMessage(aRunning.mRequest, aNow), aRunning.mUpstream });
}

void
slot_client::Tick(steady_time aNow)
{
  for (const auto& id : WaitingIds()) {
    const auto found = mWaiting.find(id);
    if (found == mWaiting.end()) {
      continue;
    }
    auto& waiting = found->second;
    if (waiting.mUnansweredSince &&
        aNow - *waiting.mUnansweredSince >= mSettings.mOwnerTimeout) {
      FailOver(id, aNow);
    } else if (aNow - waiting.mSentAt >= mSettings.mRenewPeriod) {
      SendRequest(waiting, waiting.mOwner.mVm, aNow);
    }
  }
  for (auto& [id, running] : mRunning) {
    if (running.mResendAt && aNow >= *running.mResendAt) {
      running.mResendAt.reset();
      mSend(
        running.mOwners.back(),
        slot_holding{ ToMessage(running.mRequest, aNow), running.mUpstream });
    }
  }
}

} // namespace sapphirespar::router
