// The watch's timer, which looks now and then rather than once per event, so
// that a fast stream costs no timer work.
#include "sapphirespar/router/attempt_watch.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLook{ 200 };

} // namespace

struct attempt_watch::state : std::enable_shared_from_this<state>
{
  state(asio::any_io_executor aExecutor, watch_targets aTargets)
    : mTimer(std::move(aExecutor))
    , mTargets(std::move(aTargets))
    , mDeadline(mTargets.mLimits, steady_clock::now(), steady_time::max())
  {
  }

  void Arm();
  void Look();
  void End(watch_reason aReason);

  asio::steady_timer mTimer;
  watch_targets mTargets;
  // Judges progress alone: a late answer in progress is still worth its end.
  policy::progress_deadline mDeadline;
  bool mStopped = false;
  bool mHeld = false;
  // What mDeadline was last told.
  bool mWaived = false;
  std::optional<watch_reason> mReason;
};

void
attempt_watch::state::Arm()
{
  mTimer.expires_after(kLook);
  mTimer.async_wait([self = shared_from_this()](const auto& aError) {
    if (!aError && !self->mStopped) {
      self->Look();
    }
  });
}

void
attempt_watch::state::Look()
{
  if (mTargets.mEndWithCaller && mTargets.mReply.CallerGone()) {
    End(watch_reason::CallerGone);
    return;
  }
  const auto now = steady_clock::now();
  const bool waived = mHeld || mTargets.mPaused->load();
  if (waived != mWaived) {
    mWaived = waived;
    mDeadline.SetPaused(waived, now);
  }
  if (mDeadline.IsStalled(now)) {
    End(watch_reason::NoProgress);
    return;
  }
  Arm();
}

void
attempt_watch::state::End(watch_reason aReason)
{
  mReason = aReason;
  mTargets.mAbort->Abort();
}

attempt_watch::attempt_watch(asio::any_io_executor aExecutor,
                             watch_targets aTargets)
  : mState(std::make_shared<state>(std::move(aExecutor), std::move(aTargets)))
{
  mState->Arm();
}

attempt_watch::~attempt_watch()
{
  Stop();
}

void
attempt_watch::NoteProgress()
{
  mState->mDeadline.NoteProgress(steady_clock::now());
}

void
attempt_watch::Hold(bool aHeld)
{
  mState->mHeld = aHeld;
}

void
attempt_watch::Stop()
{
  mState->mStopped = true;
  mState->mTimer.cancel();
}

std::optional<watch_reason>
attempt_watch::Reason() const
{
  return mState->mReason;
}

} // namespace sapphirespar::router
