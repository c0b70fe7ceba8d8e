// Decides a request by its key's table entry or, for an unknown key, as a token
// or a claim.
#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include "at_most_once_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::chrono::seconds kSweepInterval{ 10 };

} // namespace

std::string
WireKey(const idempotency_key& aKey)
{
  return aKey.mAccount.mText + '\n' + aKey.mText;
}

idempotency_key
ReadWireKey(std::string_view aText)
{
  const auto split = std::min(aText.find('\n'), aText.size());
  const auto text = aText.substr(std::min(split + 1, aText.size()));
  return { { std::string(aText.substr(0, split)) }, std::string(text) };
}

dispatch_decision
AllowDispatch()
{
  return { .mMayDispatch = true, .mRefusal = {}, .mAnswer = nullptr };
}

dispatch_decision
RefuseDispatch(refusal_reason aReason,
               outcome aOutcome,
               std::string aDetail,
               std::chrono::milliseconds aRetryAfter)
{
  return { .mMayDispatch = false,
           .mRefusal = { aReason, aOutcome, std::move(aDetail), aRetryAfter },
           .mAnswer = nullptr };
}

at_most_once_guard::state::state(const blackboard& aBoard,
                                 platform_api& aPlatform,
                                 peer_network& aPeers,
                                 timer_service& aTimers,
                                 const at_most_once_settings& aSettings)
  : mBoard(aBoard)
  , mSelf(aBoard.mSelf)
  , mPeers(aPeers)
  , mTimers(aTimers)
  , mSettings(aSettings)
  , mIssuer(aBoard.mSelf)
  , mTable(aSettings)
  , mOutcomeClient(aPeers, aTimers, aSettings)
  , mClaimServer(
      aPlatform,
      aTimers,
      { [this] { return HaveAllReported(); },
        [this] { return mEra != 0 ? std::optional(mEraAt) : std::nullopt; } })
  , mClaimClient(aBoard,
                 aPeers,
                 aTimers,
                 mClaimServer,
                 mOutcomeClient,
                 aSettings)
  , mSweep(aTimers.Every(kSweepInterval, [this] { Sweep(); }))
  , mStartedAt(aTimers.Now())
{
}

void
at_most_once_guard::state::Begin(const dispatch_request& aRequest,
                                 const dispatch_callback& aDone)
{
  const auto& text = aRequest.mKey.mText;
  const auto token = ReadToken(text);
  auto* const entry = mTable.Find(aRequest.mKey);
  if (aRequest.mMode == at_most_once_mode::None) {
    aDone(AllowDispatch());
  } else if (text.empty()) {
    aDone(RefuseDispatch(refusal_reason::MissingKey,
                         outcome::NotRun,
                         "this class needs an Idempotency-Key"));
  } else if (text.size() > kMaxKeyBytes) {
    aDone(RefuseDispatch(refusal_reason::BadRequest,
                         outcome::NotRun,
                         "the Idempotency-Key is longer than 256 bytes"));
  } else if (entry != nullptr && entry->mState != entry_state::NotRun) {
    aDone(DecideForEntry(aRequest, *entry));
  } else if (token) {
    BeginToken(aRequest, *token, aDone);
  } else if (aRequest.mMode == at_most_once_mode::Claim) {
    BeginClaim(aRequest, aDone);
  } else {
    aDone(RefuseDispatch(refusal_reason::BadRequest,
                         outcome::NotRun,
                         "the Idempotency-Key is not a token; POST "
                         "/v1/tokens issues one"));
  }
}

// Returns the refusal for a key that is in use or has been used.
dispatch_decision
at_most_once_guard::state::DecideForEntry(const dispatch_request& aRequest,
                                          const idempotency_entry& aEntry) const
{
  if (aEntry.mState == entry_state::Closed) {
    return RefuseDispatch(refusal_reason::DuplicateKey,
                          outcome::NotRun,
                          "the token is closed; take a new one");
  }
  if (aEntry.mContentHash != aRequest.mContentHash) {
    return RefuseDispatch(refusal_reason::DuplicateKey,
                          outcome::Unknown,
                          "the key was used for another request");
  }
  if (IsOpen(aEntry)) {
    return RefuseDispatch(refusal_reason::DuplicateKey,
                          outcome::Unknown,
                          "the request is in progress",
                          mSettings.mRetryAfter);
  }
  auto decision = RefuseDispatch(refusal_reason::DuplicateKey,
                                 OutcomeOf(aEntry),
                                 "the request was dispatched before");
  decision.mAnswer = aEntry.mAnswer;
  return decision;
}

