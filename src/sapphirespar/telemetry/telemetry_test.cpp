// Tests of metrics and traces.
#include "sapphirespar/telemetry/metrics.hpp"
#include "sapphirespar/telemetry/trace.hpp"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace sapphirespar {
namespace {

using namespace std::chrono_literals;

TEST(Metrics, RendersCountersWithEscapedLabels)
{
  metrics registry;
  registry.Count("requests_total", { { "class", "a\"b" } });
  registry.Count("requests_total", { { "class", "a\"b" } }, 2);
  EXPECT_EQ(registry.Value("requests_total", { { "class", "a\"b" } }), 3);
  EXPECT_EQ(registry.Render(), "requests_total{class=\"a\\\"b\"} 3\n");
}

TEST(Metrics, HistogramCountsEveryDurationOnce)
{
  metrics registry;
  registry.Observe("wait_ms", {}, 0ns);
  registry.Observe("wait_ms", {}, 5ms);
  registry.Observe("wait_ms", {}, 2h);
  const auto text = registry.Render();
  EXPECT_NE(text.find("wait_ms_count 3\n"), std::string::npos) << text;
  EXPECT_NE(text.find("wait_ms_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
}

TEST(Trace, TraceparentSurvivesARoundTrip)
{
  const std::string header =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto context = ParseTraceparent(header);
  ASSERT_TRUE(context.has_value());
  EXPECT_EQ(FormatTraceparent(*context), header);
}

TEST(Trace, MalformedTraceparentIsRejected)
{
  EXPECT_FALSE(ParseTraceparent(""));
  EXPECT_FALSE(ParseTraceparent("00-zz-11-01"));
  EXPECT_FALSE(ParseTraceparent(
    "00-00000000000000000000000000000000-b7ad6b7169203331-01"));
}

TEST(Trace, OtlpJsonContainsTheParentSpanId)
{
  const auto parent = StartSpan("caller", NewTrace(), {});
  const auto child = StartSpan("upstream", parent.mContext, {});
  const std::vector spans{ child };
  const auto document = boost::json::parse(ToOtlpJson(spans, "vm-1"));
  const auto& written =
    document.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0");
  EXPECT_EQ(written.at("parentSpanId").as_string(), parent.mContext.mSpanId);
  EXPECT_EQ(written.at("traceId").as_string(), parent.mContext.mTraceId);
}

TEST(SpanBuffer, TakesEachSpanOnce)
{
  span_buffer buffer;
  buffer.Add(StartSpan("one", NewTrace(), {}));
  EXPECT_EQ(buffer.Take().size(), 1U);
  EXPECT_EQ(buffer.Take().size(), 0U);
  EXPECT_EQ(buffer.Recent(5).size(), 1U);
}

} // namespace
} // namespace sapphirespar
