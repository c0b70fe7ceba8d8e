// A bundle with the signature of an operator, in the form in which the platform
// stores it and routers exchange it.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

// Reason why a signed bundle was refused.
struct signature_failure
{
  std::string mProblem;
};

// Names the signers of the versions after mVersion. It is signed by one of the
// previous signers, so a router can follow the chain of changes to trust a
// bundle whose signer it does not know yet.
struct signer_change
{
  bundle_version mVersion;
  std::vector<signer> mSigners;
  std::string mSigner;
  std::string mSignature;
};

// History entry of one accepted version, for operators. It is not signed.
struct accepted_version
{
  bundle_version mVersion;
  std::string mSigner;
  // SHA-256 of the signed bytes, hexadecimal.
  std::string mDigest;
  // Time by the clock of the operator who accepted it.
  std::string mAcceptedAt;
};

// A parsed signed bundle; its signature may not have been checked yet.
struct signed_bundle
{
  std::string mSigner;
  std::string mSignature;
  // The signed bytes; empty while only mDelta or mFullBundleName is known.
  std::string mBytes;
  // The parsed form of mBytes; without mBytes only its version is set.
  bundle mBundle;
  // Delta from the previous bundle as JSON, or empty. The delta itself is not
  // signed; the signature must match the bundle that results from it.
  std::string mDelta;
  // Name of the platform object that holds a large bundle, or empty.
  std::string mFullBundleName;
  // Oldest first.
  std::vector<signer_change> mSignerChanges;
  // Oldest first, this bundle last. Routers do not exchange it.
  std::vector<accepted_version> mHistory;
};

// Signs a bundle that follows aBase, or the first bundle if aBase is null.
// Fails with signature_failure if aPrivateKey is not a valid private key.
result<signed_bundle> SignBundle(const bundle& aBundle,
                                 std::string_view aSigner,
                                 std::string_view aPrivateKey,
                                 const signed_bundle* aBase = nullptr);

enum class bundle_form
{
  Whole,
  // Omits the signed bytes; the reader applies the delta or fetches the full
  // bundle.
  WithoutBytes,
};

// Returns the JSON text that the platform stores and routers exchange.
std::string Serialize(const signed_bundle& aBundle,
                      bundle_form aForm = bundle_form::Whole);

// Compresses the signed bytes for storage in an object of their own.
std::string PackFullBundle(const signed_bundle& aBundle);

// Returns the name of that object, which contains the version and the start of
// the bytes' digest, so that no other bundle has it.
std::string MakeFullBundleName(const signed_bundle& aBundle);

// Restore the bytes of a bundle that was serialized without them. Both fail
// with signature_failure or config_failure. They do not check the signature;
// call CheckSignature afterwards.
result<void> FillFromDelta(signed_bundle& aBundle, const bundle& aBase);
result<void> FillFromFullBundle(signed_bundle& aBundle,
                                std::string_view aPacked);

// Parses the output of Serialize without checking the signature. Fails with
// signature_failure or config_failure.
result<signed_bundle> ParseSignedBundle(std::string_view aText);

// Checks that the bundle was signed by one of aTrusted, or by a signer whom the
// chain of signer changes after aSince introduces. Fails with signature_failure
// if not.
result<void> CheckSignature(const signed_bundle& aBundle,
                            std::span<const signer> aTrusted,
                            bundle_version aSince = {});

// Calls ParseSignedBundle and CheckSignature.
result<signed_bundle> VerifySignedBundle(std::string_view aText,
                                         std::span<const signer> aTrusted,
                                         bundle_version aSince = {});

// Returns whether aNext directly follows aBase: it has the next number of the
// same epoch, or a later epoch.
bool Follows(const bundle_version& aNext, const bundle_version& aBase);

} // namespace sapphirespar