void
at_most_once_guard::state::Finished(const idempotency_key& aKey,
                                    outcome aOutcome,
                                    stored_answer_ptr aAnswer)
{
  auto* const entry = mTable.Find(aKey);
  if (entry == nullptr || entry->mState != entry_state::Running) {
    return;
  }
  switch (aOutcome) {
    case outcome::NotRun:
      EndEntry(*entry, entry_state::NotRun);
      break;
    case outcome::Unknown:
      EndEntry(*entry, entry_state::Unknown);
      break;
    case outcome::Done:
      EndEntry(*entry, entry_state::Done);
      mTable.StoreAnswer(*entry, std::move(aAnswer));
      OnClaimFinished(aKey, *entry);
      break;
  }
}

void
at_most_once_guard::state::EndEntry(idempotency_entry& aEntry,
                                    entry_state aState)
{
  aEntry.mState = aState;
  aEntry.mKeepUntil =
    std::max(aEntry.mKeepUntil, mTimers.Now() + mSettings.mOutcomeRetention);
}

// An answer of "not run" is a promise: this process never runs the token or the
// attempt afterwards. A delayed copy of the request is refused.
void
at_most_once_guard::state::OnOutcomeQuery(const process_id& aFrom,
                                          const outcome_query& aQuery)
{
  const auto key = ReadWireKey(aQuery.mKey);
  const auto token = ReadToken(key.mText);
  auto answer = outcome::Unknown;
  if (!token) {
    answer = OutcomeOfClaim(key, aQuery.mRequest);
  } else if (mIssuer.Verify(key.mText, key.mAccount)) {
    answer = CloseToken(key, *token);
  }
  mPeers.Send(aFrom.mVm,
              outcome_answer{ aQuery.mKey, aQuery.mRequest, answer });
}

bool
at_most_once_guard::state::OnPeerMessage(const process_id& aFrom,
                                         const peer_message& aMessage)
{
  if (const auto* const query = std::get_if<outcome_query>(&aMessage)) {
    OnOutcomeQuery(aFrom, *query);
  } else if (const auto* const outcomeAnswer =
               std::get_if<outcome_answer>(&aMessage)) {
    mOutcomeClient.OnAnswer(aFrom, *outcomeAnswer);
  } else if (const auto* const claimRequest =
               std::get_if<claim_request>(&aMessage)) {
    OnClaimRequest(aFrom, *claimRequest);
  } else if (const auto* const claimAnswer =
               std::get_if<claim_answer>(&aMessage)) {
    mClaimClient.OnAnswer(*claimAnswer);
    OnReportAnswer(*claimAnswer);
  } else if (const auto* const finished =
               std::get_if<claim_finished>(&aMessage)) {
    OnClaimFinished(aFrom, *finished);
  } else {
    return false;
  }
  return true;
}

std::string
at_most_once_guard::state::IssueToken(const account_id& aAccount) const
{
  return mIssuer.Issue(aAccount, mTimers.Now());
}

void
at_most_once_guard::state::Sweep()
{
  mTable.Sweep(mTimers.Now());
  mClaimServer.Sweep(mTimers.Now());
}

at_most_once_guard::at_most_once_guard(const blackboard& aBoard,
                                       platform_api& aPlatform,
                                       peer_network& aPeers,
                                       timer_service& aTimers,
                                       at_most_once_settings aSettings)
  : mState(
      std::make_shared<state>(aBoard, aPlatform, aPeers, aTimers, aSettings))
{
}

at_most_once_guard::~at_most_once_guard() = default;

std::string
at_most_once_guard::IssueToken(const account_id& aAccount) const
{
  return mState->IssueToken(aAccount);
}

void
at_most_once_guard::Begin(dispatch_request aRequest, dispatch_callback aDone)
{
  mState->Begin(aRequest, aDone);
}

void
at_most_once_guard::Finished(const idempotency_key& aKey,
                             outcome aOutcome,
                             stored_answer_ptr aAnswer)
{
  mState->Finished(aKey, aOutcome, std::move(aAnswer));
}

bool
at_most_once_guard::OnPeerMessage(const process_id& aFrom,
                                  const peer_message& aMessage)
{
  return mState->OnPeerMessage(aFrom, aMessage);
}

void
at_most_once_guard::NoteStoreEra(store_era aEra)
{
  mState->NoteStoreEra(aEra);
}

at_most_once_counts
at_most_once_guard::Counts() const
{
  return mState->Counts();
}

} // namespace sapphirespar::ledger
