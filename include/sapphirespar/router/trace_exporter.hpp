// Exports finished spans to a collector as OTLP/JSON over HTTP.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/config/settings.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace sapphirespar::router {

// All of these objects outlive the exporter.
struct trace_exporter_services
{
  boost::asio::any_io_executor mExecutor;
  timer_service& mTimers;
  span_buffer& mSpans;
  metrics& mMetrics;
};

// Used on the control thread only. Spans that the collector did not accept are
// counted and dropped, so that tracing never delays traffic.
class trace_exporter
{
public:
  trace_exporter(address_port aCollector,
                 std::string aNode,
                 trace_exporter_services aServices);
  ~trace_exporter();
  trace_exporter(const trace_exporter&) = delete;
  trace_exporter& operator=(const trace_exporter&) = delete;

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::router
