// One exchange with another gateway on behalf of a caller.
#include "peer_relay.hpp"

#include "attempt_ending.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

std::string_view
ToText(relay_end aEnd)
{
  switch (aEnd) {
    case relay_end::Relayed:
      return "relayed";
    case relay_end::CallerDisconnected:
      return "caller_gone";
    case relay_end::NotRun:
      return "not_run";
    case relay_end::Broken:
      break;
  }
  return "broken";
}

class peer_exchange
{
public:
  peer_exchange(const forward_services& aServices,
                const forwarded_request& aForwarded,
                wire::http_reply& aReply,
                relay_progress& aProgress)
    : mServices(aServices)
    , mForwarded(aForwarded)
    , mReply(aReply)
    , mProgress(aProgress)
    , mMemory(std::make_shared<memory_claim>(aServices.mAnswerMemory))
  {
  }

  asio::awaitable<relay_result> Run(wire::endpoint aHelper,
                                    wire::call_abort_ptr aAbort)
  {
    auto opened =
      co_await mServices.mClient.Open(std::move(aHelper),
                                      MakeRequest(),
                                      Left(),
                                      wire::connection_choice::Pooled,
                                      std::move(aAbort));
    if (!opened) {
      mDetail = opened.error().mDetail;
      co_return End(opened.error().mBytesWritten ? relay_end::Broken
                                                 : relay_end::NotRun);
    }
    mStream = std::move(opened).value();
    mResult.mStatus = mStream->Head().mStatus;
    const auto answered =
      mServices.mProtocol.mReadAnswer(mResult.mStatus, mStream->Head().mHeaders)
        .mRequestId;
    if (!answered.empty() && answered != mForwarded.mInfo.mId) {
      mDetail = "answer to another request";
      co_return End(relay_end::Broken);
    }
    if (IsSuccess(mResult.mStatus) && IsEventStream(mStream->Head())) {
      co_return co_await RelayStream();
    }
    co_return co_await RelayPlainAnswer();
  }

  const std::string& Detail() const { return mDetail; }

private:
  milliseconds Left() const { return LeftUntil(mForwarded.mDeadline); }

  wire::http_request MakeRequest() const
  {
    const auto& request = mForwarded.mRequest;
    const auto deadline =
      LeftUntil(std::min(mForwarded.mDeadline, mForwarded.mCallerDeadline));
    wire::http_request relayed;
    relayed.mMethod = request.mMethod;
    relayed.mTarget = request.mTarget;
    relayed.mHeaders =
      mServices.mProtocol.mRelayHeaders(request.mHeaders, deadline);
    relayed.mBody = request.mBody;
    return relayed;
  }

  asio::awaitable<relay_result> RelayPlainAnswer()
  {
    wire::http_response response;
    response.mStatus = mResult.mStatus;
    response.mHeaders =
      mServices.mProtocol.mAnswerHeaders(mStream->Head().mHeaders);
    while (true) {
      auto piece = co_await mStream->Read(Left());
      if (!piece) {
        co_return Lost(piece.error());
      }
      if (piece.value().empty()) {
        break;
      }
      response.mBody += piece.value();
      if (!mMemory->Resize(response.mBody.size())) {
        mDetail = "memory for answers";
        co_return End(relay_end::Broken);
      }
    }
    if (PromisesNotRun(mResult.mStatus)) {
      mResult.mRefusal = std::move(response);
      co_return End(relay_end::NotRun);
    }
    mProgress.mFirstSent = steady_clock::now();
    const bool sent = co_await mReply.Send(std::move(response));
    co_return End(sent ? relay_end::Relayed : relay_end::CallerDisconnected);
  }

  // The other gateway sends whole events only.
  asio::awaitable<relay_result> RelayStream()
  {
    while (true) {
      auto piece = co_await mStream->Read(Left());
      if (!piece) {
        co_return Lost(piece.error());
      }
      const bool finished = mStream->Finished();
      if (!co_await SendPiece(piece.value(), finished)) {
        co_return End(relay_end::CallerDisconnected);
      }
      if (finished) {
        co_return End(relay_end::Relayed);
      }
    }
  }

