// One caller's request from the first try to its end.
#pragma once

#include "sapphirespar/tools/load_run.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/awaitable.hpp>

namespace sapphirespar::tools {

namespace asio = boost::asio;

// What one thread of the load shares among its calls.
struct call_context
{
  const workload& mWorkload;
  const load_targets& mTargets;
  wire::http_client& mClient;
};

asio::awaitable<call_record> PerformCall(const call_context& aContext,
                                         arrival aArrival);

// Asks every service and engine what it ran.
asio::awaitable<upstream_audit> AuditUpstreams(const call_context& aContext);

} // namespace sapphirespar::tools
