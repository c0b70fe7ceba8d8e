// Implements signing, the JSON form of a signed bundle, and the chain of signer
// changes.
#include "sapphirespar/config/signed_bundle.hpp"

#include "sapphirespar/config/packing.hpp"

#include "bundle_fields.hpp"
#include "sapphirespar/config/bundle_codec.hpp"
#include "sapphirespar/config/bundle_delta.hpp"
#include "sapphirespar/config/signing.hpp"

#include <algorithm>
#include <optional>

namespace sapphirespar {

// Found by argument-dependent lookup from the archives.
template<maybe_const<bundle_version> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  aArchive.Field("epoch", aItem.mEpoch, std::uint64_t{ 0 });
  aArchive.Field("number", aItem.mNumber, std::uint64_t{ 0 });
}

template<maybe_const<signer_change> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  Fields(aArchive, aItem.mVersion);
  aArchive.List("signers", aItem.mSigners);
  aArchive.Field("signer", aItem.mSigner, std::string());
  aArchive.Field("signature", aItem.mSignature, std::string());
}

template<maybe_const<accepted_version> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  Fields(aArchive, aItem.mVersion);
  aArchive.Field("signer", aItem.mSigner, std::string());
  aArchive.Field("digest", aItem.mDigest, std::string());
  aArchive.Field("accepted_at", aItem.mAcceptedAt, std::string());
}

namespace {

// Larger bundles are packed; smaller ones stay readable in the JSON text.
constexpr std::size_t kPlainLimitBytes = 16 * 1024;

// The fields of a signed bundle's JSON text.
struct bundle_text
{
  signed_bundle mSigned;
  std::string mPacked;
};

} // namespace

template<maybe_const<bundle_text> Item>
void
Fields(auto& aArchive, Item& aItem)
{
  auto& item = aItem.mSigned;
  aArchive.Field("signer", item.mSigner, std::string());
  aArchive.Field("signature", item.mSignature, std::string());
  Fields(aArchive, item.mBundle.mVersion);
  aArchive.Field("bundle", item.mBytes, std::string());
  aArchive.Field("packed", aItem.mPacked, std::string());
  aArchive.Field("delta", item.mDelta, std::string());
  aArchive.Field("whole", item.mFullBundleName, std::string());
  aArchive.List("signer_changes", item.mSignerChanges);
  aArchive.List("history", item.mHistory);
}

namespace {

auto
Failure(std::string aProblem)
{
  return leaf::new_error(signature_failure{ std::move(aProblem) });
}

// Returns the bytes of a signer change that are signed. The prefix ensures that
// they are never the bytes of a bundle.
std::string
SignedBytes(const signer_change& aChange)
{
  json_writer writer;
  Fields(writer, aChange.mVersion);
  writer.List("signers", aChange.mSigners);
  return "signer_change " + boost::json::serialize(writer.mObject);
}

bool
IsSignedBy(std::span<const signer> aSigners,
           std::string_view aName,
           std::string_view aBytes,
           std::string_view aSignature)
{
  const auto found = std::ranges::find(aSigners, aName, &signer::mName);
  return found != aSigners.end() &&
         Verify(aBytes, aSignature, found->mPublicKey);
}

bool
SameSigners(const std::vector<signer>& aLeft, const std::vector<signer>& aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](const signer& aOne, const signer& aOther) {
      return aOne.mName == aOther.mName && aOne.mPublicKey == aOther.mPublicKey;
    });
}

// Returns the trusted signers of aBundle: aTrusted, replaced by each valid
// signer change after aSince and before the bundle's version.
std::vector<signer>
FollowChanges(const signed_bundle& aBundle,
              std::span<const signer> aTrusted,
              bundle_version aSince)
{
  std::vector<signer> trusted(aTrusted.begin(), aTrusted.end());
  for (const auto& change : aBundle.mSignerChanges) {
    if (change.mVersion > aSince &&
        change.mVersion < aBundle.mBundle.mVersion &&
        IsSignedBy(
          trusted, change.mSigner, SignedBytes(change), change.mSignature)) {
      trusted = change.mSigners;
    }
  }
  return trusted;
}

} // namespace

result<signed_bundle>
SignBundle(const bundle& aBundle,
           std::string_view aSigner,
           std::string_view aPrivateKey,
           const signed_bundle* aBase)
{
  signed_bundle signedBundle;
  signedBundle.mSigner = aSigner;
  signedBundle.mBytes = ToCanonicalJson(aBundle);
  signedBundle.mBundle = aBundle;
  if (aBase) {
    signedBundle.mSignerChanges = aBase->mSignerChanges;
    signedBundle.mHistory = aBase->mHistory;
  }
  if (!aBase || !SameSigners(aBase->mBundle.mSigners, aBundle.mSigners)) {
    signer_change change{
      aBundle.mVersion, aBundle.mSigners, signedBundle.mSigner, ""
    };
    change.mSignature = Sign(SignedBytes(change), aPrivateKey).value_or("");
    signedBundle.mSignerChanges.push_back(std::move(change));
  }
  const auto signature = Sign(signedBundle.mBytes, aPrivateKey);
  if (!signature) {
    return Failure("the private key is not 64 hexadecimal digits");
  }
  signedBundle.mSignature = *signature;
  return signedBundle;
}

