// Hashes what makes requests the same.
#include "sapphirespar/gateway/request_fingerprint.hpp"

#include <xxhash.h>

#include <array>
#include <string_view>

namespace sapphirespar::gateway {

std::uint64_t
FingerprintOf(const wire::http_request& aRequest,
              const std::optional<account_id>& aAccount,
              std::span<const std::uint64_t> aSharedParts)
{
  const std::array<std::string_view, 5> fields{
    aRequest.mMethod,
    aRequest.Header("Host"),
    aRequest.mTarget,
    aAccount ? std::string_view(aAccount->mText) : std::string_view(),
    aRequest.mBody,
  };
  // Each hash seeds the next one, so that moving text between fields matters.
  XXH64_hash_t hash = aAccount ? 1 : 0;
  for (const auto field : fields) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  return XXH3_64bits_withSeed(
    aSharedParts.data(), aSharedParts.size_bytes(), hash);
}

} // namespace sapphirespar::gateway
