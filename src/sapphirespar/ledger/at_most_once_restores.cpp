// Reports this process's claims to their owners after a restore of the store,
// and learns which other processes have done so.
#include "at_most_once_state.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace sapphirespar::ledger {
namespace {

using namespace std::chrono_literals;

// Copies from which the store comes back are no older than this.
constexpr std::chrono::seconds kLongestLoss = 60s;
// Claims that are not confirmed are reported again at this interval, because
// messages may be lost, and owners may restart or change.
constexpr std::chrono::milliseconds kReportInterval = 500ms;
// All claims of this process count as reported no sooner than this: a claim
// that waits for its answer may still be granted.
constexpr std::chrono::seconds kReportTime = 8s;
// An owner reads its shard again within this time.
constexpr std::chrono::seconds kConfirmTime = 4s;
// How long reports are sent, and expected of others.
constexpr std::chrono::seconds kListenTime = 60s;

} // namespace

void
at_most_once_guard::state::NoteStoreEra(store_era aEra)
{
  if (aEra <= mEra) {
    return;
  }
  mSawRestore = std::exchange(mEra, aEra) != 0;
  mEraAt = mTimers.Now();
  mReported.clear();
  mConfirmed.clear();
  mClaimants.clear();
  for (const auto& [vm, member] : mBoard.mMembers) {
    mClaimants.insert(member.mProcess);
  }
  mClaimants.insert(mSelf);
  mClaimServer.NoteStoreEra(aEra);
  mIsReporting = mSawRestore;
  if (mIsReporting) {
    mReportTimer = mTimers.Every(kReportInterval, [this] { ReportClaims(); });
    ReportClaims();
  }
}

// Returns whether reports of other processes may arrive.
bool
at_most_once_guard::state::MayGetReports() const
{
  return mEra != 0 && mTimers.Now() - mEraAt < kListenTime;
}

// Reports the claims whose requests may have run, and asks for each of them
// until an owner answers that it is in the store.
void
at_most_once_guard::state::ReportClaims()
{
  if (!mIsReporting) {
    mReportTimer = {};
    return;
  }
  bool allConfirmed = true;
  // A callback may change the table.
  std::vector<claim_finished> claims;
  for (const auto& [key, entry] : mTable.Entries()) {
    const bool mayHaveRun = entry.mState == entry_state::Running ||
                            entry.mState == entry_state::Unknown ||
                            entry.mState == entry_state::Done;
    if (mayHaveRun && entry.mIsClaim && !mConfirmed.contains(entry.mAttempt)) {
      claims.push_back({ WireKey(key), entry.mAttempt, OutcomeOf(entry) });
    }
  }
  for (const auto& claim : claims) {
    allConfirmed = false;
    mClaimClient.Report(
      claim, [this](const claim_answer& aAnswer) { OnReportAnswer(aAnswer); });
  }
  const auto elapsed = mTimers.Now() - mEraAt;
  if ((allConfirmed && elapsed >= kReportTime) || elapsed >= kListenTime) {
    mIsReporting = false;
    if (allConfirmed) {
      SendComplete();
    }
  }
}

// Granted says that the claim is in the store.
void
at_most_once_guard::state::OnReportAnswer(const claim_answer& aAnswer)
{
  // Before, an owner may not have learned of the restore.
  const bool isRecent = mTimers.Now() - mEraAt >= kConfirmTime;
  if (mIsReporting && isRecent && aAnswer.mVerdict == claim_verdict::Granted) {
    mConfirmed.insert(aAnswer.mRequest);
  }
}

// Tells all members that the claims of this process are in the store. A process
// that had started shortly before the restore can't tell for the one before it.
void
at_most_once_guard::state::SendComplete()
{
  mConfirmed.clear();
  if (mEraAt - mStartedAt < kLongestLoss) {
    return;
  }
  mReported.insert(mSelf);
  for (const auto& [vm, member] : mBoard.mMembers) {
    if (vm != mSelf.mVm) {
      mPeers.Send(vm, claim_finished{});
    }
  }
}

void
at_most_once_guard::state::OnClaimFinished(const process_id& aFrom,
                                           const claim_finished& aEnd)
{
  if (aEnd.mKey.empty()) {
    mReported.insert(aFrom);
  } else if (MayGetReports()) {
    mClaimServer.Report(aFrom, aEnd);
  } else {
    mClaimServer.Finished(aEnd);
  }
}

// Returns whether the claims of all processes are known to have been reported
// since the last restore.
bool
at_most_once_guard::state::HaveAllReported() const
{
  return mSawRestore && std::ranges::includes(mReported, mClaimants);
}

} // namespace sapphirespar::ledger
