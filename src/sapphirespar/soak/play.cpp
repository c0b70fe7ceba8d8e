// The callers and the faults of a soak.
#include "sapphirespar/soak/world.hpp"

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

struct kind_path
{
  request_kind mKind;
  std::string_view mPath;
};

// Some of them are taken away while the soak plays.
constexpr unsigned kKeysOfCallers = 3;

constexpr std::array<kind_path, 4> kKinds{ {
  { request_kind::Once, "/once/" },
  { request_kind::Safe, "/safe/" },
  { request_kind::Stream, "/stream/" },
  { request_kind::Resumable, "/resume/" },
} };

} // namespace

asio::awaitable<void>
world::PlayCaller(unsigned aNumber)
{
  // Keeps its connections open for as long as the gateways do.
  wire::http_client client(mContext.get_executor(),
                           wire::http_client_settings{});
  for (unsigned count = 0; !Over(); ++count) {
    co_await Ask(client,
                 std::to_string(mOptions.mSeed) + "-" +
                   std::to_string(aNumber) + "-" + std::to_string(count));
    co_await Sleep(milliseconds(5 + Draw(40)));
  }
}

asio::awaitable<void>
world::Ask(wire::http_client& aClient, std::string aId)
{
  constexpr milliseconds kPatience{ 4500 };
  constexpr std::uint16_t kCallerPort = 18080;
  const auto& kind = kKinds[Draw(kKinds.size())];
  const auto key = "k" + std::to_string(Draw(kKeysOfCallers));
  wire::endpoint place;
  place.mAddress = mGateways[Draw(mOptions.mGateways)]->mAddress;
  place.mPort = kCallerPort;
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = std::string(kind.mPath) + "x";
  request.mBody = "body of " + aId;
  request.mHeaders = { { "Host", "soak" },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms", "4000" },
                       { "Authorization", "Bearer " + key } };
  mJudge.Sent(aId, kind.mKind, key);
  auto answer = co_await aClient.Fetch(place, std::move(request), kPatience);
  const bool got = answer.has_value();
  mJudge.Answered(aId,
                  got ? answer.value().mStatus : 0,
                  got ? answer.value().mBody : std::string{});
}

asio::awaitable<void>
world::PlayFaults()
{
  while (!Over()) {
    ++mJudge.Totals().mFaults;
    // Faults overlap: each goes on by itself.
    asio::co_spawn(mContext, OneFault(), asio::detached);
    co_await Sleep(milliseconds(100 + Draw(900)));
  }
}

asio::awaitable<void>
world::StopAndRestart(gateway_process& aGateway, int aSignal)
{
  constexpr milliseconds kLook{ 20 };
  constexpr milliseconds kDown{ 150 };
  const auto pid = aGateway.mPid;
  if (pid == 0 || aGateway.mStopped) {
    co_return;
  }
  aGateway.mStopped = true;
  Signal(aGateway, aSignal);
  while (aGateway.mPid == pid && ::waitpid(pid, nullptr, WNOHANG) == 0) {
    co_await Sleep(kLook);
  }
  aGateway.mPid = 0;
  co_await Sleep(kDown);
  StartGateway(aGateway);
  aGateway.mStopped = false;
}

asio::awaitable<void>
world::Pause(gateway_process& aGateway)
{
  if (aGateway.mPid == 0 || aGateway.mStopped) {
    co_return;
  }
  aGateway.mStopped = true;
  Signal(aGateway, SIGSTOP);
  co_await Sleep(milliseconds(100 + Draw(3000)));
  Signal(aGateway, SIGCONT);
  aGateway.mStopped = false;
}

asio::awaitable<void>
world::OneFault()
{
  constexpr std::array<link_fault, 5> kLinkFaults{
    link_fault::Delay,       link_fault::Reset,   link_fault::LoseRequests,
    link_fault::LoseAnswers, link_fault::Silence,
  };
  constexpr std::array<std::string_view, 4> kStoreFaults{
    R"({"outage":true})",
    R"({"throttle":true})",
    R"({"delay_ms":400})",
    R"({"lose_answers":3})",
  };
  auto& gateway = *mGateways[Draw(mOptions.mGateways)];
  const auto fault = kLinkFaults[Draw(kLinkFaults.size())];
  const milliseconds length(200 + Draw(2500));
  switch (Draw(8)) {
    case 0:
      co_await StopAndRestart(gateway, SIGKILL);
      break;
    case 1:
      co_await StopAndRestart(gateway, SIGTERM);
      break;
    case 2:
      co_await Pause(gateway);
      break;
    case 3:
      Signal(gateway, SIGHUP);
      break;
    case 4:
      gateway.mStorePath->SetFault(fault);
      co_await Sleep(length);
      gateway.mStorePath->SetFault(link_fault::None);
      break;
    case 5:
    case 6: {
      auto& upstream = mUpstreams[Draw(mOptions.mUpstreams)];
      upstream.mPath->SetFault(fault);
      co_await Sleep(length);
      upstream.mPath->SetFault(link_fault::None);
      break;
    }
    default: {
      std::string method = "PUT";
      std::string target = "/faults";
      std::string begin(kStoreFaults[Draw(kStoreFaults.size())]);
      co_await CallStore(method, target, begin);
      co_await Sleep(length);
      std::string end =
        R"({"outage":false,"throttle":false,"delay_ms":0,"lose_answers":0})";
      co_await CallStore(method, target, end);
      if (mKeys.size() > 1 && mJudge.Totals().mFaults % 3 == 0) {
        const auto key = mKeys.back();
        mKeys.pop_back();
        co_await WriteRouting(2 + mJudge.Totals().mFaults);
        mJudge.Revoked(key);
      }
    }
  }
}

} // namespace sapphirespar::soak
