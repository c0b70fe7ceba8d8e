// Asking for, holding and giving back slots.
#include "slot_seeker.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;

// Homes that a holding remembers having told.
constexpr std::size_t kHomesTold = 2;
// When a new home is told of a holding once more.
constexpr milliseconds kTellAgainAfter{ 2000 };
// When a request that no upstream can serve may be tried again.
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
  refusal none;
  none.mReason = refusal_reason::NoUpstream;
  none.mDetail = "no upstream can serve " + aRequest.mPool;
  none.mRetryAfter = kRetryAfter;
  return none;
}

} // namespace

slot_seeker::slot_seeker(const blackboard& aBoard,
                         home_map& aHomes,
                         slot_broker_settings aSettings,
                         slot_broker_counts& aCounts,
                         slot_sender aSend,
                         std::function<std::vector<pool_load>()> aOwnLoads)
  : mBoard(aBoard)
  , mHomes(aHomes)
  , mSettings(aSettings)
  , mCounts(aCounts)
  , mSend(std::move(aSend))
  , mOwnLoads(std::move(aOwnLoads))
{
}

void
slot_seeker::Acquire(policy::queued_request aRequest,
                     slot_callback aDone,
                     steady_time aNow)
{
  const auto id = aRequest.mId;
  seeking fresh;
  fresh.mRequest = std::move(aRequest);
  fresh.mDone = std::move(aDone);
  mSeeking[id] = std::move(fresh);
  AskNext(id, aNow);
}

void
slot_seeker::AskNext(const request_id& aId, steady_time aNow)
{
  auto& one = mSeeking.at(aId);
  const auto home =
    one.mTried.size() < mSettings.mOwnerTries
      ? mHomes.PickHome(one.mRequest.mPool, one.mTried, mOwnLoads())
      : std::nullopt;
  if (home) {
    mHomes.NoteAsked(*home, one.mRequest.mPool);
    Ask(one, *home, aNow);
  } else {
    GoDirect(aId, aNow);
  }
}

void
slot_seeker::Ask(seeking& aSeeking, const vm_id& aHome, steady_time aNow)
{
  const auto found = mBoard.mMembers.find(aHome);
  // A home that has just gone is passed over at the next change.
  aSeeking.mHome = found == mBoard.mMembers.end() ? process_id{ aHome, 0 }
                                                  : found->second.mProcess;
  aSeeking.mAsked = aNow;
  if (!aSeeking.mUnansweredSince) {
    aSeeking.mUnansweredSince = aNow;
  }
  mSend(aHome, ToMessage(aSeeking.mRequest, aNow));
}

void
slot_seeker::GoDirect(const request_id& aId, steady_time aNow)
{
  const auto& request = mSeeking.at(aId).mRequest;
  const auto held = [this](const upstream_id& aUpstream) {
    const auto found = mHeldCounts.find(aUpstream);
    return found == mHeldCounts.end() ? 0U : found->second;
  };
  const auto upstream = mHomes.PickUpstream(request, held);
  if (!upstream) {
    Refuse(aId, NoUpstream(request));
    return;
  }
  ++mCounts.mDirectChoices;
  // Told first, so that a home never hears of the end before the beginning.
  const auto home = mHomes.HomeOf(*upstream);
  if (home) {
    mSend(*home, slot_holding{ ToMessage(request, aNow), *upstream });
  }
  Hold(
    aId, *upstream, home ? std::vector<vm_id>{ *home } : std::vector<vm_id>{});
}

void
slot_seeker::Hold(const request_id& aId,
                  const upstream_id& aUpstream,
                  std::vector<vm_id> aHomes)
{
  auto node = mSeeking.extract(aId);
  auto& one = node.mapped();
  ++mHeldCounts[aUpstream];
  holding held;
  held.mRequest = std::move(one.mRequest);
  held.mUpstream = aUpstream;
  held.mHomes = std::move(aHomes);
  mHoldings[aId] = std::move(held);
  one.mDone(aUpstream);
}

void
slot_seeker::Refuse(const request_id& aId, const refusal& aRefusal)
{
  ++mCounts.mRefused;
  const auto node = mSeeking.extract(aId);
  node.mapped().mDone(aRefusal);
}

void
slot_seeker::Withdraw(const request_id& aRequest)
{
  const auto node = mSeeking.extract(aRequest);
  if (!node.empty()) {
    mSend(node.mapped().mHome.mVm, Withdrawal(aRequest));
  }
}

void
slot_seeker::Finish(const policy::completion& aCompletion)
{
  const auto node = mHoldings.extract(aCompletion.mRequest);
  if (node.empty()) {
    return;
  }
  const auto& held = node.mapped();
  if (--mHeldCounts[held.mUpstream] == 0) {
    mHeldCounts.erase(held.mUpstream);
  }
  for (const auto& home : held.mHomes) {
    mSend(home, ToRelease(aCompletion, held.mUpstream));
  }
}

void
slot_seeker::OnGrant(const process_id& aFrom,
                     const slot_grant& aGrant,
                     steady_time aNow)
{
  const auto& id = aGrant.mRequest;
  const auto waiting = mSeeking.find(id);
  if (waiting != mSeeking.end() && waiting->second.mHome.mVm == aFrom.mVm) {
    ++mCounts.mGranted;
    Hold(id, aGrant.mUpstream, { aFrom.mVm });
    return;
  }
  const auto held = mHoldings.find(id);
  const bool counted = held != mHoldings.end() &&
                       held->second.mUpstream == aGrant.mUpstream &&
                       std::ranges::find(held->second.mHomes, aFrom.mVm) !=
                         held->second.mHomes.end();
  if (counted) {
    mSend(
      aFrom.mVm,
      slot_holding{ ToMessage(held->second.mRequest, aNow), aGrant.mUpstream });
    return;
  }
  auto unused = Withdrawal(id);
  unused.mUpstream = aGrant.mUpstream;
  mSend(aFrom.mVm, unused);
}

