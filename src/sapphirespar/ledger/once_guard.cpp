// The guard: looks a key up in the table, then lets its own tokens run and
// asks about all others.
#include "sapphirespar/ledger/once_guard.hpp"

#include "fate_asker.hpp"
#include "once_table.hpp"
#include "sapphirespar/base/log.hpp"
#include "sapphirespar/ledger/token.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::size_t kKeyLimitBytes = 256;
constexpr std::chrono::seconds kSweepInterval{ 10 };

// A key with its account as it travels between processes.
std::string
WireKey(const once_key& aKey)
{
  return aKey.mAccount.mText + '\n' + aKey.mText;
}

once_key
ReadWireKey(std::string_view aText)
{
  const auto split = std::min(aText.find('\n'), aText.size());
  const auto text = aText.substr(std::min(split + 1, aText.size()));
  return { { std::string(aText.substr(0, split)) }, std::string(text) };
}

once_verdict
Run()
{
  return { .mRun = true, .mRefusal = {}, .mAnswer = nullptr };
}

once_verdict
Refuse(refusal_reason aReason,
       outcome aOutcome,
       std::string aDetail,
       std::chrono::milliseconds aRetryAfter = {})
{
  return { .mRun = false,
           .mRefusal = { aReason, aOutcome, std::move(aDetail), aRetryAfter },
           .mAnswer = nullptr };
}

} // namespace

class once_guard::state : public std::enable_shared_from_this<state>
{
public:
  state(const blackboard& aBoard,
        peer_network& aPeers,
        timer_service& aTimers,
        const once_settings& aSettings)
    : mBoard(aBoard)
    , mSelf(aBoard.mSelf)
    , mPeers(aPeers)
    , mTimers(aTimers)
    , mSettings(aSettings)
    , mIssuer(aBoard.mSelf)
    , mTable(aSettings)
    , mFates(aPeers, aTimers, aSettings)
    , mSweep(
        aTimers.Every(kSweepInterval, [this] { mTable.Sweep(mTimers.Now()); }))
  {
  }

  void Begin(const once_request& aRequest, const once_callback& aDone);
  void Finished(const once_key& aKey,
                outcome aOutcome,
                stored_answer_ptr aAnswer);
  void OnFateRequest(const process_id& aFrom, const fate_request& aQuestion);

  const blackboard& mBoard;
  const process_id mSelf;
  peer_network& mPeers;
  timer_service& mTimers;
  const once_settings mSettings;
  const token_issuer mIssuer;
  once_table mTable;
  fate_asker mFates;

private:
  once_verdict VerdictOn(const once_request& aRequest, once_entry& aEntry);
  void BeginToken(const once_request& aRequest,
                  const token_fields& aToken,
                  const once_callback& aDone);
  once_verdict BeginOwnToken(const once_request& aRequest,
                             const token_fields& aToken);
  void AskIssuer(const once_request& aRequest,
                 const process_id& aIssuer,
                 const once_callback& aDone);
  outcome CloseToken(const once_key& aKey, const token_fields& aToken);
  steady_time ExpiryOf(const token_fields& aToken) const;
  bool IsGone(const process_id& aProcess) const;

  timer_subscription mSweep;
};

void
once_guard::state::Begin(const once_request& aRequest,
                         const once_callback& aDone)
{
  const auto& text = aRequest.mKey.mText;
  if (aRequest.mMode == once_mode::None) {
    aDone(Run());
  } else if (text.empty()) {
    aDone(Refuse(refusal_reason::MissingKey,
                 outcome::NotRun,
                 "this class needs an Idempotency-Key"));
  } else if (text.size() > kKeyLimitBytes) {
    aDone(Refuse(refusal_reason::BadRequest,
                 outcome::NotRun,
                 "the Idempotency-Key is longer than 256 bytes"));
  } else if (auto* const entry = mTable.Find(aRequest.mKey)) {
    aDone(VerdictOn(aRequest, *entry));
  } else if (const auto token = ReadToken(text)) {
    BeginToken(aRequest, *token, aDone);
  } else {
    aDone(Refuse(refusal_reason::BadRequest,
                 outcome::NotRun,
                 "the Idempotency-Key is not a token; POST /v1/tokens "
                 "issues one"));
  }
}

once_verdict
once_guard::state::VerdictOn(const once_request& aRequest, once_entry& aEntry)
{
  if (aEntry.mContentHash != aRequest.mContentHash &&
      aEntry.mState != entry_state::Closed) {
    return Refuse(refusal_reason::DuplicateKey,
                  outcome::Unknown,
                  "the key was used for another request");
  }
  switch (aEntry.mState) {
    case entry_state::NotRun:
      aEntry.mState = entry_state::Running;
      return Run();
    case entry_state::Claiming:
    case entry_state::Running:
      return Refuse(refusal_reason::DuplicateKey,
                    outcome::Unknown,
                    "the request is in progress",
                    mSettings.mRetryAfter);
    case entry_state::Closed:
      return Refuse(refusal_reason::DuplicateKey,
                    outcome::NotRun,
                    "the token is closed; take a new one");
    case entry_state::Unknown:
    case entry_state::Done:
      break;
  }
  auto verdict = Refuse(refusal_reason::DuplicateKey,
                        OutcomeOf(aEntry),
                        "the request was dispatched before");
  verdict.mAnswer = aEntry.mAnswer;
  return verdict;
}

void
once_guard::state::BeginToken(const once_request& aRequest,
                              const token_fields& aToken,
                              const once_callback& aDone)
{
  if (aToken.mIssuer == mSelf) {
    aDone(BeginOwnToken(aRequest, aToken));
  } else if (IsGone(aToken.mIssuer)) {
    aDone(Refuse(refusal_reason::DuplicateKey,
                 outcome::Unknown,
                 "the router that issued the token is gone"));
  } else {
    AskIssuer(aRequest, aToken.mIssuer, aDone);
  }
}

