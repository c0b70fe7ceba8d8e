// The life of one caller's request in this router: understood, admitted, given
// a slot, attempted at upstreams as often as is safe, answered.
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

// The at-most-once guard, callable from any thread; callbacks arrive on the
// control thread.
struct at_most_once_hooks
{
  std::function<void(ledger::dispatch_request, ledger::dispatch_callback)>
    mBegin;
  std::function<
    void(ledger::idempotency_key, outcome, ledger::stored_answer_ptr aAnswer)>
    mFinished;
};

// Decisions that may differ from router to router.
struct exchange_hooks
{
  at_most_once_hooks mOnce;
  // Returns a refusal for a request over its account's limits.
  std::function<std::optional<refusal>(const call&)> mAdmit;
  // Called once for each request that mAdmit let in, when it has ended.
  std::function<void(const call&)> mReleaseAdmission;
  std::function<policy::retry_decision(const policy::failed_attempt&)>
    mDecideRetry;
  // An attempt at an upstream has ended.
  std::function<void(const call&, const upstream_id&, const attempt_result&)>
    mOnAttemptEnded;
};

// What exchanges need of the rest of the router. All of it is safe on any
// thread and outlives every exchange.
struct exchange_services
{
  const snapshot_cell& mSnapshots;
  dispatcher& mDispatcher;
  pause_registry& mPauses;
  report_sinks mSinks;
  exchange_hooks mHooks;
  // Share of the requests that come without a trace of their own that are
  // traced, 0 to 1.
  double mTraceSample = 1;
};

// Serves one completion or service request from its arrival to its answer.
asio::awaitable<void> ServeExchange(const exchange_services& aServices,
                                    wire::http_client& aClient,
                                    const wire::http_request& aRequest,
                                    wire::http_reply& aReply);

} // namespace sapphirespar::router
