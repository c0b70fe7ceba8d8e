// Implements Ed25519 signatures and digests with OpenSSL.
#include "sapphirespar/config/signing.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <span>
#include <vector>

namespace sapphirespar {
namespace {

constexpr std::size_t kKeyBytes = 32;
constexpr std::size_t kSignatureBytes = 64;
constexpr std::size_t kDigestBytes = 32;

using bytes = std::vector<unsigned char>;

struct key_deleter
{
  void operator()(EVP_PKEY* aKey) const { EVP_PKEY_free(aKey); }
};
struct digest_deleter
{
  void operator()(EVP_MD_CTX* aContext) const { EVP_MD_CTX_free(aContext); }
};
using key_ptr = std::unique_ptr<EVP_PKEY, key_deleter>;
using digest_ptr = std::unique_ptr<EVP_MD_CTX, digest_deleter>;

std::string
ToHex(std::span<const unsigned char> aBytes)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const unsigned char byte : aBytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

bool
IsHexDigit(char aDigit)
{
  return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
}

// Returns aCount bytes, or nothing if aText is not exactly their hexadecimal
// form.
std::optional<bytes>
FromHex(std::string_view aText, std::size_t aCount)
{
  if (aText.size() != 2 * aCount || !std::ranges::all_of(aText, IsHexDigit)) {
    return std::nullopt;
  }
  bytes result(aCount);
  constexpr int kHexadecimal = 16;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto* digits = aText.data() + 2 * i;
    std::from_chars(digits, digits + 2, result[i], kHexadecimal);
  }
  return result;
}

const unsigned char*
Data(std::string_view aBytes)
{
  return reinterpret_cast<const unsigned char*>(aBytes.data());
}

key_ptr
PrivateKey(std::string_view aHex)
{
  const auto raw = FromHex(aHex, kKeyBytes);
  return key_ptr(raw ? EVP_PKEY_new_raw_private_key(
                         EVP_PKEY_ED25519, nullptr, raw->data(), raw->size())
                     : nullptr);
}

std::string
PublicHex(EVP_PKEY* aKey)
{
  std::array<unsigned char, kKeyBytes> raw{};
  auto size = raw.size();
  EVP_PKEY_get_raw_public_key(aKey, raw.data(), &size);
  return ToHex(raw);
}

} // namespace

signing_key
NewSigningKey()
{
  const key_ptr key(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
  std::array<unsigned char, kKeyBytes> raw{};
  auto size = raw.size();
  EVP_PKEY_get_raw_private_key(key.get(), raw.data(), &size);
  return { ToHex(raw), PublicHex(key.get()) };
}

std::optional<std::string>
PublicKeyOf(std::string_view aPrivateKey)
{
  const auto key = PrivateKey(aPrivateKey);
  return key ? std::optional(PublicHex(key.get())) : std::nullopt;
}

bool
IsPublicKey(std::string_view aText)
{
  return FromHex(aText, kKeyBytes).has_value();
}

std::optional<std::string>
Sign(std::string_view aBytes, std::string_view aPrivateKey)
{
  const auto key = PrivateKey(aPrivateKey);
  const digest_ptr context(EVP_MD_CTX_new());
  std::array<unsigned char, kSignatureBytes> signature{};
  auto size = signature.size();
  if (!key ||
      EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, key.get()) !=
        1 ||
      EVP_DigestSign(
        context.get(), signature.data(), &size, Data(aBytes), aBytes.size()) !=
        1) {
    return std::nullopt;
  }
  return ToHex(signature);
}

bool
Verify(std::string_view aBytes,
       std::string_view aSignature,
       std::string_view aPublicKey)
{
  const auto signature = FromHex(aSignature, kSignatureBytes);
  const auto raw = FromHex(aPublicKey, kKeyBytes);
  if (!signature || !raw) {
    return false;
  }
  const key_ptr key(EVP_PKEY_new_raw_public_key(
    EVP_PKEY_ED25519, nullptr, raw->data(), raw->size()));
  const digest_ptr context(EVP_MD_CTX_new());
  return key &&
         EVP_DigestVerifyInit(
           context.get(), nullptr, nullptr, nullptr, key.get()) == 1 &&
         EVP_DigestVerify(context.get(),
                          signature->data(),
                          signature->size(),
                          Data(aBytes),
                          aBytes.size()) == 1;
}

std::string
Sha256Hex(std::string_view aBytes)
{
  std::array<unsigned char, kDigestBytes> digest{};
  EVP_Digest(aBytes.data(),
             aBytes.size(),
             digest.data(),
             nullptr,
             EVP_sha256(),
             nullptr);
  return ToHex(digest);
}

} // namespace sapphirespar
