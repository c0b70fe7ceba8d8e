// What an upstream's answer means for the request, and what the caller is told
// when there is no answer to pass on.
#pragma once

#include "sapphirespar/gateway/protocol.hpp"

#include <string_view>

namespace sapphirespar::gateway {

enum class answer_verdict
{
  // To be passed on as it is.
  Relay,
  // The upstream ran the request, and failed.
  Failed,
  // The upstream did not run the request and will not.
  NotRun,
  // The answer to another request, which came late.
  Foreign,
  // Nothing that may be passed on: it would promise what is not known, or lacks
  // the upstream's signature. The request may have run.
  Unusable,
};

// Returns the verdict as it stands in logs, such as "not_run".
std::string_view ToText(answer_verdict aVerdict);

answer_verdict JudgeAnswer(unsigned aStatus,
                           const answer_facts& aFacts,
                           std::string_view aRequestId);

// Whether a status promises that the request has not run and never will.
bool PromisesNotRun(unsigned aStatus);

} // namespace sapphirespar::gateway
