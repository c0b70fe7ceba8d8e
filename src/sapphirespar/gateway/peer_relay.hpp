// Passes a request on to another gateway, which serves it as its own, and
// relays the answer. Internal to gateway.
#pragma once

#include "forward_state.hpp"

#include <string>

namespace sapphirespar::gateway {

// Waits while it is in question whether any upstream can be reached, until the
// request's deadline at the latest.
asio::awaitable<void> WaitForProbes(const forward_services& aServices,
                                    const forwarded_request& aForwarded,
                                    const relay_progress& aProgress);

enum class relay_end
{
  // The complete answer was sent to the caller.
  Relayed,
  CallerDisconnected,
  // The other gateway has not run the request and never will. Its refusal, if
  // it sent one, is in mRefusal.
  NotRun,
  // The answer is lost. An upstream may have run the request.
  Broken,
};

struct relay_result
{
  relay_end mEnd = relay_end::NotRun;
  unsigned mStatus = 0;
  std::optional<wire::http_response> mRefusal;
};

// Sends the request to one of the gateways that reach the upstreams, and to
// others of them while it provably has not run. Writes a log line for each.
// aAbort ends the exchange.
asio::awaitable<relay_result> RelayToGateway(
  const forward_services& aServices,
  const forwarded_request& aForwarded,
  wire::http_reply& aReply,
  relay_progress& aProgress,
  wire::call_abort_ptr aAbort);

} // namespace sapphirespar::gateway
