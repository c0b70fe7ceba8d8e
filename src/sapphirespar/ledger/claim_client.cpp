// Sends each claim to the current shard owner until it is answered or times
// out. Every pending claim has its own resend timer.
#include "claim_client.hpp"

#include "claim_rows.hpp"
#include "sapphirespar/membership/owners.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {

bool
IsTerminated(const blackboard& aBoard, const process_id& aProcess)
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
                           claim_server& aClaimServer,
                           outcome_client& aOutcomeClient,
                           const at_most_once_settings& aSettings)
  : mBoard(aBoard)
  , mSelf(aBoard.mSelf)
  , mPeers(aPeers)
  , mTimers(aTimers)
  , mClaimServer(aClaimServer)
  , mOutcomeClient(aOutcomeClient)
  , mSettings(aSettings)
{
}

void
claim_client::Claim(claim_attempt aAttempt, claim_result_callback aDone)
{
  const auto id = aAttempt.mAttempt;
  auto& claim = mPendingClaims[id];
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
  const auto& claim = mPendingClaims.at(aAttempt);
  claim_request request{ claim.mAttempt.mKey,
                         mSelf,
                         aAttempt,
                         claim.mReleasedAttempt,
                         claim.mAttempt.mFirstAttempt };
  const auto owner = OwnerOf(request.mKey);
  if (owner != mSelf.mVm) {
    mPeers.Send(owner, std::move(request));
    return;
  }
  mClaimServer.Claim(std::move(request),
                     [this](const auto& aAnswer) { OnAnswer(aAnswer); });
}

void
claim_client::Resend(const request_id& aAttempt)
{
  if (mTimers.Now() >= mPendingClaims.at(aAttempt).mDeadline) {
    Complete(request_id(aAttempt), claim_result::Undecided);
  } else {
    Send(aAttempt);
  }
}

void
claim_client::OnAnswer(const claim_answer& aAnswer)
{
  const auto attempt = aAnswer.mRequest;
  if (!mPendingClaims.contains(attempt)) {
    return;
  }
  switch (aAnswer.mVerdict) {
    case claim_verdict::Granted:
      Complete(attempt, claim_result::Granted);
      break;
    case claim_verdict::Taken:
      OnTaken(attempt, aAnswer);
      break;
    case claim_verdict::Refused:
      Complete(attempt, claim_result::Undecided);
      break;
  }
}

void
claim_client::OnTaken(const request_id& aAttempt, const claim_answer& aAnswer)
{
  const auto& holderAttempt = aAnswer.mHeldRequest;
  const auto& released = mPendingClaims.at(aAttempt).mAttempt.mReleased;
  if (aAnswer.mOutcome == outcome::Done) {
    Complete(aAttempt, claim_result::Done);
  } else if (std::ranges::find(released, holderAttempt) != released.end()) {
    ClaimReleased(aAttempt, holderAttempt);
  } else if (aAnswer.mHolder == mSelf ||
             IsTerminated(mBoard, aAnswer.mHolder)) {
    Complete(aAttempt, claim_result::Unknown);
  } else {
    mOutcomeClient.Query(
      aAnswer.mHolder,
      { aAnswer.mKey, holderAttempt },
      [this, aAttempt, holderAttempt](std::optional<outcome> aOutcome) {
        OnOutcome(aAttempt, holderAttempt, aOutcome);
      });
  }
}

// A holder that answers "not run" never runs that attempt afterwards, so this
// attempt may claim the key.
void
claim_client::OnOutcome(const request_id& aAttempt,
                        const request_id& aHolderAttempt,
                        std::optional<outcome> aOutcome)
{
  if (!mPendingClaims.contains(aAttempt)) {
    return;
  }
  if (aOutcome == outcome::NotRun) {
    ClaimReleased(aAttempt, aHolderAttempt);
  } else if (aOutcome == outcome::Done) {
    Complete(aAttempt, claim_result::Done);
  } else {
    Complete(aAttempt, claim_result::Unknown);
  }
}

void
claim_client::ClaimReleased(const request_id& aAttempt,
                            const request_id& aHolderAttempt)
{
  auto& claim = mPendingClaims.at(aAttempt);
  // The owner may answer several sends of one claim with the same held attempt;
  // only the first answer causes a new send.
  if (claim.mReleasedAttempt != aHolderAttempt) {
    claim.mReleasedAttempt = aHolderAttempt;
    Send(aAttempt);
  }
}

void
claim_client::Complete(const request_id& aAttempt, claim_result aResult)
{
  const auto ended = mPendingClaims.extract(aAttempt);
  ended.mapped().mDone(aResult);
}

void
claim_client::Report(const claim_finished& aClaim, claim_callback aDone)
{
  const auto owner = OwnerOf(aClaim.mKey);
  claim_request request{ aClaim.mKey, mSelf, aClaim.mRequest, {}, false };
  if (owner == mSelf.mVm) {
    mClaimServer.Report(mSelf, aClaim);
    mClaimServer.Claim(std::move(request), std::move(aDone));
  } else {
    mPeers.Send(owner, aClaim);
    mPeers.Send(owner, std::move(request));
  }
}

void
claim_client::Finished(claim_finished aEnd)
{
  const auto owner = OwnerOf(aEnd.mKey);
  if (owner == mSelf.mVm) {
    mClaimServer.Finished(aEnd);
  } else {
    mPeers.Send(owner, std::move(aEnd));
  }
}

} // namespace sapphirespar::ledger
