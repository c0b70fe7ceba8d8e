// Tokens: this process runs its own ones and asks others about theirs.
#include "once_state.hpp"

#include <optional>
#include <utility>

namespace sapphirespar::ledger {

void
at_most_once_guard::state::BeginToken(const dispatch_request& aRequest,
                                      const token_fields& aToken,
                                      const dispatch_callback& aDone)
{
  if (aToken.mIssuer == mSelf) {
    aDone(BeginOwnToken(aRequest, aToken));
  } else if (IsGone(mBoard, aToken.mIssuer)) {
    aDone(RefusalVerdict(refusal_reason::DuplicateKey,
                         outcome::Unknown,
                         "the router that issued the token is gone"));
  } else {
    AskIssuer(aRequest, aToken.mIssuer, aDone);
  }
}

dispatch_decision
at_most_once_guard::state::BeginOwnToken(const dispatch_request& aRequest,
                                         const token_fields& aToken)
{
  if (!mIssuer.Verify(aRequest.mKey.mText, aRequest.mKey.mAccount)) {
    return RefusalVerdict(refusal_reason::BadRequest,
                          outcome::NotRun,
                          "the token was not issued to this account");
  }
  if (mTimers.Now() >= ExpiryOf(aToken)) {
    return RefusalVerdict(
      refusal_reason::DuplicateKey, outcome::Unknown, "the token has expired");
  }
  once_entry entry;
  entry.mContentHash = aRequest.mContentHash;
  entry.mKeepUntil = ExpiryOf(aToken);
  if (mTable.Add(aRequest.mKey, std::move(entry)) == nullptr) {
    return RefusalVerdict(refusal_reason::NotReady,
                          outcome::NotRun,
                          "too many requests to keep apart",
                          mSettings.mRetryAfter);
  }
  return RunVerdict();
}

void
at_most_once_guard::state::AskIssuer(const dispatch_request& aRequest,
                                     const process_id& aIssuer,
                                     const dispatch_callback& aDone)
{
  const auto retryAfter = mSettings.mRetryAfter;
  mFates.Ask(
    aIssuer,
    { WireKey(aRequest.mKey), NewRequestId() },
    [aDone, retryAfter](std::optional<outcome> aOutcome) {
      if (!aOutcome) {
        aDone(RefusalVerdict(refusal_reason::DuplicateKey,
                             outcome::Unknown,
                             "the router that issued the token does not answer",
                             retryAfter));
      } else if (*aOutcome == outcome::NotRun) {
        aDone(
          RefusalVerdict(refusal_reason::DuplicateKey,
                         outcome::NotRun,
                         "another router issued the token; take a new one"));
      } else {
        aDone(RefusalVerdict(
          refusal_reason::DuplicateKey,
          *aOutcome,
          "the token was used at another router",
          *aOutcome == outcome::Unknown ? retryAfter : retryAfter.zero()));
      }
    });
}

outcome
at_most_once_guard::state::CloseToken(const idempotency_key& aKey,
                                      const token_fields& aToken)
{
  if (auto* const entry = mTable.Find(aKey)) {
    if (entry->mState == entry_state::NotRun) {
      entry->mState = entry_state::Closed;
    }
    return OutcomeOf(*entry);
  }
  if (mTimers.Now() >= ExpiryOf(aToken)) {
    return outcome::Unknown;
  }
  once_entry closed;
  closed.mState = entry_state::Closed;
  closed.mKeepUntil = ExpiryOf(aToken);
  return mTable.Add(aKey, std::move(closed)) == nullptr ? outcome::Unknown
                                                        : outcome::NotRun;
}

steady_time
at_most_once_guard::state::ExpiryOf(const token_fields& aToken) const
{
  return aToken.mIssuedAt + mSettings.mTokenLifetime;
}

} // namespace sapphirespar::ledger
