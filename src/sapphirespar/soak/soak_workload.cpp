// The callers of a soak and the faults that it injects.
#include "sapphirespar/soak/soak_harness.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <sys/wait.h>

#include <array>
#include <csignal>

namespace sapphirespar::soak {
namespace {

asio::awaitable<void>
Sleep(std::chrono::milliseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(asio::use_awaitable);
}

struct route_kind
{
  request_kind mKind;
  std::string_view mPath;
};

// Number of keys that callers use. Some are removed while the soak runs.
constexpr unsigned kCallerKeys = 3;

constexpr std::array<route_kind, 4> kRoutes{ {
  { request_kind::AtMostOnce, "/once/" },
  { request_kind::Idempotent, "/safe/" },
  { request_kind::Stream, "/stream/" },
  { request_kind::ResumableStream, "/resume/" },
} };

} // namespace

asio::awaitable<void>
soak_harness::RunCaller(unsigned aNumber)
{
  // The client reuses its connections until the gateways close them.
  wire::http_client client(mContext.get_executor(),
                           wire::http_client_settings{});
  for (unsigned count = 0; !IsOver(); ++count) {
    co_await SendRequest(client,
                         std::to_string(mOptions.mSeed) + "-" +
                           std::to_string(aNumber) + "-" +
                           std::to_string(count));
    co_await Sleep(milliseconds(5 + Draw(40)));
  }
}

asio::awaitable<void>
soak_harness::SendRequest(wire::http_client& aClient, std::string aId)
{
  constexpr milliseconds kCallerTimeout{ 4500 };
  constexpr std::uint16_t kCallerPort = 18080;
  const auto& route = kRoutes[Draw(kRoutes.size())];
  const auto key = "k" + std::to_string(Draw(kCallerKeys));
  wire::endpoint endpoint;
  const auto gateway = Draw(mOptions.mGateways);
  endpoint.mAddress = mGateways[gateway]->mAddress;
  endpoint.mPort = kCallerPort;
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = std::string(route.mPath) + "x";
  request.mBody = "body of " + aId;
  request.mHeaders = { { "Host", "soak" },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms", "4000" },
                       { "Authorization", "Bearer " + key } };
  mChecker.RecordSent(aId, route.mKind, key, gateway);
  if (route.mKind == request_kind::ResumableStream) {
    co_await ReadStream(aClient, std::move(request), gateway);
    co_return;
  }
  auto response =
    co_await aClient.Fetch(endpoint, std::move(request), kCallerTimeout);
  const bool received = response.has_value();
  if (received && response.value().Header("Server-Leaving") == "1") {
    const std::string upstream(response.value().Header("Upstream"));
    mChecker.RecordLeaving(static_cast<unsigned>(std::stoul(upstream)),
                           gateway);
  }
  mChecker.RecordResponse(aId,
                          received ? response.value().mStatus : 0,
                          received ? response.value().mBody : std::string{});
}

asio::awaitable<void>
soak_harness::ReadStream(wire::http_client& aClient,
                         wire::http_request aRequest,
                         unsigned aGateway)
{
  constexpr int kTries = 4;
  constexpr milliseconds kPause{ 30 };
  const std::string id(aRequest.Header("X-Request-Id"));
  const std::string key = mChecker.KeyOf(id);
  std::string held;
  std::string tryId = id;
  for (int count = 1; count <= kTries; ++count) {
    auto request = aRequest;
    const auto before = held.size();
    if (before > 0) {
      tryId = id + "+" + std::to_string(count);
      const auto events = invariant_checker::WithoutSoftware(held).first;
      const auto at = events.rfind("id: ") + 4;
      auto last = events.substr(at, events.find('\n', at) - at);
      for (auto& header : request.mHeaders) {
        if (header.mName == "X-Request-Id") {
          header.mValue = tryId;
        }
      }
      request.mHeaders.push_back({ "Last-Event-Id", std::move(last) });
      request.mHeaders.push_back({ "Resumes", id });
      aGateway = Draw(mOptions.mGateways);
      mChecker.RecordSent(tryId, request_kind::ResumableStream, key, aGateway);
      ++mChecker.Totals().mTakenUp;
    }
    const auto status =
      co_await ReadPart(aClient, std::move(request), aGateway, held);
    const bool complete = status == 200;
    mChecker.RecordPart(tryId, status);
    mChecker.RecordStream(id, held, complete);
    mChecker.Totals().mWentOn += before > 0 && held.size() > before ? 1 : 0;
    if (complete || held.empty()) {
      co_return;
    }
    co_await Sleep(kPause);
  }
}

asio::awaitable<unsigned>
soak_harness::ReadPart(wire::http_client& aClient,
                       wire::http_request aRequest,
                       unsigned aGateway,
                       std::string& aHeld)
{
  constexpr milliseconds kCallerTimeout{ 4500 };
  constexpr std::uint16_t kCallerPort = 18080;
  wire::endpoint endpoint;
  endpoint.mAddress = mGateways[aGateway]->mAddress;
  endpoint.mPort = kCallerPort;
  const auto opened = co_await aClient.Open(
    std::move(endpoint), std::move(aRequest), kCallerTimeout);
  if (!opened) {
    co_return 0;
  }
  auto& stream = *opened.value();
  if (stream.Head().mStatus != 200) {
    co_return stream.Head().mStatus;
  }
  std::string received;
  while (!stream.Finished()) {
    const auto piece = co_await stream.Read(kCallerTimeout);
    if (!piece) {
      break;
    }
    received += piece.value();
  }
  // What follows the last whole event is not kept.
  const auto end = received.rfind("\n\n");
  aHeld += end == std::string::npos ? "" : received.substr(0, end + 2);
  co_return stream.Finished() ? 200 : 0;
}

asio::awaitable<void>
soak_harness::InjectFaults()
{
  while (!IsOver()) {
    ++mChecker.Totals().mFaults;
    // Faults may overlap, so each runs in a coroutine of its own.
    asio::co_spawn(mContext, InjectFault(), asio::detached);
    co_await Sleep(milliseconds(100 + Draw(900)));
  }
}

asio::awaitable<void>
soak_harness::StopAndRestart(gateway_process& aGateway, int aSignal)
{
  constexpr milliseconds kExitPollInterval{ 20 };
  constexpr milliseconds kRestartDelay{ 150 };
  const auto pid = aGateway.mPid;
  if (pid == 0 || aGateway.mFaultActive) {
    co_return;
  }
  aGateway.mFaultActive = true;
  Signal(aGateway, aSignal);
  while (aGateway.mPid == pid && ::waitpid(pid, nullptr, WNOHANG) == 0) {
    co_await Sleep(kExitPollInterval);
  }
  aGateway.mPid = 0;
  co_await Sleep(kRestartDelay);
  StartGateway(aGateway);
  aGateway.mFaultActive = false;
}

asio::awaitable<void>
soak_harness::Restart(unsigned aGateway, int aSignal)
{
  mChecker.BeginGatewayExcuse(aGateway);
  co_await StopAndRestart(*mGateways[aGateway], aSignal);
  mChecker.EndGatewayExcuse(aGateway);
}

void
soak_harness::KillAll()
{
  for (unsigned number = 0; number < mOptions.mGateways; ++number) {
    asio::co_spawn(mContext, Restart(number, SIGKILL), asio::detached);
  }
}

asio::awaitable<void>
soak_harness::Pause(gateway_process& aGateway)
{
  if (aGateway.mPid == 0 || aGateway.mFaultActive) {
    co_return;
  }
  aGateway.mFaultActive = true;
  Signal(aGateway, SIGSTOP);
  co_await Sleep(milliseconds(100 + Draw(3000)));
  Signal(aGateway, SIGCONT);
  aGateway.mFaultActive = false;
}

asio::awaitable<void>
soak_harness::InjectFault()
{
  constexpr std::array<link_fault, 5> kLinkFaults{
    link_fault::Delay,         link_fault::Reset, link_fault::DropRequests,
    link_fault::DropResponses, link_fault::Stall,
  };
  constexpr std::array kStates{
    upstream_state::Leaving,       upstream_state::TurnsAway,
    upstream_state::Refuses,       upstream_state::EndlessBytes,
    upstream_state::TrickledBytes, upstream_state::Silent,
    upstream_state::Closes,        upstream_state::NamesRate,
    upstream_state::BreaksOff,     upstream_state::Fails,
  };
  const auto gatewayNumber = Draw(mOptions.mGateways);
  const auto upstreamNumber = Draw(mOptions.mUpstreams);
  auto& gateway = *mGateways[gatewayNumber];
  const auto fault = kLinkFaults[Draw(kLinkFaults.size())];
  const milliseconds duration(200 + Draw(2500));
  switch (Draw(15)) {
    case 0:
      co_await Restart(gatewayNumber, SIGKILL);
      break;
    case 1:
      co_await Restart(gatewayNumber, SIGTERM);
      break;
    case 2:
      mChecker.BeginGatewayExcuse(gatewayNumber);
      co_await Pause(gateway);
      mChecker.EndGatewayExcuse(gatewayNumber);
      break;
    case 12:
      co_await SilenceDuties();
      break;
    case 13:
    case 14:
      co_await ChangeUpstream(upstreamNumber, upstream_state::Reclaimed);
      break;
    case 3:
      Signal(gateway, SIGHUP);
      break;
    case 4:
      gateway.mStorePath->SetFault(fault);
      co_await Sleep(duration);
      gateway.mStorePath->SetFault(link_fault::None);
      break;
    case 5:
    case 6: {
      auto& upstream = mUpstreams[upstreamNumber];
      mChecker.BeginUpstreamExcuse(upstreamNumber);
      upstream.mPath->SetFault(fault);
      co_await Sleep(duration);
      upstream.mPath->SetFault(link_fault::None);
      mChecker.EndUpstreamExcuse(upstreamNumber);
      break;
    }
    case 7:
    case 8:
      co_await ChangeUpstream(upstreamNumber, kStates[Draw(kStates.size())]);
      break;
    case 9:
      co_await RestoreStore();
      break;
    case 10:
      KillAll();
      break;
    default:
      co_await DisturbStore();
  }
}

} // namespace sapphirespar::soak
