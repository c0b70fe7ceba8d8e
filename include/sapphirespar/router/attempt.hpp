// One attempt to have a request answered by one upstream, relayed to the
// caller as it comes.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"
#include "sapphirespar/router/call.hpp"
#include "sapphirespar/router/pause_registry.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sapphirespar::router {

namespace asio = boost::asio;

enum class attempt_end
{
  // The whole answer has gone to the caller.
  Complete,
  // The caller closed its connection.
  CallerLeft,
  // The upstream was not reached; it has seen nothing of the request.
  NotSent,
  // The upstream said that it did not take the request.
  Refused,
  // The upstream may have run the request, in whole or in part.
  Broken,
  // As Broken, because it made no progress in time.
  TimedOut,
};

// Returns the end as it stands in logs, such as "not_sent".
std::string_view ToText(attempt_end aEnd);

struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  // Events or, for a whole answer, one; sent to the caller in this attempt.
  unsigned mEventsSent = 0;
  steady_duration mFirstToken{};
  steady_duration mTotal{};
  std::string mDetail;
};

// What several attempts for one request share.
struct relay_state
{
  // Events sent to the caller in all attempts so far.
  unsigned mEventsSent = 0;
  // When the first of them was sent.
  std::optional<steady_time> mFirstSent;
  // Whether any attempt so far may have run the request. Never goes back to
  // false: a later attempt that was not sent does not undo an earlier one.
  bool mMayHaveRun = false;
  // Whether a whole answer is to be kept in mAnswer.
  bool mKeepAnswer = false;
  ledger::stored_answer_ptr mAnswer;
};

enum class attempt_kind
{
  // Sends the request from its start.
  Start,
  // Lets the engine go on after the last event that the caller has.
  Resume,
};

// Where an attempt comes from and goes to. All of it outlives the attempt.
struct attempt_context
{
  wire::http_client& mClient;
  wire::http_reply& mReply;
  pause_registry& mPauses;
};

// Sends aCall to aTarget and relays the answer to the caller.
asio::awaitable<attempt_result> RunAttempt(const call& aCall,
                                           const upstream_spec& aTarget,
                                           attempt_kind aKind,
                                           attempt_context aEnds,
                                           relay_state& aState);

} // namespace sapphirespar::router
