// Ed25519 signatures and SHA-256 digests. Keys, signatures and digests are
// lower-case hexadecimal texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sapphirespar {

struct signing_key
{
  // 64 hexadecimal digits each.
  std::string mPrivateKey;
  std::string mPublicKey;
};

// Generates a random key pair.
signing_key NewSigningKey();

// Returns the public key that belongs to aPrivateKey, or nothing if that is not
// a valid private key.
std::optional<std::string> PublicKeyOf(std::string_view aPrivateKey);

// Returns whether aText has the form of a public key: 64 lower-case hexadecimal
// digits.
bool IsPublicKey(std::string_view aText);

// Returns the signature of aBytes, or nothing if aPrivateKey is not a valid
// private key.
std::optional<std::string> Sign(std::string_view aBytes,
                                std::string_view aPrivateKey);

// Returns false if the signature is wrong or an argument is malformed.
bool Verify(std::string_view aBytes,
            std::string_view aSignature,
            std::string_view aPublicKey);

// Returns the lower-case hexadecimal SHA-256 of aBytes.
std::string Sha256Hex(std::string_view aBytes);

} // namespace sapphirespar
