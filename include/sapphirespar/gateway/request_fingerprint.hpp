// Tells whether two requests ask for the same on behalf of the same account.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <cstdint>
#include <optional>
#include <span>

namespace sapphirespar::gateway {

// Returns a hash of method, host, target, body, account and the shared parts of
// the prompt; other headers, such as the request's id, make no difference. The
// same at all gateways.
std::uint64_t FingerprintOf(const wire::http_request& aRequest,
                            const std::optional<account_id>& aAccount,
                            std::span<const std::uint64_t> aSharedParts);

} // namespace sapphirespar::gateway
