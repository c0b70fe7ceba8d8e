// Responses for the gateway's own pages.
#include "pages.hpp"

#include <boost/json.hpp>

namespace sapphirespar::gateway {

wire::http_response
TextResponse(unsigned aStatus, std::string aBody)
{
  return { aStatus, { { "Content-Type", "text/plain" } }, std::move(aBody) };
}

wire::http_response
ReadinessPage(bool aReady)
{
  return aReady ? TextResponse(200, "ready\n")
                : TextResponse(503, "not ready\n");
}

wire::http_response
EntryPage(const protocol& aProtocol,
          std::vector<entry_point> aPoints,
          std::chrono::milliseconds aTimeToLive)
{
  constexpr std::size_t kMaximumEntries = 64;
  if (aPoints.empty()) {
    return TextResponse(503, "no gateway takes requests\n");
  }
  if (aPoints.size() > kMaximumEntries) {
    aPoints.resize(kMaximumEntries);
  }
  return wire::JsonResponse(200, aProtocol.mEntryBody(aPoints, aTimeToLive));
}

wire::http_response
StatusPage(const gateway_status& aStatus)
{
  boost::json::object body;
  body["ready"] = aStatus.mReady;
  body["leaving"] = aStatus.mLeaving;
  body["routing_version"] = aStatus.mRouting;
  body["routing_age_ms"] = aStatus.mRoutingAge
                             ? boost::json::value(aStatus.mRoutingAge->count())
                             : boost::json::value(nullptr);
  body["upstreams"] = aStatus.mUpstreams;
  body["gateways"] = aStatus.mGateways;
  body["unreadable_entries"] = boost::json::array(
    aStatus.mUnreadableEntries.begin(), aStatus.mUnreadableEntries.end());
  return wire::JsonResponse(200, boost::json::serialize(body));
}

} // namespace sapphirespar::gateway
