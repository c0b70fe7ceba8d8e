// Upstreams of a soak that are taken away, and the runs that move off them.
#include "sapphirespar/soak/soak_harness.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace sapphirespar::soak {
namespace {

namespace json = boost::json;

asio::awaitable<void>
Send(wire::http_reply& aReply, unsigned aStatus, std::string aBody)
{
  auto response = wire::JsonResponse(aStatus, std::move(aBody));
  co_await aReply.Send(std::move(response));
}

} // namespace

bool
soak_harness::IsEngineCall(const wire::http_request& aRequest)
{
  return aRequest.mTarget == "/report" || aRequest.mTarget == "/kv-move" ||
         aRequest.mTarget.starts_with("/kv-handle/");
}

asio::awaitable<void>
soak_harness::HandleEngineCall(unsigned aNumber,
                               const wire::http_request& aRequest,
                               wire::http_reply& aReply)
{
  const auto& upstream = mUpstreams[aNumber];
  if (aRequest.mTarget == "/kv-move") {
    co_await MoveRun(aNumber, aRequest, aReply);
    co_return;
  }
  json::object state;
  if (aRequest.mTarget == "/report") {
    const auto left = std::chrono::duration_cast<milliseconds>(
      upstream.mTakenAt - std::chrono::steady_clock::now());
    state["born"] = upstream.mBorn;
    state["leaves_ms"] = std::max<std::int64_t>(left.count(), 0);
  }
  auto text = json::serialize(state);
  co_await Send(aReply, 200, std::move(text));
}

asio::awaitable<void>
soak_harness::MoveRun(unsigned aNumber,
                      const wire::http_request& aRequest,
                      wire::http_reply& aReply)
{
  constexpr unsigned kLostReplies = 6;
  const auto call = json::parse(aRequest.mBody);
  const std::string id(call.at("id").as_string());
  const std::string address(call.at("to").as_string());
  const auto target =
    std::ranges::find_if(mUpstreams, [&](const soak_upstream& aUpstream) {
      return address == "127.0.0.1:" + std::to_string(aUpstream.mPath->Port());
    });
  const auto run = mRuns.find({ id, aNumber });
  if (run == mRuns.end()) {
    co_await Send(aReply, 404, std::string());
    co_return;
  }
  const bool stops = call.at("final").as_bool();
  run->second = run->second || stops;
  if (target == mUpstreams.end() || target->mState != upstream_state::Ready) {
    co_await Send(aReply, 503, std::string());
    co_return;
  }
  const auto handle = "copy-" + id;
  mCopies[handle] = { static_cast<unsigned>(target - mUpstreams.begin()),
                      stops };
  json::object reply;
  reply["handle"] = handle;
  auto text = json::serialize(reply);
  if (Draw(kLostReplies) != 0) {
    co_await Send(aReply, 200, std::move(text));
  }
}

bool
soak_harness::TakeCopy(unsigned aNumber,
                       const wire::http_request& aRequest,
                       const std::string& aId)
{
  const auto copied = aRequest.Header("Kv-From");
  const auto found =
    mCopies.find(std::string(copied.substr(copied.find('/') + 1)));
  const bool usable = found != mCopies.end() && found->first == "copy-" + aId &&
                      found->second.mStopped &&
                      found->second.mUpstream == aNumber;
  if (!usable) {
    return false;
  }
  mCopies.erase(found);
  // A stream that may be resumed overlaps with an attempt that was given up.
  const bool atWork = std::ranges::any_of(mRuns, [&](const auto& aRun) {
    return aRun.first.first == aId && !aRun.second;
  });
  if (atWork && !aRequest.mTarget.starts_with("/resume/")) {
    mChecker.AddViolation("two upstreams work on a run", aId);
  }
  ++mChecker.Totals().mMoved;
  return true;
}

asio::awaitable<void>
soak_harness::TakeAway(unsigned aNumber)
{
  constexpr milliseconds kAway{ 300 };
  auto& upstream = mUpstreams[aNumber];
  const milliseconds notice(1000 + Draw(1500));
  upstream.mTakenAt = std::chrono::steady_clock::now() + notice;
  upstream.mState = upstream_state::Reclaimed;
  co_await WriteUpstream(aNumber);
  asio::steady_timer timer(mContext, notice);
  co_await timer.async_wait(asio::use_awaitable);
  upstream.mState = upstream_state::Closes;
  std::ranges::for_each(mRuns, [aNumber](auto& aRun) {
    aRun.second = aRun.second || aRun.first.second == aNumber;
  });
  timer.expires_after(kAway);
  co_await timer.async_wait(asio::use_awaitable);
  ++upstream.mBorn;
  mChecker.ForgetUpstream(aNumber);
  upstream.mState = upstream_state::Ready;
  co_await WriteUpstream(aNumber);
}

} // namespace sapphirespar::soak
