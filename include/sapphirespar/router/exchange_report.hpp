// What is told of an exchange: log lines, metrics, spans and its story.
#pragma once

#include "sapphirespar/router/attempt.hpp"
#include "sapphirespar/router/call.hpp"
#include "sapphirespar/router/request_history_log.hpp"
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"

#include <string>
#include <string_view>

namespace sapphirespar::router {

// Where reports go. All of it is safe on any thread.
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
  // Holds unless the answer was whole.
  refusal mRefusal;
};

// Tells of a request that was refused before it was understood.
void ReportParseRefusal(const report_sinks& aSinks,
                        const request_id& aId,
                        const refusal& aRefusal);

// Follows one understood request from its arrival to its end.
class exchange_report
{
public:
  // Makes aCall's trace context that of the request's own span.
  exchange_report(const report_sinks& aSinks, call& aCall);

  // Adds a step to the request's story.
  void AddEvent(std::string_view aEvent, std::string_view aDetail);

  // Returns a span that is a child of the request's own.
  trace_span StartChildSpan(std::string aName) const;
  void FinishSpan(trace_span aSpan, bool aFailed);

  // The request has waited for a slot.
  void ReportQueueWait(steady_duration aWait);

  // An attempt has ended.
  void ReportAttempt(const upstream_id& aUpstream,
                     const attempt_result& aResult);

  // The request has ended. aFirstSent is when its answer began.
  void ReportEnd(const exchange_result& aEnd,
                 std::optional<steady_time> aFirstSent);

private:
  steady_duration Age() const;
  void CountEnd(const exchange_result& aEnd, std::string_view aCode);

  const report_sinks& mSinks;
  const call& mCall;
  trace_span mSpan;
  request_history mStory;
};

} // namespace sapphirespar::router
