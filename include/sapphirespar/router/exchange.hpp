// Serves one caller's request: parses it, admits it, waits for a slot, attempts
// it at upstreams as often as is safe, and answers the caller.
#pragma once

#include "sapphirespar/ledger/at_most_once_guard.hpp"
#include "sapphirespar/policy/retry.hpp"
#include "sapphirespar/router/attempt.hpp"
#include "sapphirespar/router/dispatcher.hpp"
#include "sapphirespar/router/exchange_report.hpp"
#include "sapphirespar/router/snapshot.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>

namespace sapphirespar::router {

// Access to the at-most-once guard from any thread. The guard calls the
// dispatch_callback on the control thread.
struct at_most_once_hooks
{
  std::function<void(ledger::dispatch_request, ledger::dispatch_callback)>
    mBegin;
  std::function<
    void(ledger::idempotency_key, outcome, ledger::stored_answer_ptr aAnswer)>
    mFinished;
};

// Callbacks by which the rest of the router takes part in an exchange. All of
// them may be called on any thread.
struct exchange_hooks
{
  at_most_once_hooks mOnce;
  // Returns a refusal for a request that exceeds its account's limits.
  std::function<std::optional<refusal>(const call&)> mAdmit;
  // Called once for each request that mAdmit admitted, when it has ended.
  std::function<void(const call&)> mReleaseAdmission;
  std::function<policy::retry_decision(const policy::failed_attempt&)>
    mDecideRetry;
  // Called when an attempt at an upstream has ended.
  std::function<void(const call&, const upstream_id&, const attempt_result&)>
    mOnAttemptEnded;
};

// Objects that exchanges use. All of them may be used on any thread and outlive
// every exchange.
struct exchange_services
{
  const snapshot_cell& mSnapshots;
  dispatcher& mDispatcher;
  pause_registry& mPauses;
  report_sinks mSinks;
  exchange_hooks mHooks;
  // Share of requests to trace among those that arrive without a traceparent
  // header, from 0 to 1.
  double mTraceSample = 1;
};

// Serves one completion or service request until it has been answered.
asio::awaitable<void> ServeExchange(const exchange_services& aServices,
                                    wire::http_client& aClient,
                                    const wire::http_request& aRequest,
                                    wire::http_reply& aReply);

} // namespace sapphirespar::router