void
slot_seeker::OnRefusal(const process_id& aFrom,
                       const slot_refusal& aRefusal,
                       steady_time aNow)
{
  const auto found = mSeeking.find(aRefusal.mRequest);
  if (found == mSeeking.end() || found->second.mHome.mVm != aFrom.mVm) {
    return;
  }
  // Another home may have room or a shorter wait; none can turn back time.
  const bool elsewhere = aRefusal.mReason == refusal_reason::NoUpstream ||
                         aRefusal.mReason == refusal_reason::QueueFull ||
                         (aRefusal.mReason == refusal_reason::TooLate &&
                          aNow < found->second.mRequest.mAnswerBy);
  auto& one = found->second;
  one.mTried.insert(aFrom.mVm);
  one.mUnansweredSince.reset();
  const auto other =
    elsewhere && one.mTried.size() < mSettings.mOwnerTries
      ? mHomes.PickHome(one.mRequest.mPool, one.mTried, mOwnLoads())
      : std::nullopt;
  if (other) {
    Ask(one, *other, aNow);
    return;
  }
  if (aRefusal.mReason == refusal_reason::NoUpstream) {
    // The home may know less than this router.
    GoDirect(aRefusal.mRequest, aNow);
    return;
  }
  refusal final;
  final.mReason = aRefusal.mReason;
  final.mRetryAfter = milliseconds(aRefusal.mRetryAfterMs);
  Refuse(aRefusal.mRequest, final);
}

void
slot_seeker::OnWaiting(const process_id& aFrom,
                       const slot_waiting& aWaiting,
                       steady_time)
{
  const auto found = mSeeking.find(aWaiting.mRequest);
  if (found == mSeeking.end()) {
    mSend(aFrom.mVm, Withdrawal(aWaiting.mRequest));
    return;
  }
  if (found->second.mHome.mVm == aFrom.mVm) {
    found->second.mUnansweredSince.reset();
  }
}

std::optional<upstream_id>
slot_seeker::HeldAt(const request_id& aRequest) const
{
  const auto found = mHoldings.find(aRequest);
  return found == mHoldings.end() ? std::nullopt
                                  : std::optional(found->second.mUpstream);
}

std::vector<request_id>
slot_seeker::SeekingIds() const
{
  std::vector<request_id> ids;
  for (const auto& [id, one] : mSeeking) {
    ids.push_back(id);
  }
  std::ranges::sort(ids);
  return ids;
}

bool
slot_seeker::HomeIsLost(const seeking& aSeeking) const
{
  const auto found = mBoard.mMembers.find(aSeeking.mHome.mVm);
  return found == mBoard.mMembers.end() ||
         found->second.mState != member_state::Live ||
         found->second.mProcess != aSeeking.mHome;
}

// Leaves a home that is lost or silent and asks another one.
void
slot_seeker::PassOver(const request_id& aId, steady_time aNow)
{
  ++mCounts.mOwnerFailovers;
  auto& one = mSeeking.at(aId);
  // It may only be slow: what it grants now would go unused.
  mSend(one.mHome.mVm, Withdrawal(aId));
  one.mTried.insert(one.mHome.mVm);
  one.mUnansweredSince.reset();
  AskNext(aId, aNow);
}

void
slot_seeker::OnHomesChanged(steady_time aNow)
{
  // Holdings first, so that a new home counts them before it grants.
  for (auto& [id, held] : mHoldings) {
    const auto home = mHomes.HomeOf(held.mUpstream);
    if (home && (held.mHomes.empty() || held.mHomes.back() != *home)) {
      TellHome(held, *home, aNow);
    }
  }
  for (const auto& id : SeekingIds()) {
    const auto one = mSeeking.find(id);
    if (one != mSeeking.end() && HomeIsLost(one->second)) {
      PassOver(id, aNow);
    }
  }
}

void
slot_seeker::TellHome(holding& aHolding, const vm_id& aHome, steady_time aNow)
{
  std::erase(aHolding.mHomes, aHome);
  aHolding.mHomes.push_back(aHome);
  if (aHolding.mHomes.size() > kHomesTold) {
    aHolding.mHomes.erase(aHolding.mHomes.begin());
  }
  aHolding.mTellAgain = aNow + kTellAgainAfter;
  mSend(aHome,
        slot_holding{ ToMessage(aHolding.mRequest, aNow), aHolding.mUpstream });
}

void
slot_seeker::Tick(steady_time aNow)
{
  for (const auto& id : SeekingIds()) {
    const auto found = mSeeking.find(id);
    if (found == mSeeking.end()) {
      continue;
    }
    auto& one = found->second;
    if (one.mUnansweredSince &&
        aNow - *one.mUnansweredSince >= mSettings.mOwnerTimeout) {
      PassOver(id, aNow);
    } else if (aNow - one.mAsked >= mSettings.mRenewPeriod) {
      Ask(one, one.mHome.mVm, aNow);
    }
  }
  for (auto& [id, held] : mHoldings) {
    if (held.mTellAgain && aNow >= *held.mTellAgain) {
      held.mTellAgain.reset();
      mSend(held.mHomes.back(),
            slot_holding{ ToMessage(held.mRequest, aNow), held.mUpstream });
    }
  }
}

} // namespace sapphirespar::router
