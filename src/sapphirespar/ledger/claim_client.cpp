// Claims in progress, each with its own timer.
#include "claim_client.hpp"

#include "claim_rows.hpp"
#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {

bool
IsGone(const blackboard& aBoard, const process_id& aProcess)
{
  if (aProcess.mVm == aBoard.mSelf.mVm) {
    return aProcess != aBoard.mSelf;
  }
  const auto found = aBoard.mMembers.find(aProcess.mVm);
  return found == aBoard.mMembers.end() ||
         found->second.mState == member_state::Dead ||
         found->second.mProcess.mIncarnation > aProcess.mIncarnation;
}

claim_client::claim_client(const blackboard& aBoard,
                           peer_network& aPeers,
                           timer_service& aTimers,
                           claim_keeper& aKeeper,
                           fate_asker& aFates,
                           const at_most_once_settings& aSettings)
  : mBoard(aBoard)
  , mSelf(aBoard.mSelf)
  , mPeers(aPeers)
  , mTimers(aTimers)
  , mKeeper(aKeeper)
  , mFates(aFates)
  , mSettings(aSettings)
{
}

void
claim_client::Claim(claim_attempt aAttempt, claim_end_callback aDone)
{
  const auto id = aAttempt.mAttempt;
  auto& claim = mClaims[id];
  claim.mAttempt = std::move(aAttempt);
  claim.mDone = std::move(aDone);
  claim.mDeadline = mTimers.Now() + mSettings.mClaimTimeout;
  claim.mResend =
    mTimers.Every(mSettings.mResendInterval, [this, id] { Resend(id); });
  Send(id);
}

vm_id
claim_client::OwnerOf(const std::string& aKey) const
{
  const auto shard = HeadKey(ShardOf(HashClaimKey(aKey))).mName;
  auto owner = mSelf.mVm;
  auto weight = membership::RendezvousWeight(shard, owner);
  for (const auto& [vm, member] : mBoard.mMembers) {
    const auto other = membership::RendezvousWeight(shard, vm);
    if (member.mState == member_state::Live && other > weight) {
      owner = vm;
      weight = other;
    }
  }
  return owner;
}

void
claim_client::Send(const request_id& aAttempt)
{
  const auto& claim = mClaims.at(aAttempt);
  claim_request request{ claim.mAttempt.mKey, mSelf, aAttempt, claim.mGivenUp };
  const auto owner = OwnerOf(request.mKey);
  if (owner != mSelf.mVm) {
    mPeers.Send(owner, std::move(request));
    return;
  }
  mKeeper.Ask(std::move(request),
              [this](const auto& aAnswer) { OnAnswer(aAnswer); });
}

void
claim_client::Resend(const request_id& aAttempt)
{
  if (mTimers.Now() >= mClaims.at(aAttempt).mDeadline) {
    End(request_id(aAttempt), claim_end::Undecided);
  } else {
    Send(aAttempt);
  }
}

void
claim_client::OnAnswer(const claim_answer& aAnswer)
{
  const auto attempt = aAnswer.mRequest;
  if (!mClaims.contains(attempt)) {
    return;
  }
  switch (aAnswer.mVerdict) {
    case claim_verdict::Granted:
      End(attempt, claim_end::Granted);
      break;
    case claim_verdict::Taken:
      OnTaken(attempt, aAnswer);
      break;
    case claim_verdict::Refused:
      End(attempt, claim_end::Undecided);
      break;
  }
}

void
claim_client::OnTaken(const request_id& aAttempt, const claim_answer& aAnswer)
{
  const auto& held = aAnswer.mHeldRequest;
  const auto& released = mClaims.at(aAttempt).mAttempt.mReleased;
  if (aAnswer.mOutcome == outcome::Done) {
    End(aAttempt, claim_end::Done);
  } else if (std::ranges::find(released, held) != released.end()) {
    Retake(aAttempt, held);
  } else if (aAnswer.mHolder == mSelf || IsGone(mBoard, aAnswer.mHolder)) {
    End(aAttempt, claim_end::Unknown);
  } else {
    mFates.Ask(aAnswer.mHolder,
               { aAnswer.mKey, held },
               [this, aAttempt, held](std::optional<outcome> aFate) {
                 OnFate(aAttempt, held, aFate);
               });
  }
}

// A holder that says "not run" promises never to run that attempt, so the key
// may pass on.
void
claim_client::OnFate(const request_id& aAttempt,
                     const request_id& aHeld,
                     std::optional<outcome> aFate)
{
  if (!mClaims.contains(aAttempt)) {
    return;
  }
  if (aFate == outcome::NotRun) {
    Retake(aAttempt, aHeld);
  } else if (aFate == outcome::Done) {
    End(aAttempt, claim_end::Done);
  } else {
    End(aAttempt, claim_end::Unknown);
  }
}

void
claim_client::Retake(const request_id& aAttempt, const request_id& aHeld)
{
  auto& claim = mClaims.at(aAttempt);
  // The owner's answer to an earlier send may still be under way.
  if (claim.mGivenUp != aHeld) {
    claim.mGivenUp = aHeld;
    Send(aAttempt);
  }
}

void
claim_client::End(const request_id& aAttempt, claim_end aEnd)
{
  const auto ended = mClaims.extract(aAttempt);
  ended.mapped().mDone(aEnd);
}

void
claim_client::Finished(claim_finished aEnd)
{
  const auto owner = OwnerOf(aEnd.mKey);
  if (owner == mSelf.mVm) {
    mKeeper.Finished(aEnd);
  } else {
    mPeers.Send(owner, std::move(aEnd));
  }
}

} // namespace sapphirespar::ledger
