// The stored form of a claim shard: a small head object, rewritten by each
// commit, and archive objects that the head references by number.
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

// The process and attempt that hold the claim on a key, and their outcome.
struct claim_row
{
  process_id mHolder;
  request_id mRequest;
  outcome mOutcome = outcome::Unknown;
  // In seconds on the shard's clock.
  std::uint64_t mClaimedAt = 0;

  bool operator==(const claim_row&) const = default;
};

// Claims by the hash of their key.
using claim_rows = std::map<std::string, claim_row>;

struct claim_archive_ref
{
  std::uint64_t mNumber = 0;
  // No claim in the archive is newer than this, in seconds on the shard's
  // clock.
  std::uint64_t mNewest = 0;

  bool operator==(const claim_archive_ref&) const = default;
};

struct claim_head
{
  // The shard's clock: the time in seconds during which an owner has had the
  // shard loaded. Wall clocks of VMs do not affect it, and it never runs faster
  // than real time.
  std::uint64_t mClock = 0;
  // Oldest first.
  std::vector<claim_archive_ref> mArchives;
  claim_rows mRows;
  // The store's era in which the head was committed; zero if it told none.
  store_era mEra = 0;
  // Until then, in seconds on the shard's clock, claims that were lost in a
  // restore of the store may be missing.
  std::uint64_t mUncertainUntil = 0;

  bool operator==(const claim_head&) const = default;
};

inline constexpr std::uint32_t kClaimShards = 128;
inline constexpr std::string_view kClaimKind = "claims";

// Returns the first half of the SHA-256 of a key, in hexadecimal.
std::string HashClaimKey(std::string_view aKey);

// Returns the shard number for a key's hash, below kClaimShards.
std::uint32_t ShardOf(std::string_view aHash);

object_key HeadKey(std::uint32_t aShard);
object_key ArchiveKey(std::uint32_t aShard, std::uint64_t aNumber);

std::string EncodeHead(const claim_head& aHead);
std::string EncodeArchive(const claim_rows& aRows);

// Return nothing for text that is incomplete or malformed.
std::optional<claim_head> DecodeHead(std::string_view aText);
std::optional<claim_rows> DecodeArchive(std::string_view aText);

} // namespace sapphirespar::ledger