  asio::awaitable<bool> SendPiece(const std::string& aPiece, bool aLast)
  {
    if (!mProgress.mBegun) {
      mProgress.mBegun = true;
      mProgress.mFirstSent = steady_clock::now();
      auto headers =
        mServices.mProtocol.mAnswerHeaders(mStream->Head().mHeaders);
      const bool begun =
        co_await mReply.Begin(mResult.mStatus, std::move(headers), aPiece);
      if (!begun || !aLast) {
        co_return begun;
      }
      co_return co_await mReply.Finish();
    }
    if (aLast) {
      co_return co_await mReply.Finish(aPiece);
    }
    co_return co_await mReply.Write(aPiece);
  }

  relay_result Lost(const wire::wire_error& aError)
  {
    mDetail = aError.mDetail;
    return End(relay_end::Broken);
  }

  relay_result End(relay_end aEnd)
  {
    mResult.mEnd = mProgress.mCallerGone ? relay_end::CallerDisconnected : aEnd;
    return std::move(mResult);
  }

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  wire::http_reply& mReply;
  relay_progress& mProgress;
  std::shared_ptr<memory_claim> mMemory;
  wire::http_stream_ptr mStream;
  relay_result mResult;
  std::string mDetail;
};

asio::awaitable<relay_result>
RelayThrough(const forward_services& aServices,
             const forwarded_request& aForwarded,
             const entry_point& aHelper,
             wire::http_reply& aReply,
             relay_progress& aProgress,
             wire::call_abort_ptr aAbort)
{
  const auto start = steady_clock::now();
  peer_exchange exchange(aServices, aForwarded, aReply, aProgress);
  wire::endpoint helper;
  helper.mAddress = aHelper.mAddress;
  helper.mPort = aHelper.mPort;
  auto result = co_await exchange.Run(std::move(helper), std::move(aAbort));
  const auto took = steady_clock::now() - start;
  LogEvent(
    log_level::Info,
    "relayed_to_gateway",
    { { "request", aForwarded.mInfo.mId },
      { "gateway", aHelper.mAddress },
      { "end", ToText(result.mEnd) },
      { "status", result.mStatus },
      { "took_ms", std::chrono::duration_cast<milliseconds>(took).count() },
      { "left_ms", LeftUntil(aForwarded.mDeadline).count() },
      { "detail", exchange.Detail() } });
  aServices.mMetrics.Count("gateway_relays_total",
                           { { "end", ToText(result.mEnd) } });
  co_return result;
}

} // namespace

asio::awaitable<void>
WaitForProbes(const forward_services& aServices,
              const forwarded_request& aForwarded,
              const relay_progress& aProgress)
{
  constexpr milliseconds kCheck{ 10 };
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (aServices.mReach.IsProbing() && !aProgress.mCallerGone &&
         LeftUntil(aForwarded.mDeadline) > kCheck) {
    timer.expires_after(kCheck);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

asio::awaitable<relay_result>
RelayToGateway(const forward_services& aServices,
               const forwarded_request& aForwarded,
               wire::http_reply& aReply,
               relay_progress& aProgress,
               wire::call_abort_ptr aAbort)
{
  constexpr std::size_t kMaximumHelpers = 3;
  auto helpers = aServices.mHelpers();
  relay_result result;
  for (std::size_t count = 0; count < kMaximumHelpers && !helpers.empty();
       ++count) {
    const auto drawn = aServices.mDraw() * static_cast<double>(helpers.size());
    const auto index =
      std::min(static_cast<std::size_t>(drawn), helpers.size() - 1);
    const auto helper = helpers[index];
    helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(index));
    auto latest = co_await RelayThrough(
      aServices, aForwarded, helper, aReply, aProgress, aAbort);
    // A refusal tells the caller more than a gateway that could not be reached.
    if (latest.mEnd != relay_end::NotRun || latest.mRefusal ||
        !result.mRefusal) {
      result = std::move(latest);
    }
    const bool over = LeftUntil(aForwarded.mDeadline) <= kTimerTolerance;
    if (result.mEnd != relay_end::NotRun || over) {
      break;
    }
  }
  co_return result;
}

} // namespace sapphirespar::gateway
