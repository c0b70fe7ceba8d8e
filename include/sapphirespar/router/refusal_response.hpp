// The answers that the router itself makes.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string>

namespace sapphirespar::router {

// Returns {"error":{...}} with code, message, outcome, request_id and, where
// it helps, retry_after_ms.
std::string RefusalJson(const refusal& aRefusal, const request_id& aId);

// Returns a whole response for a refusal, with Retry-After where it helps.
wire::http_response RefusalResponse(const refusal& aRefusal,
                                    const request_id& aId);

// Returns the response to a request that could not be parsed.
wire::http_response MalformedRequestResponse(unsigned aStatus,
                                             std::string_view aReason);

} // namespace sapphirespar::router
