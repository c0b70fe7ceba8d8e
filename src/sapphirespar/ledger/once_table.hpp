// What one process knows of the idempotency keys that it has let run.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"

#include <map>
#include <vector>

namespace sapphirespar::ledger {

enum class entry_state
{
  // Waits for the verdict on its claim.
  Claiming,
  // Has been let run; its end is not known yet.
  Running,
  // Provably not run here; a retry may run.
  NotRun,
  // Not run, and never will be: another process has been told so.
  Closed,
  // May have run.
  Unknown,
  Done,
};

struct once_entry
{
  entry_state mState = entry_state::Running;
  std::uint64_t mContentHash = 0;
  // The latest attempt, as its claim names it.
  request_id mAttempt;
  // Earlier attempts; none of them has run or ever will.
  std::vector<request_id> mReleased;
  // An entry that has ended is forgotten then, and never before its token
  // has expired.
  steady_time mKeepUntil{};
  stored_answer_ptr mAnswer;
};

class once_table
{
public:
  explicit once_table(const at_most_once_settings& aSettings);

  // Returns null for a key that is not known.
  once_entry* Find(const idempotency_key& aKey);

  // Returns null if the table is full. The key must not be known.
  once_entry* Add(const idempotency_key& aKey, once_entry aEntry);

  // Keeps aAnswer with aEntry if there is room.
  void KeepAnswer(once_entry& aEntry, stored_answer_ptr aAnswer);

  // Forgets entries that have ended and are due.
  void Sweep(steady_time aNow);

  at_most_once_counts Counts() const;

private:
  const at_most_once_settings mSettings;
  std::map<idempotency_key, once_entry> mEntries;
  // Sum over the answers in mEntries.
  std::size_t mAnswerBytes = 0;
};

// Whether an entry still waits for its end.
bool IsOpen(const once_entry& aEntry);

// What is told of an entry's key.
outcome OutcomeOf(const once_entry& aEntry);

} // namespace sapphirespar::ledger
