// Starts, supersedes and aborts the attempts of one request.
#include "attempt_race.hpp"

#include "sapphirespar/base/log.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Longest time for which two engines work on one request. The first one is
// aborted then.
constexpr milliseconds kMaximumOverlap{ 300 };

// Interval between checks whether an attempt has connected.
constexpr milliseconds kConnectCheck{ 20 };

std::string
ToText(const std::exception_ptr& aProblem)
{
  try {
    std::rethrow_exception(aProblem);
  } catch (const std::exception& problem) {
    return problem.what();
  }
}

void
Supersede(running_attempt& aAttempt)
{
  aAttempt.mSuperseded = true;
  aAttempt.mAbort->Abort();
}

std::optional<milliseconds>
SilenceLimit(const running_attempt& aAttempt)
{
  const auto& limits = aAttempt.mTarget.mSilence;
  if (!limits) {
    return std::nullopt;
  }
  return aAttempt.mHasEvents ? limits->mBetweenEvents : limits->mFirstEvent;
}

// When the attempt becomes silent unless its upstream sends something. Later
// than aNow while the attempt does not wait for the upstream.
steady_time
SilentAt(const running_attempt& aAttempt, steady_time aNow)
{
  const auto limit = SilenceLimit(aAttempt);
  if (!limit) {
    return steady_time::max();
  }
  const auto since = aAttempt.mWaitingSince.value_or(aNow);
  return std::max(since, aAttempt.mSilenceNotedAt) + *limit;
}

} // namespace

attempt_race::attempt_race(asio::any_io_executor aExecutor,
                           const forward_services& aServices,
                           const forwarded_request& aForwarded,
                           wire::http_reply& aReply,
                           relay_progress& aProgress,
                           ended_hook aOnEnded)
  : mServices(aServices)
  , mForwarded(aForwarded)
  , mReply(aReply)
  , mProgress(aProgress)
  , mOnEnded(std::move(aOnEnded))
  , mWake(std::move(aExecutor))
{
}

void
attempt_race::Start(attempt_target aTarget, std::shared_ptr<void> aOwner)
{
  auto attempt = std::make_shared<running_attempt>();
  attempt->mTarget = std::move(aTarget);
  mRunning.push_back(attempt);
  ++mProgress.mSends;
  mServices.mReach.BeginWait();
  asio::co_spawn(mWake.get_executor(),
                 Run(attempt, aOwner),
                 [this, attempt, aOwner](const std::exception_ptr& aProblem) {
                   if (!aProblem) {
                     return;
                   }
                   attempt_result result;
                   result.mEnd = attempt_end::Broken;
                   result.mDetail = ToText(aProblem);
                   mProgress.mMayHaveRun = true;
                   OnEnded(attempt, std::move(result));
                 });
}

asio::awaitable<void>
attempt_race::Run(attempt_ptr aAttempt, std::shared_ptr<void> aOwner)
{
  const claim_hook claim = [this, &attempt = *aAttempt] {
    return Claim(attempt);
  };
  auto result = co_await RunAttempt(
    mServices, mForwarded, *aAttempt, mReply, mProgress, claim);
  OnEnded(aAttempt, std::move(result));
  aOwner.reset();
}

void
attempt_race::OnEnded(const attempt_ptr& aAttempt, attempt_result aResult)
{
  aAttempt->mWaitingSince.reset();
  mServices.mReach.EndWait();
  if (aResult.mEnd == attempt_end::NotSent) {
    --mProgress.mSends;
    if (aAttempt->mTarget.mPermit == send_permit::Granted) {
      mServices.mRateGuard.ReturnPermit(aAttempt->mTarget.mUpstream->mKey);
    }
  }
  mOnEnded(*aAttempt, aResult);
  if (std::erase(mRunning, aAttempt) > 0) {
    mEnded.push_back(std::move(aResult));
  }
  mWake.cancel();
}

bool
attempt_race::Claim(const running_attempt& aAttempt)
{
  if (aAttempt.mSuperseded) {
    return false;
  }
  const auto others = std::erase_if(mRunning, [&](const attempt_ptr& aOther) {
    const bool other = aOther.get() != &aAttempt;
    if (other) {
      Supersede(*aOther);
    }
    return other;
  });
  if (others > 0) {
    mWake.cancel();
  }
  return true;
}

asio::awaitable<void>
attempt_race::Wait()
{
  LimitOverlap();
  if (!mEnded.empty() || mRunning.empty() || IsSilent()) {
    co_return;
  }
  mWake.expires_at(NextCheck());
  co_await mWake.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void>
attempt_race::WaitForReply()
{
  while (mProgress.mReplyUses > 0) {
    mWake.expires_at(steady_time::max());
    co_await mWake.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

std::optional<attempt_result>
attempt_race::TakeEnded()
{
  if (mEnded.empty()) {
    return std::nullopt;
  }
  auto result = std::move(mEnded.front());
  mEnded.erase(mEnded.begin());
  return result;
}

bool
attempt_race::IsSilent() const
{
  const auto now = steady_clock::now();
  return !mRunning.empty() &&
         std::ranges::all_of(mRunning, [now](const attempt_ptr& aAttempt) {
           return SilentAt(*aAttempt, now) <= now;
         });
}

void
attempt_race::NoteSilence(const std::function<void(upstream&)>& aOnFirst)
{
  const auto now = steady_clock::now();
  for (const auto& attempt : mRunning) {
    if (attempt->mSilenceNotedAt == steady_time{}) {
      aOnFirst(*attempt->mTarget.mUpstream);
    }
    attempt->mSilenceNotedAt = now;
  }
}

std::optional<steady_time>
attempt_race::OverlapEnd() const
{
  const bool limited = mForwarded.mEngine || mProgress.mBegun;
  if (!limited || mRunning.size() < 2) {
    return std::nullopt;
  }
  const auto& latest = *mRunning.back();
  const auto end = latest.mStarted + kMaximumOverlap;
  return latest.mAbort->Connected()
           ? end
           : std::max(end, steady_clock::now() + kConnectCheck);
}

void
attempt_race::LimitOverlap()
{
  const auto end = OverlapEnd();
  if (end && *end <= steady_clock::now()) {
    Claim(*mRunning.back());
  }
}

steady_time
attempt_race::NextCheck() const
{
  const auto now = steady_clock::now();
  auto next = OverlapEnd().value_or(steady_time::max());
  if (!mRunning.empty()) {
    const auto silent =
      std::ranges::max(mRunning, {}, [now](const auto& aAttempt) {
        return SilentAt(*aAttempt, now);
      });
    next = std::min(next, SilentAt(*silent, now));
  }
  return next;
}

void
attempt_race::AbortAll()
{
  std::ranges::for_each(
    mRunning, [](const attempt_ptr& aAttempt) { Supersede(*aAttempt); });
  mRunning.clear();
  mWake.cancel();
}

} // namespace sapphirespar::gateway
