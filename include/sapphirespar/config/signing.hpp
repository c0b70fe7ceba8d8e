// Signatures of bundles: Ed25519 by OpenSSL, keys and signatures as lower-case
// hexadecimal text.
#pragma once

#include "sapphirespar/base/failure.hpp"
#include "sapphirespar/model/bundle.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace sapphirespar {

struct signing_key
{
  // 64 hexadecimal digits each.
  std::string mPrivateKey;
  std::string mPublicKey;
};

// Why a signed bundle was not taken.
struct signature_failure
{
  std::string mProblem;
};

// Makes a new random key.
signing_key NewSigningKey();

// Returns the public key that belongs to a private one, or nothing if it is
// not a private key.
std::optional<std::string> PublicKeyOf(std::string_view aPrivateKey);

// Whether aText has the form of a public key.
bool IsPublicKey(std::string_view aText);

// Returns the signature of aBytes, or nothing if the key is not one.
std::optional<std::string> Sign(std::string_view aBytes,
                                std::string_view aPrivateKey);

bool Verify(std::string_view aBytes,
            std::string_view aSignature,
            std::string_view aPublicKey);

// Returns the lower-case hexadecimal SHA-256 of aBytes.
std::string Sha256Hex(std::string_view aBytes);

// Returns the text that is stored and handed on: a JSON object of signer,
// signature and the bundle's canonical bytes. Fails with signature_failure.
result<std::string> SignBundle(const bundle& aBundle,
                               std::string_view aSigner,
                               std::string_view aPrivateKey);

// A signed bundle taken apart but not yet trusted.
struct signed_bundle
{
  std::string mSigner;
  std::string mSignature;
  // The signed bytes.
  std::string mBytes;
  bundle mBundle;
};

// Takes a signed bundle apart. Fails with signature_failure.
result<signed_bundle> ParseSignedBundle(std::string_view aText);

// Returns the bundle if one of aTrusted has signed it. Fails with
// signature_failure.
result<bundle> VerifySignedBundle(std::string_view aText,
                                  std::span<const signer> aTrusted);

} // namespace sapphirespar
