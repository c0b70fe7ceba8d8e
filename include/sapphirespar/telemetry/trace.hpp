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
  // 16 hexadecimal digits; empty for a trace that starts here.
  std::string mSpanId;
  bool mSampled = true;
};

// Reads a traceparent header; nothing for one that is malformed.
std::optional<trace_context> ParseTraceparent(std::string_view aHeader);

// Returns a context with a new trace identifier and no span.
trace_context NewTrace();

// Returns the traceparent header that names aContext's span as the parent.
std::string FormatTraceparent(const trace_context& aContext);

struct span_attribute
{
  std::string mKey;
  std::string mValue;
};

// One hop of a request.
struct trace_span
{
  std::string mName;
  trace_context mContext;
  std::string mParentSpanId;
  std::chrono::system_clock::time_point mStart;
  std::chrono::system_clock::time_point mEnd;
  std::vector<span_attribute> mAttributes;
  bool mFailed = false;
};

// Returns a span that starts at aNow, as a child of aParent.
trace_span StartSpan(std::string aName,
                     const trace_context& aParent,
                     std::chrono::system_clock::time_point aNow);

// Returns spans as one OTLP/JSON export request of the service "sapphirespar".
std::string ToOtlpJson(std::span<const trace_span> aSpans,
                       std::string_view aNode);

// Keeps finished spans until they are exported. Safe on any thread.
class span_buffer
{
public:
  // Adds a span; over the bound the oldest goes.
  void Add(trace_span aSpan);

  // Returns up to aLimit of the newest spans and keeps them.
  std::vector<trace_span> Recent(std::size_t aLimit) const;

  // Removes and returns what has not been taken before.
  std::vector<trace_span> Take();

private:
  mutable std::mutex mMutex;
  std::deque<trace_span> mSpans;
  // The last mUntaken spans have not been taken; never above mSpans.size().
  std::size_t mUntaken = 0;
};

} // namespace sapphirespar