std::string
Serialize(const signed_bundle& aBundle, bundle_form aForm)
{
  bundle_text text;
  text.mSigned = aBundle;
  if (aForm == bundle_form::WithoutBytes) {
    text.mSigned.mBytes.clear();
  } else if (aBundle.mBytes.size() > kPlainLimitBytes) {
    text.mPacked = PackFullBundle(aBundle);
    text.mSigned.mBytes.clear();
  }
  json_writer writer;
  Fields(writer, std::as_const(text));
  return boost::json::serialize(writer.mObject);
}

std::string
PackFullBundle(const signed_bundle& aBundle)
{
  return Pack(aBundle.mBytes);
}

std::string
MakeFullBundleName(const signed_bundle& aBundle)
{
  constexpr std::size_t kDigestDigits = 16;
  const auto& version = aBundle.mBundle.mVersion;
  return std::to_string(version.mEpoch) + "." +
         std::to_string(version.mNumber) + "-" +
         Sha256Hex(aBundle.mBytes).substr(0, kDigestDigits);
}

result<void>
FillFromDelta(signed_bundle& aBundle, const bundle& aBase)
{
  BOOST_LEAF_AUTO(delta, ParseDelta(aBundle.mDelta));
  if (delta.mBase != aBase.mVersion) {
    return Failure("the delta is for another bundle");
  }
  aBundle.mBundle = ApplyDelta(aBase, delta);
  aBundle.mBytes = ToCanonicalJson(aBundle.mBundle);
  return {};
}

result<void>
FillFromFullBundle(signed_bundle& aBundle, std::string_view aPacked)
{
  auto bytes = Unpack(aPacked);
  if (!bytes) {
    return Failure("the packed bundle can't be unpacked");
  }
  aBundle.mBytes = std::move(*bytes);
  BOOST_LEAF_ASSIGN(aBundle.mBundle, ParseBundleJson(aBundle.mBytes));
  return {};
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
  std::optional<std::string> wrongKey;
  json_reader reader(document.get_object(), "", wrongKey);
  bundle_text text;
  Fields(reader, text);
  if (wrongKey) {
    return Failure("wrong type of \"" + *wrongKey + "\" in a signed bundle");
  }
  auto& parsed = text.mSigned;
  if (!text.mPacked.empty()) {
    BOOST_LEAF_CHECK(FillFromFullBundle(parsed, text.mPacked));
  } else if (!parsed.mBytes.empty()) {
    BOOST_LEAF_ASSIGN(parsed.mBundle, ParseBundleJson(parsed.mBytes));
  }
  const bool hasBundle = !parsed.mBytes.empty() || !parsed.mDelta.empty() ||
                         !parsed.mFullBundleName.empty();
  if (parsed.mSigner.empty() || !hasBundle) {
    return Failure("a signed bundle needs signer, signature and bundle");
  }
  return std::move(parsed);
}

result<void>
CheckSignature(const signed_bundle& aBundle,
               std::span<const signer> aTrusted,
               bundle_version aSince)
{
  const auto trusted = FollowChanges(aBundle, aTrusted, aSince);
  if (std::ranges::find(trusted, aBundle.mSigner, &signer::mName) ==
      trusted.end()) {
    return Failure("signer \"" + aBundle.mSigner + "\" is not trusted");
  }
  if (!IsSignedBy(
        trusted, aBundle.mSigner, aBundle.mBytes, aBundle.mSignature)) {
    return Failure("the signature of \"" + aBundle.mSigner + "\" is not valid");
  }
  return {};
}

result<signed_bundle>
VerifySignedBundle(std::string_view aText,
                   std::span<const signer> aTrusted,
                   bundle_version aSince)
{
  BOOST_LEAF_AUTO(parsed, ParseSignedBundle(aText));
  BOOST_LEAF_CHECK(CheckSignature(parsed, aTrusted, aSince));
  return parsed;
}

bool
Follows(const bundle_version& aNext, const bundle_version& aBase)
{
  return aNext.mEpoch > aBase.mEpoch ||
         (aNext.mEpoch == aBase.mEpoch && aNext.mNumber == aBase.mNumber + 1);
}

} // namespace sapphirespar
