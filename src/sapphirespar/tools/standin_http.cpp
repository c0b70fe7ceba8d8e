// JSON bodies, timers and faults of the stand-ins.
#include "standin_http.hpp"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace sapphirespar::tools {
namespace {

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

// How often a frozen upstream checks whether the fault has been cleared.
constexpr std::chrono::milliseconds kFreezePollInterval{ 20 };

} // namespace

std::optional<json::object>
ParseObject(std::string_view aBody)
{
  boost::system::error_code error;
  auto value = json::parse(aBody, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

double
NumberOr(const json::object& aObject, std::string_view aKey, double aDefault)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_number()) {
    return aDefault;
  }
  return value->to_number<double>();
}

bool
FlagOr(const json::object& aObject, std::string_view aKey, bool aDefault)
{
  const auto* value = aObject.if_contains(aKey);
  return value != nullptr && value->is_bool() ? value->as_bool() : aDefault;
}

std::string
TextOr(const json::object& aObject,
       std::string_view aKey,
       std::string_view aDefault)
{
  const auto* value = aObject.if_contains(aKey);
  if (value == nullptr || !value->is_string()) {
    return std::string(aDefault);
  }
  return std::string(value->as_string());
}

wire::http_response
JsonResponse(unsigned aStatus, const json::value& aBody)
{
  return wire::JsonResponse(aStatus, json::serialize(aBody));
}

wire::http_response
ErrorResponse(unsigned aStatus, std::string_view aMessage)
{
  json::object error;
  error["message"] = aMessage;
  json::object body;
  body["error"] = std::move(error);
  return JsonResponse(aStatus, body);
}

std::unique_ptr<wire::http_server>
StartServer(asio::io_context& aContext,
            std::string aAddress,
            std::uint16_t aPort,
            wire::http_handler aHandler)
{
  wire::http_server_settings settings;
  settings.mAddress = std::move(aAddress);
  settings.mPort = aPort;
  const std::array workers{ &aContext };
  return std::make_unique<wire::http_server>(
    aContext, workers, std::move(settings), std::move(aHandler));
}

std::vector<std::string_view>
SplitPath(std::string_view aPath)
{
  std::vector<std::string_view> parts;
  while (!aPath.empty()) {
    const auto slash = aPath.find('/');
    const auto part = aPath.substr(0, slash);
    if (!part.empty()) {
      parts.push_back(part);
    }
    aPath.remove_prefix(slash == std::string_view::npos ? aPath.size()
                                                        : slash + 1);
  }
  return parts;
}

std::uint64_t
QueryNumber(std::string_view aQuery,
            std::string_view aKey,
            std::uint64_t aDefault)
{
  const auto text = wire::QueryValue(aQuery, aKey);
  std::uint64_t number = 0;
  const auto parsed =
    std::from_chars(text.data(), text.data() + text.size(), number);
  return text.empty() || parsed.ec != std::errc() ? aDefault : number;
}

asio::awaitable<void>
Sleep(std::chrono::microseconds aDuration)
{
  if (aDuration.count() <= 0) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  co_await timer.async_wait(kAsTuple);
}

asio::awaitable<void>
WaitForWake(asio::steady_timer& aTimer, std::chrono::microseconds aTimeout)
{
  aTimer.expires_after(aTimeout);
  co_await aTimer.async_wait(kAsTuple);
}

void
ChangeFaults(upstream_faults& aFaults, const json::object& aChange)
{
  aFaults.mCrash = FlagOr(aChange, "crash", aFaults.mCrash);
  aFaults.mFreeze = FlagOr(aChange, "freeze", aFaults.mFreeze);
  aFaults.mSlowFactor = NumberOr(aChange, "slow_factor", aFaults.mSlowFactor);
  const auto lag = NumberOr(
    aChange, "load_lag_ms", static_cast<double>(aFaults.mLoadLag.count()));
  aFaults.mLoadLag = std::chrono::milliseconds(static_cast<long>(lag));
  aFaults.mResponsesToDrop = static_cast<unsigned>(
    NumberOr(aChange, "lose_answers", aFaults.mResponsesToDrop));
}

json::object
ToJson(const upstream_faults& aFaults)
{
  json::object body;
  body["crash"] = aFaults.mCrash;
  body["freeze"] = aFaults.mFreeze;
  body["slow_factor"] = aFaults.mSlowFactor;
  body["load_lag_ms"] = aFaults.mLoadLag.count();
  body["lose_answers"] = aFaults.mResponsesToDrop;
  return body;
}

wire::http_response
ServeFaults(upstream_faults& aFaults, const wire::http_request& aRequest)
{
  if (aRequest.mMethod == "PUT") {
    const auto change = ParseObject(aRequest.mBody);
    if (!change) {
      return ErrorResponse(400, "expected a JSON object of faults");
    }
    ChangeFaults(aFaults, *change);
  }
  return JsonResponse(200, ToJson(aFaults));
}

asio::awaitable<bool>
WaitWhileFrozen(const upstream_faults& aFaults, wire::http_reply& aReply)
{
  while (aFaults.mFreeze && !aFaults.mCrash) {
    if (aReply.CallerDisconnected()) {
      co_return false;
    }
    co_await Sleep(kFreezePollInterval);
  }
  co_return !aFaults.mCrash;
}

} // namespace sapphirespar::tools
