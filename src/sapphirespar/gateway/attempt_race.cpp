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

// When the attempt becomes silent unless its upstream sends something; unset
// while it does not wait for the upstream.
std::optional<steady_time>
SilentAt(const running_attempt& aAttempt)
{
  const auto limit = SilenceLimit(aAttempt);
  if (!limit || !aAttempt.mWaitingSince) {
    return std::nullopt;
  }
  return std::max(*aAttempt.mWaitingSince, aAttempt.mSilenceHandledAt) + *limit;
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
  if (aResult.mEnd == attempt_end::NotSent) {
    --mProgress.mSends;
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
  std::erase_if(mRunning, [&](const attempt_ptr& aOther) {
    const bool other = aOther.get() != &aAttempt;
    if (other) {
      Supersede(*aOther);
    }
    return other;
  });
  return true;
}

asio::awaitable<void>
attempt_race::Wait()
{
  if (!mEnded.empty() || Silent() != nullptr) {
    co_return;
  }
  mWake.expires_at(NextSilence());
  co_await mWake.async_wait(asio::as_tuple(asio::use_awaitable));
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

running_attempt*
attempt_race::Silent() const
{
  if (mRunning.size() != 1) {
    return nullptr;
  }
  const auto at = SilentAt(*mRunning.front());
  return at && *at <= steady_clock::now() ? mRunning.front().get() : nullptr;
}

steady_time
attempt_race::NextSilence() const
{
  if (mRunning.size() != 1) {
    return steady_time::max();
  }
  const auto& attempt = *mRunning.front();
  const auto limit = SilenceLimit(attempt);
  if (!limit) {
    return steady_time::max();
  }
  // While the attempt writes to the caller, it is looked at again later.
  return SilentAt(attempt).value_or(steady_clock::now() + *limit);
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
