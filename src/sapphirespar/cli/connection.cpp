// Blocking calls: each runs an io_context of its own until the call completes.
#include "connection.hpp"

#include "sapphirespar/wire/asio_timer_service.hpp"
#include "sapphirespar/wire/platform_client.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <charconv>
#include <ctime>

namespace sapphirespar::cli {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kPageTimeout{ 10000 };
constexpr std::chrono::milliseconds kUpdateTimeout{ 15000 };

// A server's endpoint and the TLS context for it, which is null for plain TCP.
struct destination
{
  wire::endpoint mEndpoint;
  wire::tls_context_ptr mTls;
};

connection_result<destination>
MakeDestination(const std::string& aAddress,
                const wire::tls_context_files& aTls)
{
  destination target;
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return connection_failure{ "expected ADDRESS:PORT, found \"" + aAddress +
                               "\"" };
  }
  target.mEndpoint = *endpoint;
  if (!aTls.mAuthorities.empty()) {
    auto tls = wire::MakeClientTls(aTls);
    if (!tls) {
      return connection_failure{ tls.error().mFile + ": " +
                                 tls.error().mProblem };
    }
    target.mTls = std::move(tls).value();
  }
  return target;
}

wire::platform_client_settings
PlatformSettings(const destination& aDestination)
{
  wire::platform_client_settings settings;
  settings.mPlatform = aDestination.mEndpoint;
  settings.mTls = aDestination.mTls;
  return settings;
}

// Returns the UTC time of the operator's machine in the format of the bundle
// history.
std::string
CurrentUtcTime()
{
  constexpr std::size_t kTextBytes = 32;
  char text[kTextBytes];
  const auto now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  const auto size = std::strftime(text, kTextBytes, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return { text, size };
}

asio::awaitable<void>
Fetch(wire::http_client& aClient,
      wire::endpoint aEndpoint,
      wire::http_request aRequest,
      connection_result<wire::http_response>& aResult)
{
  const auto fetched =
    co_await aClient.Fetch(aEndpoint, std::move(aRequest), kPageTimeout);
  if (fetched) {
    aResult = fetched.value();
  } else {
    aResult =
      connection_failure{ std::string(wire::ToText(fetched.error().mKind)) +
                          ": " + fetched.error().mDetail };
  }
}

asio::awaitable<void>
SendOrder(wire::http_client& aClient,
          wire::endpoint aEngine,
          std::string aBody,
          upstream::order_reply_callback aDone)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kConflict = 409;
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/orders";
  request.mBody = std::move(aBody);
  const auto response = co_await aClient.Fetch(
    aEngine, std::move(request), kPageTimeout, wire::connection_choice::Fresh);
  const auto status = response ? response.value().mStatus : 0;
  aDone(status == kOk         ? upstream::order_reply::Accepted
        : status == kConflict ? upstream::order_reply::Refused
                              : upstream::order_reply::Unknown);
}

asio::awaitable<void>
FetchLoad(wire::http_client& aClient,
          wire::endpoint aEngine,
          upstream::load_callback aDone)
{
  wire::http_request request;
  request.mTarget = "/v1/load";
  const auto response =
    co_await aClient.Fetch(aEngine, std::move(request), kPageTimeout);
  std::optional<upstream::load_report> report;
  if (response) {
    report = upstream::ReadLoadReport(response.value().mBody);
  }
  aDone(report);
}

// Returns hooks that send orders and fetch load reports through aClient;
// aContext and aClient must outlive the hooks.
upstream::order_hooks
OrderHooks(asio::io_context& aContext, wire::http_client& aClient)
{
  upstream::order_hooks hooks;
  hooks.mSend = [&](const upstream_spec& aEngine,
                    const upstream::engine_order& aOrder,
                    std::uint64_t aFence,
                    upstream::order_reply_callback aDone) {
    auto body = boost::json::serialize(
      boost::json::object{ { "fence", aFence },
                           { "order", upstream::ToText(aOrder.mKind) },
                           { "model", aOrder.mModel.mText } });
    wire::endpoint engine{ aEngine.mAddress, aEngine.mPort };
    asio::co_spawn(
      aContext,
      SendOrder(aClient, std::move(engine), std::move(body), std::move(aDone)),
      asio::detached);
  };
  hooks.mFetchLoad = [&](const upstream_spec& aEngine,
                         upstream::load_callback aDone) {
    wire::endpoint engine{ aEngine.mAddress, aEngine.mPort };
    asio::co_spawn(aContext,
                   FetchLoad(aClient, std::move(engine), std::move(aDone)),
                   asio::detached);
  };
  return hooks;
}

} // namespace

