// The life of one forwarded request: routed, admitted, placed, attempted as
// often as is safe, answered.
#pragma once

#include "sapphirespar/gateway/protocol.hpp"
#include "sapphirespar/gateway/routing_state.hpp"
#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/policy/engine_split.hpp"
#include "sapphirespar/policy/fleet_retry_budget.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/wire/http_client.hpp"
#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>

namespace sapphirespar::gateway {

namespace asio = boost::asio;

// What forwarding needs of the rest of the gateway. All of it belongs to one
// thread and outlives every request.
struct forward_services
{
  const protocol& mProtocol;
  const routing_state& mRouting;
  upstream_directory& mUpstreams;
  policy::fleet_retry_budget& mRetries;
  policy::prefill_meter& mPrefill;
  const policy::engine_split& mSplit;
  wire::http_client& mClient;
  metrics& mMetrics;
  // Highest number of gateways that may be live; zero if not known.
  std::function<unsigned()> mGateways;
  // A random number from 0 to 1.
  std::function<double()> mDraw;
  // Time until this process ends; unset unless it is leaving.
  std::function<std::optional<std::chrono::milliseconds>()> mTimeToStop;
  data_centre_id mDataCentre;
  // Keys are not accepted when the routing has not been confirmed for so long.
  std::chrono::milliseconds mKeyFreshness{ 5000 };
};

// Serves one request from its arrival to its answer.
asio::awaitable<void> ServeForward(const forward_services& aServices,
                                   const wire::http_request& aRequest,
                                   wire::http_reply& aReply);

} // namespace sapphirespar::gateway
