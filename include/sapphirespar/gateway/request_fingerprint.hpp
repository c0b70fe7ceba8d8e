// Tells whether two requests ask for the same on behalf of the same account.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <cstdint>
#include <optional>

namespace sapphirespar::gateway {

// Returns a hash of method, host, target, body and account; other headers, such
// as the request's id, make no difference. The same at all gateways.
std::uint64_t FingerprintOf(const wire::http_request& aRequest,
                            const std::optional<account_id>& aAccount);

} // namespace sapphirespar::gateway
