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
  // The signed bytes.
  std::string mBytes;
  // The same, read.
  bundle mBundle;
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

// Returns the text that is kept and handed on, a JSON object.
std::string Serialize(const signed_bundle& aBundle);

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
