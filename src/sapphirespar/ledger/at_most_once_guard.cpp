// The guard: looks a key up in the table, then goes by its kind.
#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include "once_state.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::size_t kKeyLimitBytes = 256;
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
RunVerdict()
{
  return { .mMayDispatch = true, .mRefusal = {}, .mAnswer = nullptr };
}

dispatch_decision
RefusalVerdict(refusal_reason aReason,
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
  , mFates(aPeers, aTimers, aSettings)
  , mKeeper(aPlatform, aTimers)
  , mClaims(aBoard, aPeers, aTimers, mKeeper, mFates, aSettings)
  , mSweep(aTimers.Every(kSweepInterval, [this] { Sweep(); }))
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
    aDone(RunVerdict());
  } else if (text.empty()) {
    aDone(RefusalVerdict(refusal_reason::MissingKey,
                         outcome::NotRun,
                         "this class needs an Idempotency-Key"));
  } else if (text.size() > kKeyLimitBytes) {
    aDone(RefusalVerdict(refusal_reason::BadRequest,
                         outcome::NotRun,
                         "the Idempotency-Key is longer than 256 bytes"));
  } else if (entry != nullptr && entry->mState != entry_state::NotRun) {
    aDone(VerdictOn(aRequest, *entry));
  } else if (token) {
    BeginToken(aRequest, *token, aDone);
  } else if (aRequest.mMode == at_most_once_mode::Claim) {
    BeginClaim(aRequest, aDone);
  } else {
    aDone(RefusalVerdict(refusal_reason::BadRequest,
                         outcome::NotRun,
                         "the Idempotency-Key is not a token; POST "
                         "/v1/tokens issues one"));
  }
}

// What is told of a key that is in use or has been used.
dispatch_decision
at_most_once_guard::state::VerdictOn(const dispatch_request& aRequest,
                                     const once_entry& aEntry) const
{
  if (aEntry.mState == entry_state::Closed) {
    return RefusalVerdict(refusal_reason::DuplicateKey,
                          outcome::NotRun,
                          "the token is closed; take a new one");
  }
  if (aEntry.mContentHash != aRequest.mContentHash) {
    return RefusalVerdict(refusal_reason::DuplicateKey,
                          outcome::Unknown,
                          "the key was used for another request");
  }
  if (IsOpen(aEntry)) {
    return RefusalVerdict(refusal_reason::DuplicateKey,
                          outcome::Unknown,
                          "the request is in progress",
                          mSettings.mRetryAfter);
  }
  auto verdict = RefusalVerdict(refusal_reason::DuplicateKey,
                                OutcomeOf(aEntry),
                                "the request was dispatched before");
  verdict.mAnswer = aEntry.mAnswer;
  return verdict;
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
      mTable.KeepAnswer(*entry, std::move(aAnswer));
      OnClaimFinished(aKey, *entry);
      break;
  }
}

void
at_most_once_guard::state::EndEntry(once_entry& aEntry, entry_state aState)
{
  aEntry.mState = aState;
  aEntry.mKeepUntil =
    std::max(aEntry.mKeepUntil, mTimers.Now() + mSettings.mFateRetention);
}

// Answering "not run" is a promise: neither the token nor the attempt named
// here is run afterwards, so that a copy of it that arrives late is refused.
void
at_most_once_guard::state::OnFateRequest(const process_id& aFrom,
                                         const outcome_query& aQuestion)
{
  const auto key = ReadWireKey(aQuestion.mKey);
  const auto token = ReadToken(key.mText);
  auto fate = outcome::Unknown;
  if (!token) {
    fate = FateOfClaim(key, aQuestion.mRequest);
  } else if (mIssuer.Verify(key.mText, key.mAccount)) {
    fate = CloseToken(key, *token);
  }
  mPeers.Send(aFrom.mVm,
              outcome_answer{ aQuestion.mKey, aQuestion.mRequest, fate });
}

bool
at_most_once_guard::state::OnPeerMessage(const process_id& aFrom,
                                         const peer_message& aMessage)
{
  if (const auto* const question = std::get_if<outcome_query>(&aMessage)) {
    OnFateRequest(aFrom, *question);
  } else if (const auto* const fate = std::get_if<outcome_answer>(&aMessage)) {
    mFates.OnAnswer(aFrom, *fate);
  } else if (const auto* const ask = std::get_if<claim_request>(&aMessage)) {
    OnClaimRequest(aFrom, *ask);
  } else if (const auto* const claim = std::get_if<claim_answer>(&aMessage)) {
    mClaims.OnAnswer(*claim);
  } else if (const auto* const end = std::get_if<claim_finished>(&aMessage)) {
    mKeeper.Finished(*end);
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
  mKeeper.Sweep(mTimers.Now());
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

at_most_once_counts
at_most_once_guard::Counts() const
{
  return mState->Counts();
}

} // namespace sapphirespar::ledger
