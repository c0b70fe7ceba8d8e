// Implements probes, load reports, cache events, pauses and orders over HTTP.
#include "sapphirespar/router/upstream_client.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;

using response_callback =
  std::function<void(wire::wire_result<wire::http_response>)>;

asio::awaitable<void>
Call(std::shared_ptr<wire::http_client> aClient,
     wire::endpoint aTarget,
     wire::http_request aRequest,
     wire::connection_choice aChoice,
     response_callback aDone)
{
  aDone(co_await aClient->Fetch(aTarget, aRequest, kCallTimeout, aChoice));
}

wire::http_request
MakeGet(std::string aTarget)
{
  wire::http_request request;
  request.mTarget = std::move(aTarget);
  return request;
}

wire::http_request
MakePost(std::string aTarget, std::string aBody)
{
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mBody = std::move(aBody);
  return request;
}

upstream::order_reply
ToReply(const wire::wire_result<wire::http_response>& aResponse)
{
  if (!aResponse) {
    return upstream::order_reply::Unknown;
  }
  switch (aResponse.value().mStatus) {
    case kOk:
      return upstream::order_reply::Accepted;
    case kConflict:
      return upstream::order_reply::Refused;
    default:
      return upstream::order_reply::Unknown;
  }
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
upstream_client::Fetch(const upstream_spec& aSpec,
                       wire::http_request aRequest,
                       wire::connection_choice aChoice,
                       response_callback aDone)
{
  const wire::endpoint target{ aSpec.mAddress, aSpec.mPort };
  asio::co_spawn(
    mExecutor,
    Call(mClient, target, std::move(aRequest), aChoice, std::move(aDone)),
    asio::detached);
}

void
upstream_client::Probe(const upstream_spec& aSpec,
                       upstream::load_callback aDone)
{
  FetchReport(aSpec, wire::connection_choice::Fresh, std::move(aDone));
}

void
upstream_client::FetchLoad(const upstream_spec& aSpec,
                           upstream::load_callback aDone)
{
  FetchReport(aSpec, wire::connection_choice::Pooled, std::move(aDone));
}

void
upstream_client::FetchReport(const upstream_spec& aSpec,
                             wire::connection_choice aChoice,
                             upstream::load_callback aDone)
{
  const bool engine = aSpec.mKind == upstream_kind::Engine;
  Fetch(aSpec,
        MakeGet(engine ? "/v1/load" : "/healthz"),
        aChoice,
        [engine, aDone](const auto& aResponse) {
          if (!aResponse) {
            aDone(std::nullopt);
          } else if (engine) {
            aDone(upstream::ReadLoadReport(aResponse.value().mBody));
          } else {
            aDone(upstream::load_report{});
          }
        });
}

void
upstream_client::FetchCacheEvents(const upstream_spec& aSpec,
                                  std::uint64_t aFrom,
                                  cache_callback aDone)
{
  Fetch(aSpec,
        MakeGet("/v1/cache/events?from=" + std::to_string(aFrom)),
        wire::connection_choice::Pooled,
        [aDone](const auto& aResponse) {
          const bool answered = aResponse && aResponse.value().mStatus == kOk;
          aDone(answered ? upstream::ReadCacheReport(aResponse.value().mBody)
                         : std::nullopt);
        });
}

void
upstream_client::SendOrder(const upstream_spec& aSpec,
                           const upstream::engine_order& aOrder,
                           std::uint64_t aFence,
                           upstream::order_reply_callback aDone)
{
  const json::object body{ { "fence", aFence },
                           { "order", upstream::ToText(aOrder.mKind) },
                           { "model", aOrder.mModel.mText } };
  Fetch(aSpec,
        MakePost("/v1/orders", json::serialize(body)),
        wire::connection_choice::Fresh,
        [aDone](const auto& aResponse) { aDone(ToReply(aResponse)); });
}

void
upstream_client::SetPaused(const upstream_spec& aSpec,
                           const request_id& aRequest,
                           bool aPaused,
                           pause_callback aDone)
{
  const auto path =
    "/v1/requests/" + aRequest.mText + (aPaused ? "/pause" : "/resume");
  Fetch(aSpec,
        MakePost(path, {}),
        wire::connection_choice::Pooled,
        [path, aDone](const auto& aResponse) {
          if (!aResponse) {
            LogEvent(
              log_level::Warning,
              "pause_failed",
              { { "path", path }, { "error", aResponse.error().mDetail } });
          }
          aDone(aResponse.has_value());
        });
}

} // namespace sapphirespar::router
