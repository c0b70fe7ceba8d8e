// The requests of a load run: one call with all its tries, and the audit of the
// upstreams.
#pragma once

#include "sapphirespar/tools/load_run.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/awaitable.hpp>

namespace sapphirespar::tools {

namespace asio = boost::asio;

// References shared by all calls of one sending thread.
struct call_context
{
  const workload& mWorkload;
  const load_targets& mTargets;
  wire::http_client& mClient;
};

// Sends a request, retries it according to the settings of its class, and
// checks the answer.
asio::awaitable<call_record> PerformCall(const call_context& aContext,
                                         arrival aArrival);

// Fetches the counts of every service and engine and adds them up.
asio::awaitable<upstream_audit> AuditUpstreams(const call_context& aContext);

} // namespace sapphirespar::tools
