// The table of known idempotency keys, bounded in entries and in bytes.
#include "idempotency_table.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace sapphirespar::ledger {

idempotency_table::idempotency_table(const at_most_once_settings& aSettings)
  : mSettings(aSettings)
{
}

idempotency_entry*
idempotency_table::Find(const idempotency_key& aKey)
{
  const auto found = mEntries.find(aKey);
  return found == mEntries.end() ? nullptr : &found->second;
}

idempotency_entry*
idempotency_table::Add(const idempotency_key& aKey, idempotency_entry aEntry)
{
  if (mEntries.size() >= mSettings.mMaxEntries) {
    return nullptr;
  }
  const auto [place, added] = mEntries.emplace(aKey, std::move(aEntry));
  assert(added);
  return &place->second;
}

void
idempotency_table::StoreAnswer(idempotency_entry& aEntry,
                               stored_answer_ptr aAnswer)
{
  if (!aAnswer || aAnswer->mBody.size() > mSettings.mMaxAnswerBytes ||
      mAnswerBytes + aAnswer->mBody.size() > mSettings.mMaxTotalAnswerBytes) {
    return;
  }
  mAnswerBytes += aAnswer->mBody.size();
  aEntry.mAnswer = std::move(aAnswer);
}

void
idempotency_table::Sweep(steady_time aNow)
{
  std::erase_if(mEntries, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    if (IsOpen(entry) || entry.mKeepUntil > aNow) {
      return false;
    }
    mAnswerBytes -= entry.mAnswer ? entry.mAnswer->mBody.size() : 0;
    return true;
  });
}

at_most_once_counts
idempotency_table::Counts() const
{
  const auto running = std::ranges::count_if(
    mEntries, [](const auto& aItem) { return IsOpen(aItem.second); });
  return { mEntries.size(), static_cast<std::size_t>(running), mAnswerBytes };
}

bool
IsOpen(const idempotency_entry& aEntry)
{
  return aEntry.mState == entry_state::Claiming ||
         aEntry.mState == entry_state::Running;
}

outcome
OutcomeOf(const idempotency_entry& aEntry)
{
  switch (aEntry.mState) {
    case entry_state::NotRun:
    case entry_state::Closed:
      return outcome::NotRun;
    case entry_state::Done:
      return outcome::Done;
    case entry_state::Claiming:
    case entry_state::Running:
    case entry_state::Unknown:
      break;
  }
  return outcome::Unknown;
}

} // namespace sapphirespar::ledger
