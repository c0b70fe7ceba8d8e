// Tests the trace exporter against a collector on loopback.
#include "sapphirespar/router/trace_exporter.hpp"

#include "sapphirespar/wire/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <gtest/gtest.h>

#include <array>

namespace sapphirespar::router {
namespace {

using namespace std::chrono_literals;

TEST(TraceExport, SendsEachSpanOnce)
{
  boost::asio::io_context context;
  const std::array workers{ &context };
  std::vector<std::string> bodies;
  wire::http_server collector(
    context,
    workers,
    {},
    [&](const wire::http_request& aRequest,
        wire::http_reply& aReply) -> boost::asio::awaitable<void> {
      bodies.push_back(aRequest.mBody);
      auto answer = wire::JsonResponse(200, "{}");
      co_await aReply.Send(std::move(answer));
    });
  manual_timer_service timers;
  span_buffer spans;
  metrics counts;
  const trace_exporter exporter(
    { "127.0.0.1", collector.Port() },
    "vm-1",
    { context.get_executor(), timers, spans, counts });
  spans.Add(StartSpan("request", NewTrace(), {}));
  timers.Advance(10s);
  while (counts.Value("sapphirespar_spans_total", { { "sent", "yes" } }) < 1) {
    context.run_one();
  }
  ASSERT_EQ(bodies.size(), 1U);
  const auto document = boost::json::parse(bodies[0]);
  const auto& name =
    document.at_pointer("/resourceSpans/0/scopeSpans/0/spans/0/name");
  EXPECT_EQ(name.as_string(), "request");
}

} // namespace
} // namespace sapphirespar::router
