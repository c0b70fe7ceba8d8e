// Sends a request to one upstream and relays the answer to the caller as it
// arrives.
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
  // The caller has received the complete answer.
  Complete,
  // The caller closed its connection.
  CallerLeft,
  // No byte of the request reached the upstream.
  NotSent,
  // The upstream answered that it did not accept the request.
  Refused,
  // The attempt failed after the upstream may have run all or part of the
  // request.
  Broken,
  // The upstream made no progress in time. It may have run all or part of the
  // request.
  TimedOut,
};

// Returns the name used in logs and metrics, such as "not_sent".
std::string_view ToText(attempt_end aEnd);

struct attempt_result
{
  attempt_end mEnd = attempt_end::NotSent;
  // Events of a stream that this attempt sent to the caller; 1 for an answer
  // that is not a stream.
  unsigned mEventsSent = 0;
  // Both durations count from the start of the attempt.
  steady_duration mFirstToken{};
  steady_duration mTotal{};
  std::string mDetail;
};

// State shared by all attempts of one request.
struct relay_state
{
  // Events sent to the caller in all attempts so far.
  unsigned mEventsSent = 0;
  // When the first of these events was sent.
  std::optional<steady_time> mFirstSent;
  // Whether any attempt so far may have run the request. Never reset: a later
  // attempt that was not sent does not undo an earlier one.
  bool mMayHaveRun = false;
  // Whether mAnswer stores the answer if it is not a stream.
  bool mKeepAnswer = false;
  ledger::stored_answer_ptr mAnswer;
};

enum class attempt_kind
{
  // Sends the request from its start.
  Start,
  // Asks the engine to continue after the last event that the caller received.
  Resume,
};

// Objects that an attempt uses. All of them outlive the attempt.
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
                                           attempt_context aContext,
                                           relay_state& aState);

} // namespace sapphirespar::router
