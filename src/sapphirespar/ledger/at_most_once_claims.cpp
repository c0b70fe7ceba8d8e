// Requests with a key chosen by the caller: dispatched only after the key's
// claim is granted.
#include "at_most_once_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

// Maximum number of released attempts that are remembered for one key.
constexpr std::size_t kMaxReleasedAttempts = 16;

// Starts a new attempt in aEntry and releases the previous one.
void
BeginAttempt(idempotency_entry& aEntry, std::uint64_t aContentHash)
{
  if (!aEntry.mAttempt.Empty()) {
    aEntry.mReleased.push_back(aEntry.mAttempt);
  }
  if (aEntry.mReleased.size() > kMaxReleasedAttempts) {
    aEntry.mReleased.erase(aEntry.mReleased.begin());
  }
  aEntry.mAttempt = NewRequestId();
  aEntry.mContentHash = aContentHash;
  aEntry.mState = entry_state::Claiming;
}

} // namespace

void
at_most_once_guard::state::BeginClaim(const dispatch_request& aRequest,
                                      const dispatch_callback& aDone)
{
  auto* entry = mTable.Find(aRequest.mKey);
  if (entry == nullptr) {
    entry = mTable.Add(aRequest.mKey, {});
  }
  if (entry == nullptr) {
    aDone(RefuseDispatch(refusal_reason::NotReady,
                         aRequest.mFirstAttempt ? outcome::NotRun
                                                : outcome::Unknown,
                         "too many requests to keep apart",
                         mSettings.mRetryAfter));
    return;
  }
  BeginAttempt(*entry, aRequest.mContentHash);
  mClaimClient.Claim(
    { WireKey(aRequest.mKey),
      entry->mAttempt,
      entry->mReleased,
      aRequest.mFirstAttempt },
    [this, aRequest, aDone, attempt = entry->mAttempt](claim_result aResult) {
      aDone(OnClaimResult(aRequest, attempt, aResult));
    });
}

dispatch_decision
at_most_once_guard::state::OnClaimResult(const dispatch_request& aRequest,
                                         const request_id& aAttempt,
                                         claim_result aResult)
{
  auto* const entry = mTable.Find(aRequest.mKey);
  const auto current = entry != nullptr && entry->mAttempt == aAttempt &&
                       entry->mState == entry_state::Claiming;
  if (current && aResult == claim_result::Granted) {
    entry->mState = entry_state::Running;
    entry->mIsClaim = true;
    return AllowDispatch();
  }
  if (current) {
    // This attempt has not run and will not run: a retry gets a new attempt id.
    EndEntry(*entry, entry_state::NotRun);
  }
  switch (aResult) {
    case claim_result::Done:
      return RefuseDispatch(
        refusal_reason::DuplicateKey, outcome::Done, "the request ran before");
    case claim_result::Granted:
    case claim_result::Unknown:
      return RefuseDispatch(refusal_reason::DuplicateKey,
                            outcome::Unknown,
                            "the request may have run before",
                            mSettings.mRetryAfter);
    case claim_result::Undecided:
      break;
  }
  // This attempt has not run, but an earlier one elsewhere may have.
  return RefuseDispatch(refusal_reason::PlatformDown,
                        aRequest.mFirstAttempt ? outcome::NotRun
                                               : outcome::Unknown,
                        "the key could not be claimed; send it again",
                        mSettings.mRetryAfter);
}

outcome
at_most_once_guard::state::OutcomeOfClaim(const idempotency_key& aKey,
                                          const request_id& aAttempt)
{
  auto* const entry = mTable.Find(aKey);
  if (entry == nullptr) {
    return outcome::Unknown;
  }
  if (std::ranges::find(entry->mReleased, aAttempt) != entry->mReleased.end()) {
    return outcome::NotRun;
  }
  if (entry->mAttempt != aAttempt) {
    return outcome::Unknown;
  }
  if (entry->mState == entry_state::Claiming) {
    // A grant for this attempt may still arrive; it is not used.
    EndEntry(*entry, entry_state::NotRun);
  }
  return OutcomeOf(*entry);
}

void
at_most_once_guard::state::OnClaimRequest(const process_id& aFrom,
                                          const claim_request& aRequest)
{
  // A process may claim only for itself.
  if (aRequest.mClaimant != aFrom) {
    return;
  }
  mClaimServer.Claim(aRequest, [this, aFrom](const claim_answer& aAnswer) {
    mPeers.Send(aFrom.mVm, aAnswer);
  });
}

void
at_most_once_guard::state::OnClaimFinished(const idempotency_key& aKey,
                                           const idempotency_entry& aEntry)
{
  if (!aEntry.mAttempt.Empty()) {
    mClaimClient.Finished({ WireKey(aKey), aEntry.mAttempt, outcome::Done });
  }
}

} // namespace sapphirespar::ledger
