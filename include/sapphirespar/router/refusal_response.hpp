// Builds the error responses that the router sends itself.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string>

namespace sapphirespar::router {

// Returns {"error":{...}} with code, message, outcome, request_id and, if the
// refusal has a retry delay, retry_after_ms.
std::string RefusalJson(const refusal& aRefusal, const request_id& aId);

// Returns the HTTP response for a refusal. Retry-After is in whole seconds,
// rounded up, and absent if the refusal has no retry delay.
wire::http_response RefusalResponse(const refusal& aRefusal,
                                    const request_id& aId);

// Returns the response to a request that is not valid HTTP.
wire::http_response MalformedRequestResponse(unsigned aStatus,
                                             std::string_view aReason);

} // namespace sapphirespar::router
