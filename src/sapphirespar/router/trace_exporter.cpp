// Sends new spans to the collector periodically.
#include "sapphirespar/router/trace_exporter.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/wire/http_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sapphirespar::router {
namespace {

constexpr std::chrono::seconds kExportPeriod{ 2 };
constexpr std::chrono::milliseconds kExportTimeout{ 2000 };
constexpr unsigned kFirstErrorStatus = 300;

} // namespace

struct trace_exporter::state : std::enable_shared_from_this<state>
{
  state(address_port aCollector,
        std::string aNode,
        trace_exporter_services aServices)
    : mCollector{ aCollector.mAddress, aCollector.mPort }
    , mNode(std::move(aNode))
    , mServices(std::move(aServices))
    , mClient(mServices.mExecutor, {})
  {
  }

  void SendNewSpans();
  boost::asio::awaitable<void> Send(std::vector<trace_span> aSpans);

  wire::endpoint mCollector;
  std::string mNode;
  trace_exporter_services mServices;
  wire::http_client mClient;
  timer_subscription mTick;
};

void
trace_exporter::state::SendNewSpans()
{
  auto spans = mServices.mSpans.Take();
  if (!spans.empty()) {
    boost::asio::co_spawn(
      mServices.mExecutor, Send(std::move(spans)), boost::asio::detached);
  }
}

boost::asio::awaitable<void>
trace_exporter::state::Send(std::vector<trace_span> aSpans)
{
  const auto self = shared_from_this();
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/traces";
  request.mHeaders.push_back({ "Content-Type", "application/json" });
  request.mBody = ToOtlpJson(aSpans, mNode);
  const auto response =
    co_await mClient.Fetch(mCollector, request, kExportTimeout);
  const bool accepted =
    response && response.value().mStatus < kFirstErrorStatus;
  mServices.mMetrics.Count("sapphirespar_spans_total",
                           { { "sent", accepted ? "yes" : "no" } },
                           static_cast<double>(aSpans.size()));
  if (!accepted) {
    LogEvent(log_level::Warning,
             "trace_export_failed",
             { { "spans", aSpans.size() } });
  }
}

trace_exporter::trace_exporter(address_port aCollector,
                               std::string aNode,
                               trace_exporter_services aServices)
  : mState(std::make_shared<state>(std::move(aCollector),
                                   std::move(aNode),
                                   std::move(aServices)))
{
  mState->mTick = mState->mServices.mTimers.Every(
    kExportPeriod, [this] { mState->SendNewSpans(); });
}

trace_exporter::~trace_exporter() = default;

} // namespace sapphirespar::router
