// A claim shard as its owner holds it in memory. No I/O and no clock.
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

struct claim_image
{
  // The head as last read or written, and its version.
  claim_head mHead;
  object_version mVersion = kNoObject;
  // By number; those that the head names, and the one that is being written.
  std::map<std::uint64_t, claim_archive> mArchives;

  // Returns the newest row of a key, or null.
  const claim_row* Find(const std::string& aHash) const;

  // Notes how a claimed request ended.
  void Note(const claim_finished& aEnd);

  // Takes over a head that was read, and forgets archives that may have
  // changed since they were read.
  void Reset(claim_head aHead, object_version aVersion);

  // Returns an archive that the head names but that has not been read.
  std::optional<std::uint64_t> MissingArchive() const;

  // Returns the archive that takes the head's rows: the last one if they fit,
  // otherwise the next number.
  std::uint64_t ArchiveTarget(std::size_t aLimitBytes) const;

  // Returns the rows of an archive with the head's added.
  claim_rows Merged(std::uint64_t aArchive) const;

  // Returns a head whose rows have moved to aArchive.
  claim_head Archived(std::uint64_t aArchive, std::uint64_t aClock) const;

  // Removes and returns archives that the head no longer names.
  std::map<std::uint64_t, claim_archive> TakeUnnamed();
};

// Drops archives whose newest claim is older than aRetention seconds. The last
// one stays, so that its number is never used again.
void DropOldArchives(claim_head& aHead, std::uint64_t aRetention);

// Whether a key with that row, or null, may be granted to aRequest.
bool IsFree(const claim_request& aRequest, const claim_row* aRow);

// Returns what aRequest is told once aRow is certain.
claim_answer AnswerTo(const claim_request& aRequest, const claim_row& aRow);

} // namespace sapphirespar::ledger
