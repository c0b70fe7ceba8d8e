// Requests with a token: dispatched only by the process that issued the token.
// Other processes query the issuer for the outcome.
#include "at_most_once_state.hpp"

#include <algorithm>
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
  } else if (IsTerminated(mBoard, aToken.mIssuer)) {
    aDone(RefuseDispatch(refusal_reason::DuplicateKey,
                         outcome::Unknown,
                         "the router that issued the token is gone"));
  } else {
    QueryIssuer(aRequest, aToken.mIssuer, aDone);
  }
}

dispatch_decision
at_most_once_guard::state::BeginOwnToken(const dispatch_request& aRequest,
                                         const token_fields& aToken)
{
  if (!mIssuer.Verify(aRequest.mKey.mText, aRequest.mKey.mAccount)) {
    return RefuseDispatch(refusal_reason::BadRequest,
                          outcome::NotRun,
                          "the token was not issued to this account");
  }
  if (mTimers.Now() >= ExpiryOf(aToken)) {
    return RefuseDispatch(
      refusal_reason::DuplicateKey, outcome::Unknown, "the token has expired");
  }
  // A known token was not run by its earlier dispatch; Begin refuses all
  // others.
  auto* entry = mTable.Find(aRequest.mKey);
  if (entry == nullptr) {
    entry = mTable.Add(aRequest.mKey, {});
  }
  if (entry == nullptr) {
    return RefuseDispatch(refusal_reason::NotReady,
                          outcome::NotRun,
                          "too many requests to keep apart",
                          mSettings.mRetryAfter);
  }
  entry->mState = entry_state::Running;
  entry->mContentHash = aRequest.mContentHash;
  entry->mKeepUntil = std::max(entry->mKeepUntil, ExpiryOf(aToken));
  return AllowDispatch();
}

void
at_most_once_guard::state::QueryIssuer(const dispatch_request& aRequest,
                                       const process_id& aIssuer,
                                       const dispatch_callback& aDone)
{
  const auto retryAfter = mSettings.mRetryAfter;
  mOutcomeClient.Query(
    aIssuer,
    { WireKey(aRequest.mKey), NewRequestId() },
    [aDone, retryAfter](std::optional<outcome> aOutcome) {
      if (!aOutcome) {
        aDone(RefuseDispatch(refusal_reason::DuplicateKey,
                             outcome::Unknown,
                             "the router that issued the token does not answer",
                             retryAfter));
      } else if (*aOutcome == outcome::NotRun) {
        aDone(
          RefuseDispatch(refusal_reason::DuplicateKey,
                         outcome::NotRun,
                         "another router issued the token; take a new one"));
      } else {
        aDone(RefuseDispatch(
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
  idempotency_entry closed;
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
