// Traces: W3C trace contexts, spans, and their OTLP/JSON form.
#pragma once

#include <chrono>
#include <deque>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar {

struct trace_context
{
  // 32 hexadecimal digits.
  std::string mTraceId;
  // 16 hexadecimal digits; empty for a new trace that has no span yet.
  std::string mSpanId;
  bool mSampled = true;
};

// Parses a traceparent header of version 00. Returns nothing if it is
// malformed.
std::optional<trace_context> ParseTraceparent(std::string_view aHeader);

// Returns a sampled context with a new trace identifier and no span.
trace_context NewTrace();

// Returns the traceparent header that names aContext's span as the parent.
std::string FormatTraceparent(const trace_context& aContext);

struct span_attribute
{
  std::string mKey;
  std::string mValue;
};

// One timed operation of a trace.
struct trace_span
{
  std::string mName;
  trace_context mContext;
  // Empty for the first span of a trace.
  std::string mParentSpanId;
  std::chrono::system_clock::time_point mStart;
  std::chrono::system_clock::time_point mEnd;
  std::vector<span_attribute> mAttributes;
  bool mFailed = false;
};

// Returns a span that starts and ends at aNow, as a child of aParent. The
// caller sets mEnd when the operation ends.
trace_span StartSpan(std::string aName,
                     const trace_context& aParent,
                     std::chrono::system_clock::time_point aNow);

// Returns spans as one OTLP/JSON export request of the service "sapphirespar".
// aNode becomes the attribute service.instance.id.
std::string ToOtlpJson(std::span<const trace_span> aSpans,
                       std::string_view aNode);

// Keeps the newest 4096 finished spans for inspection and export. Safe on any
// thread.
class span_buffer
{
public:
  // Adds a span, and removes the oldest one if the buffer is full.
  void Add(trace_span aSpan);

  // Returns up to aLimit of the newest spans.
  std::vector<trace_span> Recent(std::size_t aLimit) const;

  // Returns the buffered spans that no earlier call of Take has returned.
  // Recent still returns them.
  std::vector<trace_span> Take();

private:
  mutable std::mutex mMutex;
  std::deque<trace_span> mSpans;
  // Number of spans at the end of mSpans that Take has not returned yet; at
  // most mSpans.size().
  std::size_t mUntaken = 0;
};

} // namespace sapphirespar
