// The claims of one shard as they are kept in platform objects: a small head,
// rewritten by each commit, and archives that the head names.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/model/platform.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::ledger {

// Who may run a key's request.
struct claim_row
{
  process_id mHolder;
  request_id mRequest;
  outcome mOutcome = outcome::Unknown;
  // On the shard's clock.
  std::uint64_t mClaimedAt = 0;

  bool operator==(const claim_row&) const = default;
};

// By hash of the key.
using claim_rows = std::map<std::string, claim_row>;

struct claim_archive_ref
{
  std::uint64_t mNumber = 0;
  // Nothing in it was claimed after this, on the shard's clock.
  std::uint64_t mNewest = 0;

  bool operator==(const claim_archive_ref&) const = default;
};

struct claim_head
{
  // Seconds for which owners have had the shard in hand. It never runs faster
  // than real time, whatever the clocks of the vms do.
  std::uint64_t mClock = 0;
  // In order of age, oldest first.
  std::vector<claim_archive_ref> mArchives;
  claim_rows mRows;

  bool operator==(const claim_head&) const = default;
};

inline constexpr std::uint32_t kClaimShards = 128;
inline constexpr std::string_view kClaimKind = "claims";

// Returns half of the SHA-256 of a key, in hexadecimal.
std::string HashClaimKey(std::string_view aKey);

// Returns the shard of a key's hash.
std::uint32_t ShardOf(std::string_view aHash);

object_key HeadKey(std::uint32_t aShard);
object_key ArchiveKey(std::uint32_t aShard, std::uint64_t aNumber);

std::string EncodeHead(const claim_head& aHead);
std::string EncodeArchive(const claim_rows& aRows);

// Return nothing for text that is not whole and right.
std::optional<claim_head> DecodeHead(std::string_view aText);
std::optional<claim_rows> DecodeArchive(std::string_view aText);

} // namespace sapphirespar::ledger
