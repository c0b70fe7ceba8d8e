// Probes and load reports over HTTP.
#include "sapphirespar/router/upstream_probe.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace sapphirespar::router {
namespace {

constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };

asio::awaitable<void>
AskUpstream(std::shared_ptr<wire::http_client> aClient,
            upstream_spec aSpec,
            wire::connection_choice aChoice,
            upstream::load_callback aDone)
{
  const bool engine = aSpec.mKind == upstream_kind::Engine;
  wire::endpoint target;
  target.mAddress = aSpec.mAddress;
  target.mPort = aSpec.mPort;
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

upstream_probe::upstream_probe(asio::any_io_executor aExecutor,
                               wire::tls_context_ptr aTls)
  : mExecutor(aExecutor)
  , mClient(std::make_shared<wire::http_client>(
      aExecutor,
      wire::http_client_settings{ .mTls = std::move(aTls) }))
{
}

void
upstream_probe::Probe(const upstream_spec& aSpec, upstream::load_callback aDone)
{
  Ask(aSpec, wire::connection_choice::Fresh, std::move(aDone));
}

void
upstream_probe::FetchLoad(const upstream_spec& aSpec,
                          upstream::load_callback aDone)
{
  Ask(aSpec, wire::connection_choice::Pooled, std::move(aDone));
}

void
upstream_probe::Ask(const upstream_spec& aSpec,
                    wire::connection_choice aChoice,
                    upstream::load_callback aDone)
{
  asio::co_spawn(mExecutor,
                 AskUpstream(mClient, aSpec, aChoice, std::move(aDone)),
                 asio::detached);
}

} // namespace sapphirespar::router
