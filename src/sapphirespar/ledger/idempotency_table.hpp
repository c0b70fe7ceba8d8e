// The idempotency keys whose requests this process has decided about, with
// their state and stored answer.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <vector>

namespace sapphirespar::ledger {

enum class entry_state
{
  // Waits for the result of its claim.
  Claiming,
  // May have been dispatched; its end has not been reported yet.
  Running,
  // Not run by this process; a retry may run.
  NotRun,
  // Not run and will never run, because another process has been promised so.
  Closed,
  // May have run.
  Unknown,
  Done,
};

struct idempotency_entry
{
  entry_state mState = entry_state::Running;
  std::uint64_t mContentHash = 0;
  // The latest attempt; identifies its claim. Empty for tokens.
  request_id mAttempt;
  // Earlier attempts. None of them has run or will ever run.
  std::vector<request_id> mReleased;
  // The claim of mAttempt has been granted.
  bool mIsClaim = false;
  // An entry whose request has ended is removed after this time. It is never
  // earlier than the expiry of the entry's token.
  steady_time mKeepUntil{};
  stored_answer_ptr mAnswer;
};

class idempotency_table
{
public:
  explicit idempotency_table(const at_most_once_settings& aSettings);

  // Returns null for a key that is not known.
  idempotency_entry* Find(const idempotency_key& aKey);

  // Returns null if the table is full. The key must not be known.
  idempotency_entry* Add(const idempotency_key& aKey, idempotency_entry aEntry);

  const std::map<idempotency_key, idempotency_entry>& Entries() const
  {
    return mEntries;
  }

  // Stores aAnswer in aEntry if it fits into the size limits.
  void StoreAnswer(idempotency_entry& aEntry, stored_answer_ptr aAnswer);

  // Removes entries whose request has ended and whose retention is over.
  void Sweep(steady_time aNow);

  at_most_once_counts Counts() const;

private:
  const at_most_once_settings mSettings;
  std::map<idempotency_key, idempotency_entry> mEntries;
  // Total size of the answers in mEntries.
  std::size_t mAnswerBytes = 0;
};

// Returns whether the entry's request has not ended yet.
bool IsOpen(const idempotency_entry& aEntry);

// Returns the outcome to report to callers and other processes for an entry.
outcome OutcomeOf(const idempotency_entry& aEntry);

} // namespace sapphirespar::ledger