std::optional<wire::endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  wire::endpoint endpoint{ aText.substr(0, colon), 0 };
  const auto* end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data() + colon + 1, end, endpoint.mPort);
  const bool good = parsed.ec == std::errc{} && parsed.ptr == end;
  return good ? std::optional(endpoint) : std::nullopt;
}

connection_result<object_answer>
FetchObject(const connection_options& aOptions, const object_key& aKey)
{
  const auto destination = MakeDestination(aOptions.mPlatform, aOptions.mTls);
  if (!destination) {
    return destination.error();
  }
  asio::io_context context;
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(destination.value()));
  object_answer received;
  client.Get(aKey,
             [&](object_answer aAnswer) { received = std::move(aAnswer); });
  context.run();
  if (received.mStatus != platform_status::Ok &&
      received.mStatus != platform_status::NotFound) {
    return connection_failure{ "the platform at " + aOptions.mPlatform + ": " +
                               std::string(ToText(received.mStatus)) };
  }
  return received;
}

connection_result<acceptance_result>
RunAcceptance(const connection_options& aOptions,
              acceptance_settings aSettings,
              const std::string& aSignedBundle)
{
  const auto destination = MakeDestination(aOptions.mPlatform, aOptions.mTls);
  if (!destination) {
    return destination.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(destination.value()));
  acceptance_result received;
  bundle_acceptance run(client, timers, std::move(aSettings));
  run.Start(aSignedBundle, CurrentUtcTime(), [&](acceptance_result aResult) {
    received = std::move(aResult);
    context.stop();
  });
  context.run();
  return received;
}

connection_result<upstream::update_status>
RunUpdate(const connection_options& aOptions,
          object_key aKey,
          upstream::change_decision aDecide)
{
  const auto destination = MakeDestination(aOptions.mPlatform, aOptions.mTls);
  if (!destination) {
    return destination.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(destination.value()));
  // UpdateObject calls nothing once this has expired.
  const auto lifetime = std::make_shared<int>();
  upstream::update_result result;
  upstream::UpdateObject(client,
                         timers,
                         std::move(aKey),
                         std::move(aDecide),
                         kUpdateTimeout,
                         lifetime,
                         [&](const auto& aResult) {
                           result = aResult;
                           context.stop();
                         });
  context.run();
  return result.mStatus;
}

connection_result<upstream::order_outcome>
RunOrder(const connection_options& aOptions,
         const upstream_spec& aEngine,
         const upstream::engine_order& aOrder)
{
  const auto destination = MakeDestination(aOptions.mPlatform, aOptions.mTls);
  if (!destination) {
    return destination.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client platform(context.get_executor(),
                                 PlatformSettings(destination.value()));
  wire::http_client client(context.get_executor(), {});
  upstream::order_controller orders(
    { { "ctl" }, 1 }, platform, timers, OrderHooks(context, client));
  auto outcome = upstream::order_outcome::NotSent;
  orders.Issue(aEngine, aOrder, [&](upstream::order_outcome aOutcome) {
    outcome = aOutcome;
  });
  // Runs until no work is left, so that the engine's slot is released as well.
  context.run();
  return outcome;
}

connection_result<wire::http_response>
FetchPage(const connection_options& aOptions, const std::string& aTarget)
{
  const auto destination = MakeDestination(aOptions.mRouter, aOptions.mTls);
  if (!destination) {
    return destination.error();
  }
  asio::io_context context;
  wire::http_client_settings settings;
  settings.mTls = destination.value().mTls;
  wire::http_client client(context.get_executor(), settings);
  wire::http_request request;
  request.mTarget = aTarget;
  connection_result<wire::http_response> received =
    connection_failure{ "no response" };
  asio::co_spawn(
    context,
    Fetch(client, destination.value().mEndpoint, request, received),
    asio::detached);
  context.run();
  return received;
}

} // namespace sapphirespar::cli
