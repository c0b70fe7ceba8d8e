// Ed25519 keys and signatures by OpenSSL, and the signed form of a bundle.
#include "sapphirespar/config/signing.hpp"

#include "sapphirespar/config/bundle_codec.hpp"

#include <boost/json.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
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

// Returns exactly aCount bytes, or nothing if aText does not hold them.
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

auto
Failure(std::string aProblem)
{
  return leaf::new_error(signature_failure{ std::move(aProblem) });
}

// Returns the text under aKey, or an empty one.
std::string
TextAt(const boost::json::object& aObject, std::string_view aKey)
{
  const auto* value = aObject.if_contains(aKey);
  return value && value->is_string() ? std::string(value->get_string()) : "";
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

result<std::string>
SignBundle(const bundle& aBundle,
           std::string_view aSigner,
           std::string_view aPrivateKey)
{
  const auto canonical = ToCanonicalJson(aBundle);
  const auto signature = Sign(canonical, aPrivateKey);
  if (!signature) {
    return Failure("the private key is not 64 hexadecimal digits");
  }
  const boost::json::object envelope{ { "signer", aSigner },
                                      { "signature", *signature },
                                      { "bundle", canonical } };
  return boost::json::serialize(envelope);
}

result<signed_bundle>
ParseSignedBundle(std::string_view aText)
{
  boost::json::error_code error;
  const auto document = boost::json::parse(
    boost::json::string_view(aText.data(), aText.size()), error);
  if (error || !document.is_object()) {
    return Failure("a signed bundle must be a JSON object");
  }
  const auto& envelope = document.get_object();
  signed_bundle parsed;
  parsed.mSigner = TextAt(envelope, "signer");
  parsed.mSignature = TextAt(envelope, "signature");
  parsed.mBytes = TextAt(envelope, "bundle");
  if (parsed.mSigner.empty() || parsed.mSignature.empty() ||
      parsed.mBytes.empty()) {
    return Failure("a signed bundle needs signer, signature and bundle");
  }
  auto read = ParseBundleJson(parsed.mBytes);
  if (!read) {
    return read.error();
  }
  parsed.mBundle = std::move(read.value());
  return parsed;
}

result<bundle>
VerifySignedBundle(std::string_view aText, std::span<const signer> aTrusted)
{
  BOOST_LEAF_AUTO(parsed, ParseSignedBundle(aText));
  const auto known =
    std::ranges::find(aTrusted, parsed.mSigner, &signer::mName);
  if (known == aTrusted.end()) {
    return Failure("signer \"" + parsed.mSigner + "\" is not trusted");
  }
  if (!Verify(parsed.mBytes, parsed.mSignature, known->mPublicKey)) {
    return Failure("the signature of \"" + parsed.mSigner + "\" is not valid");
  }
  return std::move(parsed.mBundle);
}

} // namespace sapphirespar
