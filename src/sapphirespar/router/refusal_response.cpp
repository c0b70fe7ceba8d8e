// Formats refusals as JSON error responses.
#include "sapphirespar/router/refusal_response.hpp"

#include <boost/json.hpp>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;

} // namespace

std::string
RefusalJson(const refusal& aRefusal, const request_id& aId)
{
  json::object error{
    { "code", ToText(aRefusal.mReason) },
    { "message", aRefusal.mDetail },
    { "outcome", ToText(aRefusal.mOutcome) },
    { "request_id", aId.mText },
  };
  if (aRefusal.mRetryAfter.count() > 0) {
    error["retry_after_ms"] = aRefusal.mRetryAfter.count();
  }
  return json::serialize(json::object{ { "error", std::move(error) } });
}

wire::http_response
RefusalResponse(const refusal& aRefusal, const request_id& aId)
{
  auto response = wire::JsonResponse(HttpStatusOf(aRefusal.mReason),
                                     RefusalJson(aRefusal, aId));
  response.mHeaders.push_back({ "X-Request-Id", aId.mText });
  response.mHeaders.push_back(
    { "X-Outcome", std::string(ToText(aRefusal.mOutcome)) });
  if (aRefusal.mRetryAfter.count() > 0) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(aRefusal.mRetryAfter);
    response.mHeaders.push_back(
      { "Retry-After", std::to_string(seconds.count()) });
  }
  return response;
}

wire::http_response
MalformedRequestResponse(unsigned aStatus, std::string_view aReason)
{
  refusal refused;
  refused.mReason = refusal_reason::BadRequest;
  refused.mDetail = aReason;
  auto response = RefusalResponse(refused, NewRequestId());
  response.mStatus = aStatus;
  return response;
}

} // namespace sapphirespar::router
