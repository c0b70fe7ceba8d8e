// The watch's timer, which looks now and then rather than once per event, so
// that a fast stream costs no timer work.
#include "sapphirespar/router/attempt_watchdog.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kLook{ 200 };

} // namespace

struct attempt_watchdog::state : std::enable_shared_from_this<state>
{
  state(asio::any_io_executor aExecutor, watchdog_options aTargets)
    : mTimer(std::move(aExecutor))
    , mTargets(std::move(aTargets))
    , mDeadline(mTargets.mLimits, steady_clock::now(), steady_time::max())
  {
  }

  void Arm();
  void Look();
  void End(abort_reason aReason);

  asio::steady_timer mTimer;
  watchdog_options mTargets;
  // Judges progress alone: a late answer in progress is still worth its end.
  policy::progress_deadline mDeadline;
  bool mStopped = false;
  bool mHeld = false;
  // What mDeadline was last told.
  bool mWaived = false;
  std::optional<abort_reason> mReason;
};

void
attempt_watchdog::state::Arm()
{
  mTimer.expires_after(kLook);
  mTimer.async_wait([self = shared_from_this()](const auto& aError) {
    if (!aError && !self->mStopped) {
      self->Look();
    }
  });
}

void
attempt_watchdog::state::Look()
{
  if (mTargets.mEndWithCaller && mTargets.mReply.CallerGone()) {
    End(abort_reason::CallerGone);
    return;
  }
  const auto now = steady_clock::now();
  const bool waived = mHeld || mTargets.mPaused->load();
  if (waived != mWaived) {
    mWaived = waived;
    mDeadline.SetPaused(waived, now);
  }
  if (mDeadline.IsStalled(now)) {
    End(abort_reason::Stalled);
    return;
  }
  Arm();
}

void
attempt_watchdog::state::End(abort_reason aReason)
{
  mReason = aReason;
  mTargets.mAbort->Abort();
}

attempt_watchdog::attempt_watchdog(asio::any_io_executor aExecutor,
                                   watchdog_options aTargets)
  : mState(std::make_shared<state>(std::move(aExecutor), std::move(aTargets)))
{
  mState->Arm();
}

attempt_watchdog::~attempt_watchdog()
{
  Stop();
}

void
attempt_watchdog::NoteProgress()
{
  mState->mDeadline.NoteProgress(steady_clock::now());
}

void
attempt_watchdog::SetSuspended(bool aHeld)
{
  mState->mHeld = aHeld;
}

void
attempt_watchdog::Stop()
{
  mState->mStopped = true;
  mState->mTimer.cancel();
}

std::optional<abort_reason>
attempt_watchdog::Reason() const
{
  return mState->mReason;
}

} // namespace sapphirespar::router
