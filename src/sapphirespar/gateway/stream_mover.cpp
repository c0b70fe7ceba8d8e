// Decides for one stream when to move its run, and where.
#include "stream_mover.hpp"

#include "leave_time.hpp"
#include "placement.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/policy/leaving_stream.hpp"

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Further engines are tried if one has no room, at most so many and with this
// pause: all streams of a data centre look for room at once.
constexpr std::size_t kMaximumMoves = 3;
constexpr milliseconds kPause{ 150 };

} // namespace

stream_mover::~stream_mover()
{
  if (mMove) {
    mMove->Abandon();
  }
}

bool
stream_mover::IsPossible() const
{
  return mAttempt.mTarget.mUpstream->IsReclaimed() && mForwarded.mEngine &&
         mForwarded.mEngine->mMovesRuns && !mProgress.mLastEventId.empty();
}

bool
stream_mover::IsNeeded() const
{
  const auto& upstream = *mAttempt.mTarget.mUpstream;
  if (!upstream.mLeavesAt) {
    return false;
  }
  auto load = upstream.mOwnLoad;
  load += upstream.mPeerLoad;
  const auto& figures = mServices.mModels.Of(mForwarded.mPool).Figures();
  policy::leaving_stream stream;
  stream.mLeavesIn =
    std::chrono::floor<milliseconds>(*upstream.mLeavesAt - BootNow());
  stream.mTokenMs = upstream.mPace.TokenMs(
    figures, static_cast<unsigned>(std::max(load.mRunning, 1)));
  if (mForwarded.mInfo.mMaximumOutputTokens > 0) {
    const double sent = static_cast<double>(mProgress.mEvents) *
                        mForwarded.mEngine->mTokensPerEvent;
    stream.mTokensLeft =
      std::max(mForwarded.mInfo.mMaximumOutputTokens - sent, 0.0);
  }
  return policy::IsCutOffIfItStays(stream);
}

std::optional<attempt_target>
stream_mover::ChooseTarget() const
{
  auto excluded = mTried;
  excluded.push_back(mAttempt.mTarget.mUpstream);
  auto target = PlaceRequest(mServices,
                             mForwarded,
                             excluded,
                             SoftwareKey(mAttempt.mTarget.mUpstream->mEntry));
  if (target) {
    // The copy holds the prompt.
    target->mPrefillTokens = 0;
    target->mReservation->OnFirstEvent();
  }
  return target;
}

void
stream_mover::OnEvents(const asio::any_io_executor& aExecutor)
{
  if (!IsPossible()) {
    return;
  }
  AskWhenItLeaves(aExecutor, mServices, mAttempt.mTarget.mUpstream);
  const auto now = steady_clock::now();
  const bool underWay = mMove && mMove->State() != run_move_state::NotMoved;
  if (underWay || now < mNextMoveAt || mTried.size() >= kMaximumMoves ||
      !IsNeeded()) {
    return;
  }
  mNextMoveAt = now + kPause;
  auto target = ChooseTarget();
  // The request that goes on counts as a further one at the pool.
  const bool mayMove =
    target &&
    mServices.mRetries.TryTake(mForwarded.mPool, mServices.mGateways(), now);
  if (!mayMove) {
    LogEvent(log_level::Info,
             "run_not_moved",
             { { "request", mForwarded.mInfo.mId },
               { "source", mAttempt.mTarget.mUpstream->mEntry.mId.mText },
               { "cause", target ? "no_retry_left" : "no_target" },
               { "events_sent", mProgress.mEvents } });
    return;
  }
  mTried.push_back(target->mUpstream);
  mMove = std::make_shared<run_move>(aExecutor,
                                     mServices,
                                     mForwarded.mInfo.mId,
                                     mAttempt.mTarget.mUpstream,
                                     mAttempt.mAbort,
                                     std::move(*target));
  mMove->Start();
}

asio::awaitable<run_move_ptr>
stream_mover::FindMove()
{
  if (!MayHaveStopped()) {
    co_return nullptr;
  }
  co_await mMove->Wait();
  if (mMove->State() != run_move_state::Stopped) {
    co_return nullptr;
  }
  co_return std::exchange(mMove, nullptr);
}

} // namespace sapphirespar::gateway
