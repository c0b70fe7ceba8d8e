// Classifies an upstream's answer: whether it may be relayed to the caller and
// whether the request may have run.
#pragma once

#include "sapphirespar/gateway/protocol.hpp"

#include <string_view>

namespace sapphirespar::gateway {

enum class answer_kind
{
  // May be relayed unchanged.
  Relay,
  // The upstream ran the request, and the request failed there.
  Failed,
  // The upstream did not run the request and never will.
  NotRun,
  // A late answer to an earlier request on the same connection.
  Foreign,
  // Must not be relayed: its status promises that the request did not run,
  // which the upstream has not stated, or a success lacks the upstream's
  // signature. The request may have run.
  Unusable,
};

// Returns the name used in logs, such as "not_run".
std::string_view ToText(answer_kind aKind);

// aRequestId is the id of the request that was sent; an answer that names
// another one is Foreign.
answer_kind ClassifyAnswer(unsigned aStatus,
                           const answer_info& aInfo,
                           std::string_view aRequestId);

// Whether a caller takes this status to mean that the request has not run and
// never will.
bool PromisesNotRun(unsigned aStatus);

} // namespace sapphirespar::gateway
