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

bool
IsStream(const wire::http_request& aRequest)
{
  return aRequest.mTarget.starts_with("/stream/") ||
         aRequest.mTarget.starts_with("/resume/");
}

// Sends a body without end, as one event or one plain answer, until the gateway
// closes the connection. Stops after longer than any route's timeout.
asio::awaitable<void>
SendWithoutEnd(asio::io_context& aContext,
               wire::http_headers aHeaders,
               wire::http_reply& aReply,
               bool aFast)
{
  constexpr std::chrono::seconds kLongest{ 10 };
  constexpr std::chrono::milliseconds kPause{ 50 };
  constexpr std::size_t kFastBytes = 32 * 1024;
  const auto end = std::chrono::steady_clock::now() + kLongest;
  const std::string piece(aFast ? kFastBytes : 1, 'x');
  bool connected =
    co_await aReply.Begin(200, std::move(aHeaders), std::string_view("data: "));
  asio::steady_timer timer(aContext);
  while (connected && std::chrono::steady_clock::now() < end) {
    connected = co_await aReply.Write(piece);
    if (!aFast) {
      timer.expires_after(kPause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
}

// Lists a stream while it is in progress.
class run_entry
{
public:
  run_entry(std::map<soak_run, bool>& aRuns, soak_run aRun)
    : mRuns(aRuns)
    , mEntry(aRuns.insert_or_assign(std::move(aRun), false).first)
  {
  }
  ~run_entry() { mRuns.erase(mEntry); }
  run_entry(const run_entry&) = delete;
  run_entry& operator=(const run_entry&) = delete;

  bool Stops() const { return mEntry->second; }

private:
  std::map<soak_run, bool>& mRuns;
  std::map<soak_run, bool>::iterator mEntry;
};

// Answers with a failure, which on streams looks like the rest of one.
asio::awaitable<void>
Fail(wire::http_headers aHeaders,
     const wire::http_request& aRequest,
     wire::http_reply& aReply,
     unsigned aCount)
{
  constexpr std::array<unsigned, 4> kStatuses{ 404, 500, 302, 409 };
  wire::http_response response;
  response.mStatus = kStatuses[aCount / 2 % kStatuses.size()];
  response.mHeaders = std::move(aHeaders);
  if (IsStream(aRequest)) {
    response.mHeaders.push_back({ "Content-Type", "text/event-stream" });
  }
  response.mBody = "id: 1000\ndata: failure\n\n";
  co_await aReply.Send(std::move(response));
}

} // namespace

asio::awaitable<void>
soak_harness::HandleUpstreamRequest(unsigned aNumber,
                                    const wire::http_request& aRequest,
                                    wire::http_reply& aReply)
{
  const std::string id(aRequest.Header("X-Request-Id"));
  auto& upstream = mUpstreams[aNumber];
  const auto state = upstream.mState;
  if (state != upstream_state::Closes && IsEngineCall(aRequest)) {
    co_await HandleEngineCall(aNumber, aRequest, aReply);
    co_return;
  }
  mChecker.RecordArrival(id, aNumber);
  wire::http_headers headers{ { "X-Request-Id", id },
                              { "X-Upstream-Signature", "made-" + id },
                              { "Upstream", std::to_string(aNumber) } };
  if (state == upstream_state::Closes) {
    co_return;
  }
  const bool turnsAway = state == upstream_state::TurnsAway;
  const bool goesOn = !aRequest.Header("Kv-From").empty();
  const bool hasNoCopy = goesOn && !TakeCopy(aNumber, aRequest, id);
  if (turnsAway || state == upstream_state::Refuses || hasNoCopy) {
    headers.push_back({ "X-Not-Executed", "1" });
    if (turnsAway) {
      headers.push_back({ "Retry-After", ToSeconds(upstream.mRetryAfter) });
      mChecker.RecordTurnedAway(id, aNumber, upstream.mRetryAfter);
    }
    wire::http_response refusal{ 503, std::move(headers), {} };
    co_await aReply.Send(std::move(refusal));
    co_return;
  }
  if (state == upstream_state::Leaving) {
    headers.push_back({ "Server-Leaving", "1" });
  }
  if (state == upstream_state::NamesRate) {
    headers.push_back({ "Server-Limit", std::to_string(upstream.mRate) });
    mChecker.RecordNamedRate(id, aNumber, upstream.mRate);
  }
  if (!goesOn) {
    mChecker.RecordRun(id, std::string(aRequest.Header("X-Tenant")));
  }
  if (state == upstream_state::Fails && ++upstream.mCount % 2 == 0) {
    co_await Fail(std::move(headers), aRequest, aReply, upstream.mCount);
    co_return;
  }
  const bool fast = state == upstream_state::EndlessBytes;
  if (fast || state == upstream_state::TrickledBytes) {
    if (IsStream(aRequest)) {
      headers.push_back({ "Content-Type", "text/event-stream" });
    }
    co_await SendWithoutEnd(mContext, std::move(headers), aReply, fast);
    co_return;
  }
  co_await RunUpstreamRequest(
    std::move(headers), aRequest, aReply, state, aNumber);
}

asio::awaitable<void>
soak_harness::RunUpstreamRequest(wire::http_headers aHeaders,
                                 const wire::http_request& aRequest,
                                 wire::http_reply& aReply,
                                 upstream_state aState,
                                 unsigned aNumber)
{
  constexpr milliseconds kEventInterval{ 25 };
  constexpr milliseconds kSlowInterval{ 400 };
  constexpr milliseconds kSilence{ 1000 };
  constexpr int kSilentAfter = 2;
  const bool silent = aState == upstream_state::Silent;
  const std::string id(aRequest.Header("X-Request-Id"));
  asio::steady_timer timer(mContext);
  if (!IsStream(aRequest)) {
    if (silent) {
      timer.expires_after(kSilence);
      co_await timer.async_wait(asio::use_awaitable);
    }
    wire::http_response response{ 200, std::move(aHeaders), {} };
    response.mBody =
      invariant_checker::ExpectedBody(id, request_kind::AtMostOnce);
    co_await aReply.Send(std::move(response));
    co_return;
  }
  aHeaders.push_back({ "Content-Type", "text/event-stream" });
  const std::string last(aRequest.Header("Last-Event-Id"));
  const int from = last.empty() ? 1 : std::stoi(last) + 1;
  const std::string resumed(aRequest.Header("Resumes"));
  const bool resumable = aRequest.mTarget.starts_with("/resume/");
  const bool slow = aState == upstream_state::Reclaimed;
  const run_entry entry(mRuns, { id, aNumber });
  bool connected = co_await aReply.Begin(200, std::move(aHeaders));
  for (int number = from; connected && number <= kStreamEvents; ++number) {
    if (entry.Stops()) {
      co_return;
    }
    if (aState == upstream_state::BreaksOff && number > kSilentAfter) {
      co_return;
    }
    auto event = ExpectedEvent(resumed.empty() ? id : resumed, number);
    if (resumable) {
      event = WithSoftware(event, SoftwareOf(aNumber));
    }
    connected = co_await aReply.Write(event);
    const auto interval = slow ? kSlowInterval : kEventInterval;
    timer.expires_after(silent && number == kSilentAfter ? kSilence : interval);
    co_await timer.async_wait(asio::use_awaitable);
  }
  if (connected) {
    co_await aReply.Finish();
  }
}

std::string
soak_harness::SoftwareOf(unsigned aNumber)
{
  return aNumber % 2 == 0 ? "v1" : "v2";
}

asio::awaitable<void>
soak_harness::ChangeUpstream(unsigned aNumber, upstream_state aState)
{
  auto& upstream = mUpstreams[aNumber];
  if (upstream.mState != upstream_state::Ready) {
    co_return;
  }
  if (aState == upstream_state::Reclaimed) {
    co_await TakeAway(aNumber);
    co_return;
  }
  upstream.mRetryAfter = milliseconds(300 + Draw(3000));
  upstream.mRate = Draw(4);
  upstream.mState = aState;
  asio::steady_timer timer(mContext, milliseconds(500 + Draw(4000)));
  co_await timer.async_wait(asio::use_awaitable);
  if (aState == upstream_state::Leaving) {
    ++upstream.mBorn;
    mChecker.ForgetUpstream(aNumber);
    co_await WriteUpstream(aNumber);
  }
  upstream.mState = upstream_state::Ready;
  mChecker.EndNamedRate(aNumber);
}

} // namespace sapphirespar::soak
