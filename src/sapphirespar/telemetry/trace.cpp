// Trace contexts, the span buffer and OTLP/JSON output with Boost.JSON.
#include "sapphirespar/telemetry/trace.hpp"

#include "sapphirespar/base/ids.hpp"

#include <boost/json.hpp>

#include <algorithm>

namespace sapphirespar {
namespace {

namespace json = boost::json;

constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kMaxSpans = 4096;

bool
IsHex(std::string_view aText)
{
  return std::ranges::all_of(aText, [](char aDigit) {
    return (aDigit >= '0' && aDigit <= '9') || (aDigit >= 'a' && aDigit <= 'f');
  });
}

std::string
UnixNanoseconds(std::chrono::system_clock::time_point aTime)
{
  return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(
                          aTime.time_since_epoch())
                          .count());
}

json::object
ToAttribute(std::string_view aKey, std::string_view aValue)
{
  return { { "key", aKey }, { "value", { { "stringValue", aValue } } } };
}

json::object
ToJson(const trace_span& aSpan)
{
  constexpr int kServerSpan = 2;
  constexpr int kStatusError = 2;
  json::object object{
    { "traceId", aSpan.mContext.mTraceId },
    { "spanId", aSpan.mContext.mSpanId },
    { "parentSpanId", aSpan.mParentSpanId },
    { "name", aSpan.mName },
    { "kind", kServerSpan },
    { "startTimeUnixNano", UnixNanoseconds(aSpan.mStart) },
    { "endTimeUnixNano", UnixNanoseconds(aSpan.mEnd) },
  };
  json::array attributes;
  std::ranges::transform(
    aSpan.mAttributes, std::back_inserter(attributes), [](const auto& aItem) {
      return ToAttribute(aItem.mKey, aItem.mValue);
    });
  object["attributes"] = std::move(attributes);
  if (aSpan.mFailed) {
    object["status"] = { { "code", kStatusError } };
  }
  return object;
}

} // namespace

std::optional<trace_context>
ParseTraceparent(std::string_view aHeader)
{
  constexpr std::size_t kLength = 55;
  constexpr std::size_t kTraceStart = 3;
  constexpr std::size_t kSpanStart = 36;
  constexpr std::size_t kFlagsStart = 53;
  if (aHeader.size() != kLength || !aHeader.starts_with("00-") ||
      aHeader[kSpanStart - 1] != '-' || aHeader[kFlagsStart - 1] != '-') {
    return std::nullopt;
  }
  trace_context context;
  context.mTraceId = aHeader.substr(kTraceStart, kTraceIdDigits);
  context.mSpanId = aHeader.substr(kSpanStart, kSpanIdDigits);
  context.mSampled = aHeader.back() == '1';
  const bool allZero =
    context.mTraceId.find_first_not_of('0') == std::string::npos;
  if (allZero || !IsHex(context.mTraceId) || !IsHex(context.mSpanId)) {
    return std::nullopt;
  }
  return context;
}

trace_context
NewTrace()
{
  return { RandomHex(kTraceIdDigits), {}, true };
}

std::string
FormatTraceparent(const trace_context& aContext)
{
  return "00-" + aContext.mTraceId + "-" + aContext.mSpanId +
         (aContext.mSampled ? "-01" : "-00");
}

trace_span
StartSpan(std::string aName,
          const trace_context& aParent,
          std::chrono::system_clock::time_point aNow)
{
  trace_span span;
  span.mName = std::move(aName);
  span.mContext = aParent;
  span.mContext.mSpanId = RandomHex(kSpanIdDigits);
  span.mParentSpanId = aParent.mSpanId;
  span.mStart = aNow;
  span.mEnd = aNow;
  return span;
}

std::string
ToOtlpJson(std::span<const trace_span> aSpans, std::string_view aNode)
{
  json::array spans;
  std::ranges::transform(aSpans, std::back_inserter(spans), ToJson);
  const json::array attributes{ ToAttribute("service.name", "sapphirespar"),
                                ToAttribute("service.instance.id", aNode) };
  const json::object scope{ { "scope", { { "name", "sapphirespar" } } },
                            { "spans", std::move(spans) } };
  const json::object resource{
    { "resource", { { "attributes", attributes } } },
    { "scopeSpans", json::array{ scope } },
  };
  return json::serialize(
    json::object{ { "resourceSpans", json::array{ resource } } });
}

void
span_buffer::Add(trace_span aSpan)
{
  const std::lock_guard lock(mMutex);
  mSpans.push_back(std::move(aSpan));
  mUntaken = std::min(mUntaken + 1, kMaxSpans);
  if (mSpans.size() > kMaxSpans) {
    mSpans.pop_front();
  }
}

std::vector<trace_span>
span_buffer::Recent(std::size_t aLimit) const
{
  const std::lock_guard lock(mMutex);
  const auto count = std::min(aLimit, mSpans.size());
  return { mSpans.end() - static_cast<std::ptrdiff_t>(count), mSpans.end() };
}

std::vector<trace_span>
span_buffer::Take()
{
  const std::lock_guard lock(mMutex);
  std::vector<trace_span> taken(
    mSpans.end() - static_cast<std::ptrdiff_t>(mUntaken), mSpans.end());
  mUntaken = 0;
  return taken;
}

} // namespace sapphirespar
