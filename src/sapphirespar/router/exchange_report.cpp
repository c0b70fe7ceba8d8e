// Writes log lines, metrics, spans and histories of exchanges.
#include "sapphirespar/router/exchange_report.hpp"

#include "sapphirespar/base/log.hpp"

namespace sapphirespar::router {
namespace {

using std::chrono::steady_clock;
using std::chrono::system_clock;

double
ToMilliseconds(steady_duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

void
CountRequest(metrics& aMetrics,
             std::string_view aClass,
             std::string_view aOutcome,
             std::string_view aCode)
{
  aMetrics.Count(
    "sapphirespar_requests_total",
    { { "class", aClass }, { "outcome", aOutcome }, { "code", aCode } });
}

// Returns "done", "caller_left" or the refusal's reason.
std::string_view
CodeOf(const exchange_result& aResult)
{
  if (aResult.mComplete) {
    return "done";
  }
  return aResult.mCallerLeft ? "caller_left" : ToText(aResult.mRefusal.mReason);
}

} // namespace

void
ReportParseRefusal(const report_sinks& aSinks,
                   const request_id& aId,
                   const refusal& aRefusal)
{
  CountRequest(aSinks.mMetrics,
               "none",
               ToText(aRefusal.mOutcome),
               ToText(aRefusal.mReason));
  LogEvent(log_level::Info,
           "request_refused",
           { { "request", aId.mText },
             { "code", ToText(aRefusal.mReason) },
             { "detail", aRefusal.mDetail } });
}

exchange_report::exchange_report(const report_sinks& aSinks, call& aCall)
  : mSinks(aSinks)
  , mCall(aCall)
  , mSpan(StartSpan("request", aCall.mTrace, system_clock::now()))
{
  aCall.mTrace = mSpan.mContext;
  mHistory.mId = aCall.mId;
  mHistory.mClass = aCall.mClass->mId;
  mHistory.mAccount = aCall.mAccount->mId;
  mHistory.mPool = aCall.mQueued.mPool;
}

steady_duration
exchange_report::Age() const
{
  return steady_clock::now() - mCall.mQueued.mArrival;
}

void
exchange_report::AddEvent(std::string_view aEvent, std::string_view aDetail)
{
  history_event event;
  event.mAt = std::chrono::duration_cast<std::chrono::microseconds>(Age());
  event.mEvent = aEvent;
  event.mDetail = aDetail;
  mHistory.mEvents.push_back(std::move(event));
}

trace_span
exchange_report::StartChildSpan(std::string aName) const
{
  return StartSpan(std::move(aName), mSpan.mContext, system_clock::now());
}

void
exchange_report::FinishSpan(trace_span aSpan, bool aFailed)
{
  if (!mCall.mTrace.mSampled) {
    return;
  }
  aSpan.mEnd = system_clock::now();
  aSpan.mFailed = aFailed;
  aSpan.mAttributes.push_back({ "request", mCall.mId.mText });
  mSinks.mSpans.Add(std::move(aSpan));
}

void
exchange_report::ReportQueueWait(steady_duration aWait)
{
  mSinks.mMetrics.Observe("sapphirespar_queue_wait_ms",
                          { { "class", mCall.mClass->mId.mText } },
                          aWait);
}

void
exchange_report::ReportAttempt(const upstream_id& aUpstream,
                               const attempt_result& aResult)
{
  const auto end = ToText(aResult.mEnd);
  mSinks.mMetrics.Count("sapphirespar_attempts_total",
                        { { "upstream", aUpstream.mText }, { "end", end } });
  AddEvent("attempt", aUpstream.mText + " " + std::string(end));
  if (aResult.mEnd == attempt_end::Complete) {
    return;
  }
  LogEvent(log_level::Warning,
           "attempt_failed",
           { { "request", mCall.mId.mText },
             { "upstream", aUpstream.mText },
             { "end", end },
             { "events_sent", aResult.mEventsSent },
             { "detail", aResult.mDetail } });
}

void
exchange_report::CountEnd(const exchange_result& aResult,
                          std::string_view aCode)
{
  const bool answered = aResult.mComplete || aResult.mCallerLeft;
  CountRequest(mSinks.mMetrics,
               mCall.mClass->mId.mText,
               answered ? aCode : ToText(aResult.mRefusal.mOutcome),
               answered ? std::string_view{} : aCode);
}

void
exchange_report::ReportEnd(const exchange_result& aResult,
                           std::optional<steady_time> aFirstSent)
{
  const auto code = CodeOf(aResult);
  const auto& name = mCall.mClass->mId.mText;
  CountEnd(aResult, code);
  if (aResult.mComplete && aFirstSent) {
    mSinks.mMetrics.Observe("sapphirespar_first_token_ms",
                            { { "class", name } },
                            *aFirstSent - mCall.mQueued.mArrival);
  }
  LogEvent(log_level::Info,
           "request",
           { { "request", mCall.mId.mText },
             { "class", name },
             { "account", mCall.mAccount->mId.mText },
             { "end", code },
             { "total_ms", ToMilliseconds(Age()) },
             { "trace", mCall.mTrace.mTraceId } });
  mSpan.mAttributes.push_back({ "class", name });
  mSpan.mAttributes.push_back({ "end", std::string(code) });
  FinishSpan(std::move(mSpan), !aResult.mComplete);
  mHistory.mEnd = code;
  AddEvent("end",
           aResult.mComplete ? std::string_view{} : aResult.mRefusal.mDetail);
  mSinks.mHistories.Add(std::move(mHistory));
}

} // namespace sapphirespar::router
