// A bundle with the signature of the person who answers for it, as it is kept
// at the platform and handed on between routers.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Why a signed bundle was not taken.
struct signature_failure
{
  std::string mProblem;
};

// Says, signed by one of the signers before it, who may sign after a version.
// The chain of them lets a router trust a bundle whose signer it has not met.
struct signer_change
{
  bundle_version mVersion;
  std::vector<signer> mSigners;
  std::string mSigner;
  std::string mSignature;
};

// One accepted version, for the operators; not signed.
struct accepted_version
{
  bundle_version mVersion;
  std::string mSigner;
  // SHA-256 of the signed bytes, hexadecimal.
  std::string mDigest;
  // As the accepting operator's clock had it.
  std::string mAcceptedAt;
};

// A signed bundle taken apart, trusted or not.
struct signed_bundle
{
  std::string mSigner;
  std::string mSignature;
  // The signed bytes; empty while only the delta or the name of the whole is
  // known.
  std::string mBytes;
  // The same, read; without mBytes only its version is set.
  bundle mBundle;
  // From the bundle before it, as JSON, or empty. Not signed: what it leads to
  // has to have the signature.
  std::string mDelta;
  // Name of the platform object that holds a large bundle, or empty.
  std::string mFullBundleName;
  // Oldest first.
  std::vector<signer_change> mSignerChanges;
  // Oldest first, the bundle itself last; empty between routers.
  std::vector<accepted_version> mHistory;
};

// Signs a bundle that follows aBase, or that is the first one if it is null.
// Fails with signature_failure if the key is not one.
result<signed_bundle> SignBundle(const bundle& aBundle,
                                 std::string_view aSigner,
                                 std::string_view aPrivateKey,
                                 const signed_bundle* aBase = nullptr);

enum class bundle_form
{
  Whole,
  // Leaves the bundle out: the reader applies the delta or fetches the whole.
  WithoutBytes,
};

// Returns the text that is kept and handed on, a JSON object.
std::string Serialize(const signed_bundle& aBundle,
                      bundle_form aForm = bundle_form::Whole);

// Packs the signed bytes for an object of their own.
std::string PackFullBundle(const signed_bundle& aBundle);

// Returns the name of that object, which no other bundle has.
std::string MakeFullBundleName(const signed_bundle& aBundle);

// Completes a bundle without bytes. Both fail with signature_failure or
// config_failure; CheckSignature tells whether what came out is right.
result<void> FillFromDelta(signed_bundle& aBundle, const bundle& aBase);
result<void> FillFromFullBundle(signed_bundle& aBundle,
                                std::string_view aPacked);

// Takes such a text apart. Fails with signature_failure or config_failure.
result<signed_bundle> ParseSignedBundle(std::string_view aText);

// Whether one of aTrusted, or one whom they introduced by a signer change
// after aSince, has signed the bundle. Fails with signature_failure if not.
result<void> CheckSignature(const signed_bundle& aBundle,
                            std::span<const signer> aTrusted,
                            bundle_version aSince = {});

// ParseSignedBundle and CheckSignature in one.
result<signed_bundle> VerifySignedBundle(std::string_view aText,
                                         std::span<const signer> aTrusted,
                                         bundle_version aSince = {});

// Whether aNext was signed to follow aBase directly.
bool Follows(const bundle_version& aNext, const bundle_version& aBase);

} // namespace sapphirespar
