// Collects the counts of executed requests from the upstreams.
#include "load_call.hpp"

#include "standin_http.hpp"

namespace sapphirespar::tools {

asio::awaitable<upstream_audit>
AuditUpstreams(const call_context& aContext)
{
  constexpr std::chrono::milliseconds kAuditTimeout{ 10000 };
  upstream_audit audit;
  auto endpoints = aContext.mTargets.mServices;
  endpoints.insert(endpoints.end(),
                   aContext.mTargets.mEngines.begin(),
                   aContext.mTargets.mEngines.end());
  for (const auto& endpoint : endpoints) {
    wire::http_request request;
    request.mTarget = "/audit";
    const auto response = co_await aContext.mClient.Fetch(
      endpoint, std::move(request), kAuditTimeout);
    const auto body =
      response ? ParseObject(response.value().mBody) : std::nullopt;
    if (!body) {
      ++audit.mUnreachable;
      continue;
    }
    const auto add = [&](std::string_view aKey,
                         std::map<std::string, unsigned>& aCounts) {
      const auto* counts = body->if_contains(aKey);
      if (counts == nullptr || !counts->is_object()) {
        return;
      }
      for (const auto& [key, count] : counts->as_object()) {
        aCounts[key] += count.to_number<unsigned>();
      }
    };
    add("runs", audit.mRuns);
    add("starts", audit.mReceived);
    audit.mTokensGenerated +=
      static_cast<std::uint64_t>(NumberOr(*body, "tokens", 0));
  }
  co_return audit;
}

} // namespace sapphirespar::tools
