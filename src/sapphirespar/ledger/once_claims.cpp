// Claims: a caller's own key runs once its claim is certain.
#include "once_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

// Attempts of one key that are remembered as given up.
constexpr std::size_t kReleasedLimit = 16;

// Makes aEntry stand for a new attempt.
void
BeginAttempt(once_entry& aEntry, std::uint64_t aContentHash)
{
  if (!aEntry.mAttempt.Empty()) {
    aEntry.mReleased.push_back(aEntry.mAttempt);
  }
  if (aEntry.mReleased.size() > kReleasedLimit) {
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
    aDone(RefusalVerdict(refusal_reason::NotReady,
                         aRequest.mFirstAttempt ? outcome::NotRun
                                                : outcome::Unknown,
                         "too many requests to keep apart",
                         mSettings.mRetryAfter));
    return;
  }
  BeginAttempt(*entry, aRequest.mContentHash);
  mClaims.Claim(
    { WireKey(aRequest.mKey), entry->mAttempt, entry->mReleased },
    [this, aRequest, aDone, attempt = entry->mAttempt](claim_end aEnd) {
      aDone(OnClaimEnd(aRequest, attempt, aEnd));
    });
}

dispatch_decision
at_most_once_guard::state::OnClaimEnd(const dispatch_request& aRequest,
                                      const request_id& aAttempt,
                                      claim_end aEnd)
{
  auto* const entry = mTable.Find(aRequest.mKey);
  const auto current = entry != nullptr && entry->mAttempt == aAttempt &&
                       entry->mState == entry_state::Claiming;
  if (current && aEnd == claim_end::Granted) {
    entry->mState = entry_state::Running;
    return RunVerdict();
  }
  if (current) {
    // This attempt has not run, and a later one will have a new name.
    EndEntry(*entry, entry_state::NotRun);
  }
  switch (aEnd) {
    case claim_end::Done:
      return RefusalVerdict(
        refusal_reason::DuplicateKey, outcome::Done, "the request ran before");
    case claim_end::Granted:
    case claim_end::Unknown:
      return RefusalVerdict(refusal_reason::DuplicateKey,
                            outcome::Unknown,
                            "the request may have run before",
                            mSettings.mRetryAfter);
    case claim_end::Undecided:
      break;
  }
  // This attempt has not run, but an earlier one elsewhere may have.
  return RefusalVerdict(refusal_reason::PlatformDown,
                        aRequest.mFirstAttempt ? outcome::NotRun
                                               : outcome::Unknown,
                        "the key could not be claimed; send it again",
                        mSettings.mRetryAfter);
}

outcome
at_most_once_guard::state::FateOfClaim(const idempotency_key& aKey,
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
    // Its grant may be on the way; it will not be used.
    EndEntry(*entry, entry_state::NotRun);
  }
  return OutcomeOf(*entry);
}

void
at_most_once_guard::state::OnClaimRequest(const process_id& aFrom,
                                          const claim_request& aRequest)
{
  // Nobody claims for another process.
  if (aRequest.mClaimant != aFrom) {
    return;
  }
  mKeeper.Ask(aRequest, [this, aFrom](const claim_answer& aAnswer) {
    mPeers.Send(aFrom.mVm, aAnswer);
  });
}

void
at_most_once_guard::state::OnClaimFinished(const idempotency_key& aKey,
                                           const once_entry& aEntry)
{
  if (!aEntry.mAttempt.Empty()) {
    mClaims.Finished({ WireKey(aKey), aEntry.mAttempt, outcome::Done });
  }
}

} // namespace sapphirespar::ledger