once_verdict
once_guard::state::BeginOwnToken(const once_request& aRequest,
                                 const token_fields& aToken)
{
  if (!mIssuer.Verify(aRequest.mKey.mText, aRequest.mKey.mAccount)) {
    return Refuse(refusal_reason::BadRequest,
                  outcome::NotRun,
                  "the token was not issued to this account");
  }
  if (mTimers.Now() >= ExpiryOf(aToken)) {
    return Refuse(
      refusal_reason::DuplicateKey, outcome::Unknown, "the token has expired");
  }
  once_entry entry;
  entry.mContentHash = aRequest.mContentHash;
  entry.mKeepUntil = ExpiryOf(aToken);
  if (mTable.Add(aRequest.mKey, std::move(entry)) == nullptr) {
    return Refuse(refusal_reason::NotReady,
                  outcome::NotRun,
                  "too many requests to keep apart",
                  mSettings.mRetryAfter);
  }
  return Run();
}

void
once_guard::state::AskIssuer(const once_request& aRequest,
                             const process_id& aIssuer,
                             const once_callback& aDone)
{
  const auto retryAfter = mSettings.mRetryAfter;
  mFates.Ask(
    aIssuer,
    { WireKey(aRequest.mKey), NewRequestId() },
    [aDone, retryAfter](std::optional<outcome> aOutcome) {
      if (!aOutcome) {
        aDone(Refuse(refusal_reason::DuplicateKey,
                     outcome::Unknown,
                     "the router that issued the token does not answer",
                     retryAfter));
      } else if (*aOutcome == outcome::NotRun) {
        aDone(Refuse(refusal_reason::DuplicateKey,
                     outcome::NotRun,
                     "another router issued the token; take a new one"));
      } else {
        aDone(Refuse(refusal_reason::DuplicateKey,
                     *aOutcome,
                     "the token was used at another router",
                     *aOutcome == outcome::Unknown ? retryAfter
                                                   : retryAfter.zero()));
      }
    });
}

void
once_guard::state::Finished(const once_key& aKey,
                            outcome aOutcome,
                            stored_answer_ptr aAnswer)
{
  auto* const entry = mTable.Find(aKey);
  if (entry == nullptr || entry->mState != entry_state::Running) {
    return;
  }
  const auto end = mTimers.Now() + mSettings.mFateRetention;
  entry->mKeepUntil = std::max(entry->mKeepUntil, end);
  switch (aOutcome) {
    case outcome::NotRun:
      entry->mState = entry_state::NotRun;
      break;
    case outcome::Unknown:
      entry->mState = entry_state::Unknown;
      break;
    case outcome::Done:
      entry->mState = entry_state::Done;
      mTable.KeepAnswer(*entry, std::move(aAnswer));
      break;
  }
}

// Answering "not run" closes the key, so that the answer stays true when an
// earlier copy of the request arrives late.
void
once_guard::state::OnFateRequest(const process_id& aFrom,
                                 const fate_request& aQuestion)
{
  const auto key = ReadWireKey(aQuestion.mKey);
  const auto token = ReadToken(key.mText);
  auto fate = outcome::Unknown;
  if (token && mIssuer.Verify(key.mText, key.mAccount)) {
    fate = CloseToken(key, *token);
  }
  mPeers.Send(aFrom.mVm,
              fate_answer{ aQuestion.mKey, aQuestion.mRequest, fate });
}

outcome
once_guard::state::CloseToken(const once_key& aKey, const token_fields& aToken)
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
once_guard::state::ExpiryOf(const token_fields& aToken) const
{
  return aToken.mIssuedAt + mSettings.mTokenLifetime;
}

bool
once_guard::state::IsGone(const process_id& aProcess) const
{
  if (aProcess.mVm == mSelf.mVm) {
    return true;
  }
  const auto found = mBoard.mMembers.find(aProcess.mVm);
  return found == mBoard.mMembers.end() ||
         found->second.mState == member_state::Dead ||
         found->second.mProcess.mIncarnation > aProcess.mIncarnation;
}

once_guard::once_guard(const blackboard& aBoard,
                       platform_api& /*aPlatform*/,
                       peer_network& aPeers,
                       timer_service& aTimers,
                       once_settings aSettings)
  : mState(std::make_shared<state>(aBoard, aPeers, aTimers, aSettings))
{
}

once_guard::~once_guard() = default;

std::string
once_guard::IssueToken(const account_id& aAccount) const
{
  return mState->mIssuer.Issue(aAccount, mState->mTimers.Now());
}

void
once_guard::Begin(once_request aRequest, once_callback aDone)
{
  mState->Begin(aRequest, aDone);
}

void
once_guard::Finished(const once_key& aKey,
                     outcome aOutcome,
                     stored_answer_ptr aAnswer)
{
  mState->Finished(aKey, aOutcome, std::move(aAnswer));
}

bool
once_guard::OnPeerMessage(const process_id& aFrom, const peer_message& aMessage)
{
  if (const auto* const question = std::get_if<fate_request>(&aMessage)) {
    mState->OnFateRequest(aFrom, *question);
    return true;
  }
  if (const auto* const answer = std::get_if<fate_answer>(&aMessage)) {
    mState->mFates.OnAnswer(aFrom, *answer);
    return true;
  }
  return false;
}

once_counts
once_guard::Counts() const
{
  return mState->mTable.Counts();
}

} // namespace sapphirespar::ledger
