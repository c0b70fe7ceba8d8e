// Reports an exchange to the log, the metrics, the trace spans and the request
// history.
#pragma once

#include "sapphirespar/router/attempt.hpp"
#include "sapphirespar/router/call.hpp"
#include "sapphirespar/router/request_history_log.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::router {

// Destinations of reports. All of them may be used on any thread.
struct report_sinks
{
  metrics& mMetrics;
  span_buffer& mSpans;
  request_history_log& mHistories;
};

// How a request ended for its caller.
struct exchange_result
{
  bool mComplete = false;
  bool mCallerLeft = false;
  // Valid if neither of the flags above is set.
  refusal mRefusal;
};

// Reports a request that was refused while it was being parsed.
void ReportParseRefusal(const report_sinks& aSinks,
                        const request_id& aId,
                        const refusal& aRefusal);

// Reports the steps of one parsed request from its arrival to its end.
class exchange_report
{
public:
  // Starts the request's span and stores its context in aCall.mTrace.
  exchange_report(const report_sinks& aSinks, call& aCall);

  // Adds an event to the request's history.
  void AddEvent(std::string_view aEvent, std::string_view aDetail);

  // Returns a new child of the request's span.
  trace_span StartChildSpan(std::string aName) const;
  void FinishSpan(trace_span aSpan, bool aFailed);

  // Reports how long the request waited for a slot.
  void ReportQueueWait(steady_duration aWait);

  // Reports an attempt that has ended.
  void ReportAttempt(const upstream_id& aUpstream,
                     const attempt_result& aResult);

  // Reports the end of the request. aFirstSent is when the first part of the
  // answer was sent to the caller.
  void ReportEnd(const exchange_result& aResult,
                 std::optional<steady_time> aFirstSent);

private:
  steady_duration Age() const;
  void CountEnd(const exchange_result& aResult, std::string_view aCode);

  const report_sinks& mSinks;
  const call& mCall;
  trace_span mSpan;
  request_history mHistory;
};

} // namespace sapphirespar::router
