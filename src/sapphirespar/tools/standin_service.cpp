// The stand-in service: execution of calls, audit and faults.
#include "sapphirespar/tools/standin_service.hpp"

#include "standin_http.hpp"

#include <array>
#include <map>

namespace sapphirespar::tools {
namespace {

struct service_state
{
  explicit service_state(service_settings aSettings)
    : mSettings(std::move(aSettings))
  {
  }

  service_settings mSettings;
  upstream_faults mFaults;
  // Number of executions by idempotency key; never decreases.
  std::map<std::string, unsigned> mRuns;
  unsigned mRunning = 0;
};

wire::http_response
AuditReport(const service_state& aState)
{
  json::object runs;
  for (const auto& [key, count] : aState.mRuns) {
    runs[key] = count;
  }
  json::object body;
  body["runs"] = std::move(runs);
  return JsonResponse(200, body);
}

wire::http_response
LoadReport(const service_state& aState)
{
  json::object body;
  body["running"] = aState.mRunning;
  body["queued"] = 0;
  return JsonResponse(200, body);
}

// Counts and executes one call, then responds unless a fault drops the
// response.
asio::awaitable<void>
RunCall(service_state& aState,
        const wire::http_request& aRequest,
        wire::http_reply& aReply)
{
  if (!co_await WaitWhileFrozen(aState.mFaults, aReply)) {
    co_return;
  }
  ++aState.mRunning;
  const std::string key(aRequest.Header("Idempotency-Key"));
  const unsigned runs = ++aState.mRuns[key];
  const double work =
    static_cast<double>(aState.mSettings.mCallDuration.count()) *
    aState.mFaults.mSlowFactor;
  co_await Sleep(std::chrono::microseconds(static_cast<long>(work)));
  --aState.mRunning;
  if (aState.mFaults.mCrash) {
    co_return;
  }
  if (aState.mFaults.mResponsesToDrop > 0) {
    --aState.mFaults.mResponsesToDrop;
    co_return;
  }
  json::object body;
  body["service"] = aState.mSettings.mName;
  body["key"] = key;
  body["runs"] = runs;
  co_await aReply.Send(JsonResponse(200, body));
}

asio::awaitable<void>
Handle(service_state& aState,
       const wire::http_request& aRequest,
       wire::http_reply& aReply)
{
  const auto path = wire::SplitTarget(aRequest.mTarget).mPath;
  if (path == "/faults") {
    co_await aReply.Send(ServeFaults(aState.mFaults, aRequest));
  } else if (path == "/audit") {
    co_await aReply.Send(AuditReport(aState));
  } else if (aState.mFaults.mCrash) {
    co_return;
  } else if (aRequest.mMethod == "POST") {
    co_await RunCall(aState, aRequest, aReply);
  } else if (path == "/v1/load") {
    co_await aReply.Send(LoadReport(aState));
  } else {
    co_await aReply.Send(ErrorResponse(404, "no such page"));
  }
}

} // namespace

standin_service::standin_service(asio::io_context& aContext,
                                 service_settings aSettings)
{
  const auto address = aSettings.mAddress;
  const auto port = aSettings.mPort;
  auto state = std::make_shared<service_state>(std::move(aSettings));
  mServer = StartServer(
    aContext,
    address,
    port,
    [state](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return Handle(*state, aRequest, aReply);
    });
}

standin_service::~standin_service() = default;

std::uint16_t
standin_service::Port() const
{
  return mServer->Port();
}

} // namespace sapphirespar::tools
