// Probes, load reports and pauses over HTTP.
#include "sapphirespar/router/upstream_client.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sapphirespar::router {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };

wire::endpoint
EndpointOf(const upstream_spec& aSpec)
{
  return { aSpec.mAddress, aSpec.mPort };
}

asio::awaitable<void>
Order(std::shared_ptr<wire::http_client> aClient,
      wire::endpoint aTarget,
      std::string aPath)
{
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = std::move(aPath);
  const auto response =
    co_await aClient->Fetch(aTarget, request, kProbeTimeout);
  if (!response) {
    LogEvent(
      log_level::Warning,
      "order_failed",
      { { "path", request.mTarget }, { "error", response.error().mDetail } });
  }
}

asio::awaitable<void>
AskUpstream(std::shared_ptr<wire::http_client> aClient,
            upstream_spec aSpec,
            wire::connection_choice aChoice,
            upstream::load_callback aDone)
{
  const bool engine = aSpec.mKind == upstream_kind::Engine;
  const auto target = EndpointOf(aSpec);
  wire::http_request request;
  request.mTarget = engine ? "/v1/load" : "/healthz";
  const auto response =
    co_await aClient->Fetch(target, request, kProbeTimeout, aChoice);
  if (!response) {
    aDone(std::nullopt);
    co_return;
  }
  aDone(engine ? upstream::ReadLoadReport(response.value().mBody)
               : upstream::load_report{});
}

} // namespace

upstream_client::upstream_client(asio::any_io_executor aExecutor,
                                 wire::tls_context_ptr aTls)
  : mExecutor(aExecutor)
  , mClient(std::make_shared<wire::http_client>(
      aExecutor,
      wire::http_client_settings{ .mTls = std::move(aTls) }))
{
}

void
upstream_client::Probe(const upstream_spec& aSpec,
                       upstream::load_callback aDone)
{
  Ask(aSpec, wire::connection_choice::Fresh, std::move(aDone));
}

void
upstream_client::FetchLoad(const upstream_spec& aSpec,
                           upstream::load_callback aDone)
{
  Ask(aSpec, wire::connection_choice::Pooled, std::move(aDone));
}

void
upstream_client::SetPaused(const upstream_spec& aSpec,
                           const request_id& aRequest,
                           bool aPaused)
{
  auto path =
    "/v1/requests/" + aRequest.mText + (aPaused ? "/pause" : "/resume");
  asio::co_spawn(mExecutor,
                 Order(mClient, EndpointOf(aSpec), std::move(path)),
                 asio::detached);
}

void
upstream_client::Ask(const upstream_spec& aSpec,
                     wire::connection_choice aChoice,
                     upstream::load_callback aDone)
{
  asio::co_spawn(mExecutor,
                 AskUpstream(mClient, aSpec, aChoice, std::move(aDone)),
                 asio::detached);
}

} // namespace sapphirespar::router
