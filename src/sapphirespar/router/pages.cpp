// Answers requests for the router's own HTTP endpoints.
#include "sapphirespar/router/pages.hpp"

#include "sapphirespar/membership/entry_list.hpp"
#include "sapphirespar/router/call.hpp"
#include "sapphirespar/router/one_shot.hpp"
#include "sapphirespar/router/refusal_response.hpp"
#include "sapphirespar/router/status.hpp"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <functional>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kUnavailable = 503;

// Calls aWork on the control thread and returns its result.
asio::awaitable<std::string>
RunOnControlThread(asio::io_context& aContext,
                   std::function<std::string()> aWork)
{
  const auto result =
    std::make_shared<one_shot<std::string>>(co_await asio::this_coro::executor);
  asio::post(aContext, [result, aWork] { result->Set(aWork()); });
  std::optional<std::string> text;
  while (!text) {
    constexpr std::chrono::milliseconds kWait{ 1000 };
    text = co_await result->Wait(kWait);
  }
  co_return *text;
}

wire::http_response
PlainText(unsigned aStatus, std::string aBody)
{
  wire::http_response response;
  response.mStatus = aStatus;
  response.mHeaders = { { "Content-Type", "text/plain" } };
  response.mBody = std::move(aBody);
  return response;
}

wire::http_response
Readiness(const traffic_snapshot& aSnapshot)
{
  if (!aSnapshot.Bundle()) {
    return PlainText(kUnavailable, "no bundle in force\n");
  }
  if (aSnapshot.Leaving()) {
    return PlainText(kUnavailable, "leaving\n");
  }
  return PlainText(kOk, "ready\n");
}

wire::http_response
EntryPage(const traffic_snapshot& aSnapshot, const wire::http_request& aRequest)
{
  const auto query = wire::SplitTarget(aRequest.mTarget).mQuery;
  const auto requested = wire::QueryValue(query, "data_centre");
  const auto preferred = requested.empty()
                           ? aSnapshot.DataCentre()
                           : data_centre_id{ std::string(requested) };
  const auto* account = Authenticate(aRequest, aSnapshot);
  const auto id = account != nullptr ? account->mId : account_id{};
  const auto list =
    membership::EntryAddresses(aSnapshot.Members(), id, preferred);
  json::array addresses;
  for (const auto& entry : list.mAddresses) {
    addresses.push_back(json::object{
      { "vm", entry.mVm.mText },
      { "data_centre", entry.mDataCentre.mText },
      { "address", entry.mAddress },
      { "port", entry.mPort },
    });
  }
  const json::object page{ { "addresses", std::move(addresses) },
                           { "ttl_s", list.mTimeToLive.count() } };
  return wire::JsonResponse(kOk, json::serialize(page));
}

asio::awaitable<wire::http_response>
TokenPage(const page_services& aServices, const wire::http_request& aRequest)
{
  const auto snapshot = aServices.mSnapshots.Load();
  const auto* account = Authenticate(aRequest, *snapshot);
  if (account == nullptr) {
    refusal refused;
    refused.mReason = snapshot->Bundle() ? refusal_reason::Unauthorized
                                         : refusal_reason::NotReady;
    refused.mDetail = "Authorization: no account has this key";
    co_return RefusalResponse(refused, NewRequestId());
  }
  const auto id = account->mId;
  const std::function<std::string()> issue = [&aServices, id] {
    return aServices.mControl.AtMostOnce().IssueToken(id);
  };
  const auto token =
    co_await RunOnControlThread(aServices.mControlContext, issue);
  const json::object page{ { "token", token } };
  co_return wire::JsonResponse(kOk, json::serialize(page));
}

asio::awaitable<wire::http_response>
StatusPage(const page_services& aServices)
{
  const std::function<std::string()> write = [&aServices] {
    return StatusJson(aServices.mControl.Board(),
                      aServices.mControl.Loads(),
                      std::chrono::steady_clock::now());
  };
  auto text = co_await RunOnControlThread(aServices.mControlContext, write);
  co_return wire::JsonResponse(kOk, std::move(text));
}

wire::http_response
TracePage(const page_services& aServices)
{
  constexpr std::size_t kMaxSpans = 500;
  const auto spans = aServices.mSpans.Recent(kMaxSpans);
  return wire::JsonResponse(
    kOk, ToOtlpJson(spans, aServices.mSnapshots.Load()->Self().mVm.mText));
}

// Returns the history of one request, or of the newest requests of a class.
wire::http_response
ExplainPage(const request_history_log& aHistories, std::string_view aQuery)
{
  const auto request = wire::QueryValue(aQuery, "request");
  if (!request.empty()) {
    const auto history = aHistories.Find({ std::string(request) });
    return history
             ? wire::JsonResponse(kOk, HistoryJson(*history))
             : PlainText(kNotFound, "this router knows no such request\n");
  }
  constexpr std::size_t kMaxHistories = 20;
  const class_id name{ std::string(wire::QueryValue(aQuery, "class")) };
  std::string list;
  for (const auto& history : aHistories.Recent(name, kMaxHistories)) {
    list += list.empty() ? "" : ",";
    list += HistoryJson(history);
  }
  return wire::JsonResponse(kOk, "{\"stories\":[" + list + "]}");
}

} // namespace

asio::awaitable<wire::http_response>
ServePage(const page_services& aServices, const wire::http_request& aRequest)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  const auto snapshot = aServices.mSnapshots.Load();
  if (path == "/healthz") {
    co_return PlainText(kOk, "ok\n");
  }
  if (path == "/readyz") {
    co_return Readiness(*snapshot);
  }
  if (path == "/metrics") {
    co_return PlainText(kOk, aServices.mMetrics.Render());
  }
  if (path == "/v1/entry") {
    co_return EntryPage(*snapshot, aRequest);
  }
  if (path == "/v1/status") {
    co_return co_await StatusPage(aServices);
  }
  if (path == "/v1/explain") {
    co_return ExplainPage(aServices.mHistories,
                          wire::SplitTarget(aRequest.mTarget).mQuery);
  }
  if (path == "/v1/traces") {
    co_return TracePage(aServices);
  }
  if (path == "/v1/tokens" && aRequest.mMethod == "POST") {
    co_return co_await TokenPage(aServices, aRequest);
  }
  refusal refused;
  refused.mDetail = "no such path: " + std::string(path);
  auto response = RefusalResponse(refused, NewRequestId());
  response.mStatus = kNotFound;
  co_return response;
}

} // namespace sapphirespar::router
