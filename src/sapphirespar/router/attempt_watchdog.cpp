// Checks the attempt periodically. The timer is not restarted for each event,
// so that a fast stream causes no timer work.
#include "sapphirespar/router/attempt_watchdog.hpp"

#include <boost/asio/steady_timer.hpp>

namespace sapphirespar::router {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kCheckPeriod{ 200 };

} // namespace

struct attempt_watchdog::state : std::enable_shared_from_this<state>
{
  state(asio::any_io_executor aExecutor, watchdog_options aOptions)
    : mTimer(std::move(aExecutor))
    , mOptions(std::move(aOptions))
    , mDeadline(mOptions.mLimits, steady_clock::now(), steady_time::max())
  {
  }

  void Arm();
  void Check();
  void AbortAttempt(abort_reason aReason);

  asio::steady_timer mTimer;
  watchdog_options mOptions;
  // Checks progress only and has no overall deadline: an answer that is late
  // but still progressing is worth completing.
  policy::progress_deadline mDeadline;
  bool mStopped = false;
  bool mSuspended = false;
  // The value last passed to mDeadline.SetPaused.
  bool mDeadlinePaused = false;
  std::optional<abort_reason> mReason;
};

void
attempt_watchdog::state::Arm()
{
  mTimer.expires_after(kCheckPeriod);
  mTimer.async_wait([self = shared_from_this()](const auto& aError) {
    if (!aError && !self->mStopped) {
      self->Check();
    }
  });
}

void
attempt_watchdog::state::Check()
{
  if (mOptions.mEndWithCaller && mOptions.mReply.CallerDisconnected()) {
    AbortAttempt(abort_reason::CallerLeft);
    return;
  }
  const auto now = steady_clock::now();
  const bool paused = mSuspended || mOptions.mPaused->load();
  if (paused != mDeadlinePaused) {
    mDeadlinePaused = paused;
    mDeadline.SetPaused(paused, now);
  }
  if (mDeadline.IsStalled(now)) {
    AbortAttempt(abort_reason::Stalled);
    return;
  }
  Arm();
}

void
attempt_watchdog::state::AbortAttempt(abort_reason aReason)
{
  mReason = aReason;
  mOptions.mAbort->Abort();
}

attempt_watchdog::attempt_watchdog(asio::any_io_executor aExecutor,
                                   watchdog_options aOptions)
  : mState(std::make_shared<state>(std::move(aExecutor), std::move(aOptions)))
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
attempt_watchdog::SetSuspended(bool aSuspended)
{
  mState->mSuspended = aSuspended;
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
