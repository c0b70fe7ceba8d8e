// The router's own HTTP endpoints: entry addresses, health, metrics, status,
// traces, request histories and idempotency tokens.
#pragma once

#include "sapphirespar/router/control_plane.hpp"
#include "sapphirespar/router/request_history_log.hpp"
#include "sapphirespar/router/snapshot.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"
#include "sapphirespar/wire/http_message.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sapphirespar::router {

// All of these objects outlive every request.
struct page_services
{
  asio::io_context& mControlContext;
  control_plane& mControl;
  const snapshot_cell& mSnapshots;
  const metrics& mMetrics;
  const span_buffer& mSpans;
  const request_history_log& mHistories;
};

// Answers a request for one of the endpoints, with status 404 for an unknown
// path.
asio::awaitable<wire::http_response> ServePage(
  const page_services& aServices,
  const wire::http_request& aRequest);

} // namespace sapphirespar::router
