// Learns from first events that hardly waited for others, and from gaps.
#include "attempt_learning.hpp"

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

// A first event tells the engine's speed if at most this share of its predicted
// time is spent on other requests.
constexpr double kUndisturbedShare = 0.15;

} // namespace

void
attempt_learning::OnFirstEvent(steady_time aNow)
{
  if (!mForwarded.mEngine) {
    return;
  }
  const std::chrono::duration<double, std::milli> took = aNow - mStarted;
  mTarget.mUpstream->mHealth.AddDelay(took.count() - mTarget.mPredictedMs,
                                      aNow);
  if (mTarget.mQueueingMs > kUndisturbedShare * mTarget.mPredictedMs) {
    return;
  }
  // Whether another gateway's request has brought the rest of the prefix into
  // the cache is not known.
  if (mTarget.mCachedTokens >= mTarget.mSharedTokens) {
    mServices.mModels.Of(mForwarded.mPool)
      .AddFirstEvent(mForwarded.mInfo.mPromptTokens - mTarget.mCachedTokens,
                     took.count());
  }
}

void
attempt_learning::OnEvents(steady_time aNow)
{
  if (!mForwarded.mEngine) {
    return;
  }
  if (mLastEventAt) {
    const std::chrono::duration<double, std::milli> gap = aNow - *mLastEventAt;
    std::shift_left(mGaps.begin(), mGaps.end(), 1);
    mGaps.back() = gap.count();
    if (mGaps.front() > 0) {
      auto load = mTarget.mUpstream->mOwnLoad;
      load += mTarget.mUpstream->mPeerLoad;
      mServices.mModels.Of(mForwarded.mPool)
        .AddGaps(mGaps,
                 mForwarded.mEngine->mTokensPerEvent,
                 static_cast<unsigned>(std::max(load.mRunning, 1)),
                 mTarget.mUpstream->mPace);
    }
  }
  mLastEventAt = aNow;
}

} // namespace sapphirespar::gateway
