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
  // An answer to another request, or bytes that belong to none. Nothing in it
  // holds for the request.
  Foreign,
  // Must not be relayed: its status promises that the request did not run,
  // which the upstream has not stated, or the other way round; a success lacks
  // the upstream's signature; or it names several requests. The request may
  // have run.
  Unusable,
};

// Returns the name used in logs, such as "not_run".
std::string_view ToText(answer_kind aKind);

// What comes before an answer on its connection.
enum class connection_past
{
  // No answer.
  None,
  // Answers, after which a faulty upstream may have sent more bytes.
  Answers,
};

// aRequestId is the id of the request that was sent, empty if it has none. An
// answer that names another request is Foreign, and so is one that names none
// after others, as an upstream names the request that it answers.
answer_kind ClassifyAnswer(unsigned aStatus,
                           const answer_info& aInfo,
                           std::string_view aRequestId,
                           connection_past aPast);

// Whether a caller takes this status to mean that the request has not run and
// never will.
bool PromisesNotRun(unsigned aStatus);

bool IsSuccess(unsigned aStatus);

} // namespace sapphirespar::gateway
