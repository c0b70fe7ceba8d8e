// Signatures: Ed25519 by OpenSSL, keys and signatures as lower-case hexadecimal
// text.
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

} // namespace sapphirespar
