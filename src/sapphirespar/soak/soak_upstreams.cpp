// The upstreams of a soak: what they answer, and what they say of themselves.
#include "sapphirespar/soak/soak_harness.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <cstdio>

namespace sapphirespar::soak {
namespace {

std::string
ToSeconds(std::chrono::milliseconds aTime)
{
  constexpr double kMsPerSecond = 1000;
  std::array<char, 32> text{};
  std::snprintf(text.data(),
                text.size(),
                "%.3f",
                static_cast<double>(aTime.count()) / kMsPerSecond);
  return text.data();
}

} // namespace

asio::awaitable<void>
soak_harness::HandleUpstreamRequest(unsigned aNumber,
                                    const wire::http_request& aRequest,
                                    wire::http_reply& aReply)
{
  const std::string id(aRequest.Header("X-Request-Id"));
  const auto& upstream = mUpstreams[aNumber];
  mChecker.RecordArrival(id, aNumber);
  wire::http_headers headers{ { "X-Request-Id", id },
                              { "X-Upstream-Signature", "made-" + id },
                              { "Upstream", std::to_string(aNumber) } };
  const bool turnsAway = upstream.mState == upstream_state::TurnsAway;
  if (turnsAway || upstream.mState == upstream_state::Refuses) {
    headers.push_back({ "X-Not-Executed", "1" });
    if (turnsAway) {
      headers.push_back({ "Retry-After", ToSeconds(upstream.mRetryAfter) });
      mChecker.RecordTurnedAway(id, aNumber, upstream.mRetryAfter);
    }
    wire::http_response refusal{ 503, std::move(headers), {} };
    co_await aReply.Send(std::move(refusal));
    co_return;
  }
  if (upstream.mState == upstream_state::Leaving) {
    headers.push_back({ "Server-Leaving", "1" });
  }
  mChecker.RecordRun(id, std::string(aRequest.Header("X-Tenant")));
  co_await RunUpstreamRequest(std::move(headers), aRequest, aReply);
}

asio::awaitable<void>
soak_harness::RunUpstreamRequest(wire::http_headers aHeaders,
                                 const wire::http_request& aRequest,
                                 wire::http_reply& aReply)
{
  constexpr milliseconds kEventInterval{ 25 };
  const std::string id(aRequest.Header("X-Request-Id"));
  const bool stream = aRequest.mTarget.starts_with("/stream/") ||
                      aRequest.mTarget.starts_with("/resume/");
  if (!stream) {
    wire::http_response response{ 200, std::move(aHeaders), {} };
    response.mBody =
      invariant_checker::ExpectedBody(id, request_kind::AtMostOnce);
    co_await aReply.Send(std::move(response));
    co_return;
  }
  aHeaders.push_back({ "Content-Type", "text/event-stream" });
  const std::string last(aRequest.Header("Last-Event-Id"));
  const int from = last.empty() ? 1 : std::stoi(last) + 1;
  bool connected = co_await aReply.Begin(200, std::move(aHeaders));
  asio::steady_timer timer(mContext);
  for (int number = from; connected && number <= kStreamEvents; ++number) {
    const auto event = ExpectedEvent(id, number);
    connected = co_await aReply.Write(event);
    timer.expires_after(kEventInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (connected) {
    co_await aReply.Finish();
  }
}

asio::awaitable<void>
soak_harness::ChangeUpstream(unsigned aNumber, upstream_state aState)
{
  auto& upstream = mUpstreams[aNumber];
  if (upstream.mState != upstream_state::Ready) {
    co_return;
  }
  upstream.mRetryAfter = milliseconds(300 + Draw(3000));
  upstream.mState = aState;
  asio::steady_timer timer(mContext, milliseconds(500 + Draw(4000)));
  co_await timer.async_wait(asio::use_awaitable);
  if (aState == upstream_state::Leaving) {
    ++upstream.mBorn;
    mChecker.ForgetUpstream(aNumber);
    co_await WriteUpstream(aNumber);
  }
  upstream.mState = upstream_state::Ready;
}

} // namespace sapphirespar::soak
