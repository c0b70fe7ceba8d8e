// Tokens have the form "st1.INCARNATION.ISSUED.NONCE.SIGNATURE.VM" with numbers
// in hexadecimal. The VM is last because its name may contain dots.
#include "sapphirespar/ledger/token.hpp"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <stdexcept>

namespace sapphirespar::ledger {
namespace {

constexpr std::string_view kPrefix = "st1.";
constexpr std::size_t kSecretBytes = 32;
constexpr unsigned kNonceDigits = 16;
// First half of the HMAC-SHA-256 tag.
constexpr std::size_t kSignatureBytes = 16;
// About 139 years. No process runs that long, and much larger values would
// overflow the clock.
constexpr std::uint64_t kMaxIssuedAtMs = std::uint64_t{ 1 } << 42;

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, 16> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, 16);
  return { digits.data(), end.ptr };
}

std::optional<std::uint64_t>
FromHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* const end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number, 16);
  if (aText.empty() || read.ec != std::errc{} || read.ptr != end) {
    return std::nullopt;
  }
  return number;
}

// Removes the text up to the next dot from aRest and returns it without the
// dot. Returns nothing if there is no dot.
std::optional<std::string_view>
NextField(std::string_view& aRest)
{
  const auto dot = aRest.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto field = aRest.substr(0, dot);
  aRest.remove_prefix(dot + 1);
  return field;
}

struct token_parts
{
  std::string_view mIncarnation;
  std::string_view mIssuedAt;
  std::string_view mNonce;
  std::string_view mSignature;
  std::string_view mVm;
};

std::optional<token_parts>
Split(std::string_view aText)
{
  if (!aText.starts_with(kPrefix)) {
    return std::nullopt;
  }
  aText.remove_prefix(kPrefix.size());
  token_parts parts;
  for (auto* const part : { &parts.mIncarnation,
                            &parts.mIssuedAt,
                            &parts.mNonce,
                            &parts.mSignature }) {
    const auto field = NextField(aText);
    if (!field || field->empty()) {
      return std::nullopt;
    }
    *part = *field;
  }
  parts.mVm = aText;
  return aText.empty() ? std::nullopt : std::optional(parts);
}

// Returns the part of a token that its signature covers besides the account.
std::string
BodyOf(const token_parts& aParts)
{
  std::string body(aParts.mIncarnation);
  for (const auto part : { aParts.mIssuedAt, aParts.mNonce, aParts.mVm }) {
    body.append(".").append(part);
  }
  return body;
}

} // namespace

std::optional<token_fields>
ReadToken(std::string_view aText)
{
  const auto parts = Split(aText);
  if (!parts) {
    return std::nullopt;
  }
  const auto incarnation = FromHex(parts->mIncarnation);
  const auto issued = FromHex(parts->mIssuedAt);
  if (!incarnation || !issued || *issued > kMaxIssuedAtMs) {
    return std::nullopt;
  }
  const std::chrono::milliseconds sinceEpoch(
    static_cast<std::int64_t>(*issued));
  return token_fields{ { { std::string(parts->mVm) }, *incarnation },
                       steady_time(sinceEpoch) };
}

token_issuer::token_issuer(process_id aSelf)
  : mSelf(std::move(aSelf))
  , mSecret(kSecretBytes, '\0')
{
  auto* const bytes = reinterpret_cast<unsigned char*>(mSecret.data());
  if (RAND_bytes(bytes, static_cast<int>(mSecret.size())) != 1) {
    throw std::runtime_error(
      "cannot generate random bytes for the token secret");
  }
}

std::string
token_issuer::Issue(const account_id& aAccount, steady_time aNow) const
{
  const auto sinceEpoch =
    std::chrono::floor<std::chrono::milliseconds>(aNow.time_since_epoch());
  const auto incarnation = ToHex(mSelf.mIncarnation);
  const auto issued = ToHex(static_cast<std::uint64_t>(sinceEpoch.count()));
  const auto nonce = RandomHex(kNonceDigits);
  const token_parts parts{ incarnation, issued, nonce, {}, mSelf.mVm.mText };
  const auto signature = Sign(BodyOf(parts), aAccount);
  return std::string(kPrefix) + incarnation + '.' + issued + '.' + nonce + '.' +
         signature + '.' + mSelf.mVm.mText;
}

bool
token_issuer::Verify(std::string_view aText, const account_id& aAccount) const
{
  const auto parts = Split(aText);
  const auto fields = ReadToken(aText);
  if (!parts || !fields || fields->mIssuer != mSelf) {
    return false;
  }
  const auto signature = Sign(BodyOf(*parts), aAccount);
  return signature.size() == parts->mSignature.size() &&
         CRYPTO_memcmp(
           signature.data(), parts->mSignature.data(), signature.size()) == 0;
}

std::string
token_issuer::Sign(std::string_view aBody, const account_id& aAccount) const
{
  // The body contains no line break, so the boundary between body and account
  // is unambiguous.
  const auto text = std::string(aBody) + '\n' + aAccount.mText;
  std::array<unsigned char, EVP_MAX_MD_SIZE> tag{};
  unsigned size = 0;
  HMAC(EVP_sha256(),
       mSecret.data(),
       static_cast<int>(mSecret.size()),
       reinterpret_cast<const unsigned char*>(text.data()),
       text.size(),
       tag.data(),
       &size);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (std::size_t i = 0; i < std::min<std::size_t>(size, kSignatureBytes);
       ++i) {
    hex += kDigits[tag[i] / 16];
    hex += kDigits[tag[i] % 16];
  }
  return hex;
}

} // namespace sapphirespar::ledger
