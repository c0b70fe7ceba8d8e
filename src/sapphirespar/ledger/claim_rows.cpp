// JSON form of a head: {"clock":N,"archives":[[number,newest],...],
// "rows":[[hash,vm,incarnation,request,outcome,claimed_at],...],"era":N,
// "uncertain_until":N}; the last two are left out where the store tells no era.
// An archive has only "rows".
#include "claim_rows.hpp"

#include <boost/json.hpp>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace sapphirespar::ledger {
namespace {

namespace json = boost::json;

constexpr std::size_t kHashBytes = SHA256_DIGEST_LENGTH / 2;
constexpr std::size_t kRowFields = 6;

json::array
ToJson(const claim_rows& aRows)
{
  json::array rows;
  for (const auto& [hash, row] : aRows) {
    rows.push_back({ hash,
                     row.mHolder.mVm.mText,
                     row.mHolder.mIncarnation,
                     row.mRequest.mText,
                     ToText(row.mOutcome),
                     row.mClaimedAt });
  }
  return rows;
}

std::optional<std::uint64_t>
ReadNumber(const json::value& aValue)
{
  json::error_code error;
  const auto number = aValue.to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

// Returns zero for a missing or malformed number.
std::uint64_t
ReadOptionalNumber(const json::object& aObject, std::string_view aName)
{
  const auto* const value = aObject.if_contains(aName);
  return value == nullptr ? 0 : ReadNumber(*value).value_or(0);
}

std::optional<std::string>
ReadText(const json::value& aValue)
{
  const auto* const text = aValue.if_string();
  return text == nullptr
           ? std::nullopt
           : std::optional(std::string(text->data(), text->size()));
}

std::optional<outcome>
ReadOutcome(const json::value& aValue)
{
  const auto text = ReadText(aValue);
  constexpr std::array kOutcomes{ outcome::NotRun,
                                  outcome::Unknown,
                                  outcome::Done };
  const auto found = std::ranges::find_if(kOutcomes, [&](auto aOutcome) {
    return text && ToText(aOutcome) == *text;
  });
  return found == kOutcomes.end() ? std::nullopt : std::optional(*found);
}

// Parses one row into aRows. Returns false if it is malformed.
bool
ReadRow(const json::value& aValue, claim_rows& aRows)
{
  const auto* const fields = aValue.if_array();
  if (fields == nullptr || fields->size() != kRowFields) {
    return false;
  }
  const auto hash = ReadText((*fields)[0]);
  const auto vm = ReadText((*fields)[1]);
  const auto incarnation = ReadNumber((*fields)[2]);
  const auto request = ReadText((*fields)[3]);
  const auto end = ReadOutcome((*fields)[4]);
  const auto claimedAt = ReadNumber((*fields)[5]);
  if (!hash || !vm || !incarnation || !request || !end || !claimedAt) {
    return false;
  }
  aRows[*hash] = { { { *vm }, *incarnation }, { *request }, *end, *claimedAt };
  return true;
}

std::optional<claim_rows>
ReadRows(const json::object& aObject)
{
  const auto* const value = aObject.if_contains("rows");
  if (value == nullptr || !value->is_array()) {
    return std::nullopt;
  }
  claim_rows rows;
  const auto addRow = [&](const auto& aRow) { return ReadRow(aRow, rows); };
  return std::ranges::all_of(value->get_array(), addRow) ? std::optional(rows)
                                                         : std::nullopt;
}

std::optional<claim_archive_ref>
ReadArchiveRef(const json::value& aValue)
{
  const auto* const pair = aValue.if_array();
  if (pair == nullptr || pair->size() != 2) {
    return std::nullopt;
  }
  const auto number = ReadNumber((*pair)[0]);
  const auto newest = ReadNumber((*pair)[1]);
  if (!number || !newest) {
    return std::nullopt;
  }
  return claim_archive_ref{ *number, *newest };
}

std::optional<json::object>
ReadObject(std::string_view aText)
{
  json::error_code error;
  auto value = json::parse(aText, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.get_object());
}

} // namespace

std::string
HashClaimKey(std::string_view aKey)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()),
         aKey.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (std::size_t i = 0; i < kHashBytes; ++i) {
    hex += kDigits[digest[i] / 16];
    hex += kDigits[digest[i] % 16];
  }
  return hex;
}

std::uint32_t
ShardOf(std::string_view aHash)
{
  constexpr std::size_t kDigits = 8;
  std::uint32_t number = 0;
  const auto digits = aHash.substr(0, kDigits);
  std::from_chars(digits.data(), digits.data() + digits.size(), number, 16);
  return number % kClaimShards;
}

object_key
HeadKey(std::uint32_t aShard)
{
  return { std::string(kClaimKind), "shard-" + std::to_string(aShard) };
}

object_key
ArchiveKey(std::uint32_t aShard, std::uint64_t aNumber)
{
  auto key = HeadKey(aShard);
  key.mName += ".archive-" + std::to_string(aNumber);
  return key;
}

std::string
EncodeHead(const claim_head& aHead)
{
  json::array archives;
  for (const auto& archive : aHead.mArchives) {
    archives.push_back({ archive.mNumber, archive.mNewest });
  }
  json::object head{ { "clock", aHead.mClock },
                     { "archives", std::move(archives) },
                     { "rows", ToJson(aHead.mRows) } };
  if (aHead.mEra != 0) {
    head["era"] = aHead.mEra;
    head["uncertain_until"] = aHead.mUncertainUntil;
  }
  return json::serialize(head);
}

std::string
EncodeArchive(const claim_rows& aRows)
{
  return json::serialize(json::object{ { "rows", ToJson(aRows) } });
}

std::optional<claim_head>
DecodeHead(std::string_view aText)
{
  const auto object = ReadObject(aText);
  if (!object) {
    return std::nullopt;
  }
  const auto* const clock = object->if_contains("clock");
  const auto* const archives = object->if_contains("archives");
  auto rows = ReadRows(*object);
  const auto seconds = clock ? ReadNumber(*clock) : std::nullopt;
  if (!seconds || archives == nullptr || !archives->is_array() || !rows) {
    return std::nullopt;
  }
  claim_head head{ *seconds, {}, std::move(*rows) };
  head.mEra = ReadOptionalNumber(*object, "era");
  head.mUncertainUntil = ReadOptionalNumber(*object, "uncertain_until");
  for (const auto& item : archives->get_array()) {
    const auto archive = ReadArchiveRef(item);
    if (!archive) {
      return std::nullopt;
    }
    head.mArchives.push_back(*archive);
  }
  return head;
}

std::optional<claim_rows>
DecodeArchive(std::string_view aText)
{
  const auto object = ReadObject(aText);
  return object ? ReadRows(*object) : std::nullopt;
}

} // namespace sapphirespar::ledger
