// The owner's in-memory copy of a claim shard. Does no I/O and reads no clock.
#pragma once

#include "claim_rows.hpp"
#include "sapphirespar/model/peer_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace sapphirespar::ledger {

struct claim_archive
{
  object_version mVersion = kNoObject;
  claim_rows mRows;
};

struct claim_cache
{
  // The head as last read or committed, with outcomes recorded since, and its
  // version in the store.
  claim_head mHead;
  object_version mVersion = kNoObject;
  // The store's era of that answer. mVersion belongs to it.
  store_era mEra = 0;
  // Archives by number: those that the head references and have been read, and
  // the one that is being written.
  std::map<std::uint64_t, claim_archive> mArchives;

  // Returns the newest row of a key, or null.
  const claim_row* Find(const std::string& aHash) const;

  // Records how a claimed request ended, if its claim is in this shard.
  void RecordOutcome(const claim_finished& aEnd);

  // Returns all rows, the newest of each key.
  claim_rows AllRows() const;

  // Replaces the head by one that was read, and removes archives that may have
  // changed since they were read.
  void Reset(claim_head aHead, object_version aVersion);

  // Returns an archive that the head references and that has not been read.
  std::optional<std::uint64_t> MissingArchive() const;

  // Returns the number of the archive for the head's rows: the last archive if
  // they fit into aLimitBytes, otherwise a new one.
  std::uint64_t ArchiveTarget(std::size_t aLimitBytes) const;

  // Returns the rows of an archive together with those of the head.
  claim_rows MergedRows(std::uint64_t aArchive) const;

  // Returns a copy of the head without rows that references aArchive. aClock is
  // the shard's clock.
  claim_head ArchivedHead(std::uint64_t aArchive, std::uint64_t aClock) const;

  // Removes and returns archives that the head does not reference.
  std::map<std::uint64_t, claim_archive> TakeUnreferenced();
};

// Drops references to archives whose newest claim is older than aRetention
// seconds. The last one stays, so that its number is not reused.
void DropOldArchives(claim_head& aHead, std::uint64_t aRetention);

// Returns whether a key may be granted to aRequest. aRow is the key's row, or
// null if it has none.
bool IsFree(const claim_request& aRequest, const claim_row* aRow);

// Returns the answer to aRequest for the committed row of its key.
claim_answer AnswerTo(const claim_request& aRequest, const claim_row& aRow);

} // namespace sapphirespar::ledger
