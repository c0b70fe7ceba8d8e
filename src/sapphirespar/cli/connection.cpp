// Waiting calls over an io_context that runs until the answer is there.
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
constexpr std::chrono::milliseconds kUpdatePatience{ 15000 };

// The way to one far end, or why there is none.
struct route
{
  wire::endpoint mEndpoint;
  wire::tls_context_ptr mTls;
};

connection_result<route>
MakeRoute(const std::string& aPlace, const wire::tls_context_files& aTls)
{
  route made;
  const auto endpoint = ParseEndpoint(aPlace);
  if (!endpoint) {
    return connection_failure{ "expected ADDRESS:PORT, found \"" + aPlace +
                               "\"" };
  }
  made.mEndpoint = *endpoint;
  if (!aTls.mAuthorities.empty()) {
    auto tls = wire::MakeClientTls(aTls);
    if (!tls) {
      return connection_failure{ tls.error().mFile + ": " +
                                 tls.error().mProblem };
    }
    made.mTls = std::move(tls).value();
  }
  return made;
}

wire::platform_client_settings
PlatformSettings(const route& aRoute)
{
  wire::platform_client_settings settings;
  settings.mPlatform = aRoute.mEndpoint;
  settings.mTls = aRoute.mTls;
  return settings;
}

// The operator's clock, in UTC, for the history.
std::string
CalendarTime()
{
  constexpr std::size_t kTextBytes = 32;
  char text[kTextBytes];
  const auto now = std::time(nullptr);
  std::tm parts{};
  gmtime_r(&now, &parts);
  const auto size =
    std::strftime(text, kTextBytes, "%Y-%m-%dT%H:%M:%SZ", &parts);
  return { text, size };
}

asio::awaitable<void>
Fetch(wire::http_client& aClient,
      wire::endpoint aEndpoint,
      wire::http_request aRequest,
      connection_result<wire::http_response>& aInto)
{
  const auto fetched =
    co_await aClient.Fetch(aEndpoint, std::move(aRequest), kPageTimeout);
  if (fetched) {
    aInto = fetched.value();
  } else {
    aInto =
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

// Carries orders and load reports over aClient, which must outlive the hooks.
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
  const auto route = MakeRoute(aOptions.mPlatform, aOptions.mTls);
  if (!route) {
    return route.error();
  }
  asio::io_context context;
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(route.value()));
  object_answer got;
  client.Get(aKey, [&](object_answer aAnswer) { got = std::move(aAnswer); });
  context.run();
  if (got.mStatus != platform_status::Ok &&
      got.mStatus != platform_status::NotFound) {
    return connection_failure{ "the platform at " + aOptions.mPlatform + ": " +
                               std::string(ToText(got.mStatus)) };
  }
  return got;
}

connection_result<acceptance_result>
RunAcceptance(const connection_options& aOptions,
              acceptance_settings aSettings,
              const std::string& aSignedBundle)
{
  const auto route = MakeRoute(aOptions.mPlatform, aOptions.mTls);
  if (!route) {
    return route.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(route.value()));
  acceptance_result got;
  bundle_acceptance run(client, timers, std::move(aSettings));
  run.Start(aSignedBundle, CalendarTime(), [&](acceptance_result aResult) {
    got = std::move(aResult);
    context.stop();
  });
  context.run();
  return got;
}

connection_result<upstream::update_status>
RunUpdate(const connection_options& aOptions,
          object_key aKey,
          upstream::change_decision aDecide)
{
  const auto route = MakeRoute(aOptions.mPlatform, aOptions.mTls);
  if (!route) {
    return route.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client client(context.get_executor(),
                               PlatformSettings(route.value()));
  const auto owner = std::make_shared<int>();
  upstream::update_result result;
  upstream::UpdateObject(client,
                         timers,
                         std::move(aKey),
                         std::move(aDecide),
                         kUpdatePatience,
                         owner,
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
  const auto route = MakeRoute(aOptions.mPlatform, aOptions.mTls);
  if (!route) {
    return route.error();
  }
  asio::io_context context;
  wire::asio_timer_service timers(context.get_executor());
  wire::platform_client platform(context.get_executor(),
                                 PlatformSettings(route.value()));
  wire::http_client client(context.get_executor(), {});
  upstream::order_controller orders(
    { { "ctl" }, 1 }, platform, timers, OrderHooks(context, client));
  auto ended = upstream::order_outcome::NotSent;
  orders.Issue(
    aEngine, aOrder, [&](upstream::order_outcome aEnd) { ended = aEnd; });
  // Runs until nothing is left to do, so that the slot is given back too.
  context.run();
  return ended;
}

connection_result<wire::http_response>
FetchPage(const connection_options& aOptions, const std::string& aTarget)
{
  const auto route = MakeRoute(aOptions.mRouter, aOptions.mTls);
  if (!route) {
    return route.error();
  }
  asio::io_context context;
  wire::http_client_settings settings;
  settings.mTls = route.value().mTls;
  wire::http_client client(context.get_executor(), settings);
  wire::http_request request;
  request.mTarget = aTarget;
  connection_result<wire::http_response> got =
    connection_failure{ "no answer" };
  asio::co_spawn(context,
                 Fetch(client, route.value().mEndpoint, request, got),
                 asio::detached);
  context.run();
  return got;
}

} // namespace sapphirespar::cli
