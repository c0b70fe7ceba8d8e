// A caller's request after it has been understood: who sends what, in which
// class, to which pool, and until when.
#pragma once

#include "sapphirespar/model/outcome.hpp"
#include "sapphirespar/policy/scheduler.hpp"
#include "sapphirespar/router/snapshot.hpp"
#include "sapphirespar/telemetry/trace.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <string>
#include <variant>

namespace sapphirespar::router {

struct call
{
  // Made here, whatever the caller sends: it names the request everywhere.
  request_id mId;
  // Keeps alive what mClass and mAccount point at.
  snapshot_ptr mSnapshot;
  const request_class* mClass = nullptr;
  const client_account* mAccount = nullptr;
  // Names the pool, deadlines and estimated size.
  policy::queued_request mQueued;
  // Whether the caller wants the answer as server-sent events.
  bool mStream = false;
  std::string mIdempotencyKey;
  // The caller states that it has never sent this key before.
  bool mFirstAttempt = false;
  trace_context mTrace;
  // What goes to the upstream.
  wire::http_request mForward;
};

// Understands a request for a completion or a plain service. The refusal's
// detail names the header or JSON key that is wrong.
std::variant<call, refusal> ParseCall(const wire::http_request& aRequest,
                                      snapshot_ptr aSnapshot,
                                      request_id aId,
                                      steady_time aNow);

// Returns the account that the Authorization header proves, or null.
const client_account* Authenticate(const wire::http_request& aRequest,
                                   const traffic_snapshot& aSnapshot);

} // namespace sapphirespar::router
