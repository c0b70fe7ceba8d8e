// Results of attempts, health of upstreams, evidence about crashing parts.
#include "attempt_ending.hpp"

#include "run_move.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirespar::gateway {
namespace {

std::optional<std::uint64_t>
ToNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto read = std::from_chars(aText.data(), end, number);
  const bool whole = read.ec == std::errc() && read.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

} // namespace

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool
IsEventStream(const wire::http_response& aHead)
{
  return aHead.Header("Content-Type").starts_with("text/event-stream");
}

bool
FollowsEvent(std::string_view aLast, std::string_view aFirst)
{
  const auto last = ToNumber(aLast);
  const auto first = ToNumber(aFirst);
  return !last || !first || *first > *last;
}

attempt_ending::attempt_ending(const forward_services& aServices,
                               const forwarded_request& aForwarded,
                               running_attempt& aAttempt,
                               relay_progress& aProgress)
  : mServices(aServices)
  , mForwarded(aForwarded)
  , mAttempt(aAttempt)
  , mTarget(aAttempt.mTarget)
  , mUpstream(*mTarget.mUpstream)
  , mProgress(aProgress)
  , mSplitter(aServices.mEventLimitBytes)
{
}

asio::awaitable<wire::wire_result<std::string>>
attempt_ending::ReadPiece()
{
  mAttempt.mWaitingSince = steady_clock::now();
  auto piece = co_await mStream->Read(LeftUntil(mForwarded.mDeadline));
  mAttempt.mWaitingSince.reset();
  if (piece) {
    OnBytes();
  }
  co_return piece;
}

milliseconds
attempt_ending::Left() const
{
  return LeftUntil(std::min(mForwarded.mDeadline, mForwarded.mCallerDeadline));
}

void
attempt_ending::NoteStatements(const answer_info& aInfo, answer_kind aKind)
{
  if (aKind == answer_kind::Unusable) {
    return;
  }
  if (aInfo.mLeaving) {
    mServices.mUpstreams.NoteLeaving(mUpstream.mKey, "answer");
  }
  if (aInfo.mRetryAfter) {
    TurnAwayFor(*aInfo.mRetryAfter);
  }
  mAcceptedRate = aInfo.mAcceptedRate;
  if (aInfo.mAcceptedRate) {
    mServices.mRateGuard.OnAnswer(
      mUpstream.mKey, *aInfo.mAcceptedRate, mAttempt.mStarted);
  }
  mServices.mBrittleGuard.OnAnswer(
    mUpstream, aInfo.mToleratedRejections, aKind == answer_kind::NotRun);
}

void
attempt_ending::TurnAwayFor(milliseconds aTime)
{
  const auto until = steady_clock::now() + aTime;
  mUpstream.mTurnsAwayUntil = std::max(mUpstream.mTurnsAwayUntil, until);
  LogEvent(log_level::Info,
           "upstream_turns_away",
           { { "request", mForwarded.mInfo.mId },
             { "upstream", mUpstream.mEntry.mId.mText },
             { "for_ms", aTime.count() } });
}

void
attempt_ending::OnBytes()
{
  mLastBytes = steady_clock::now();
  mServices.mCrashGuard.OnSign(mUpstream.mKey);
  mServices.mReach.OnSign();
}

void
attempt_ending::RecordSurvival()
{
  if (!mSurvived) {
    mSurvived = true;
    mServices.mCrashGuard.OnSurvival(MarksOf(mForwarded));
  }
}

void
attempt_ending::RecordLoss()
{
  // The path is at fault, not the upstream.
  if (mServices.mReach.IsCutOff()) {
    return;
  }
  const bool answers = mStream && IsSuccess(mStream->Head().mStatus);
  using enum crash_guard::answer_progress;
  const auto begun = answers ? Begun : Nothing;
  mServices.mCrashGuard.OnUpstreamLost(MarksOf(mForwarded),
                                       mUpstream.mKey,
                                       mAttempt.mHasEvents ? Events : begun,
                                       mAttempt.mStarted);
}

attempt_result
attempt_ending::End(attempt_end aEnd, std::string aDetail)
{
  attempt_result result;
  result.mEnd = aEnd;
  result.mDetail = std::move(aDetail);
  result.mSilence =
    std::chrono::duration_cast<milliseconds>(steady_clock::now() - mLastBytes);
  result.mAcceptedRate = mAcceptedRate;
  if (mStream) {
    result.mStatus = mStream->Head().mStatus;
    result.mReusedConnection = mStream->Reused();
    result.mFraming = mStream->Framing();
    result.mUnfinishedBytes = mSplitter.Remainder().size();
  }
  const bool mayHaveRun =
    aEnd == attempt_end::Broken || aEnd == attempt_end::TimedOut ||
    aEnd == attempt_end::Superseded || aEnd == attempt_end::Failed ||
    aEnd == attempt_end::Moved;
  mProgress.mMayHaveRun = mProgress.mMayHaveRun || mayHaveRun;
  return result;
}

attempt_result
attempt_ending::EndMoved(run_move_ptr aMove)
{
  if (const auto stopped = Stopped()) {
    aMove->Abandon();
    return *stopped;
  }
  auto result = End(attempt_end::Moved);
  result.mMove = std::move(aMove);
  return result;
}

std::optional<attempt_result>
attempt_ending::Stopped()
{
  if (mProgress.mCallerGone) {
    return End(attempt_end::CallerDisconnected);
  }
  if (mAttempt.mSuperseded) {
    return End(attempt_end::Superseded);
  }
  return std::nullopt;
}

attempt_result
attempt_ending::OpenFailed(const wire::wire_error& aError)
{
  if (const auto stopped = Stopped()) {
    return *stopped;
  }
  if (!aError.mBytesWritten) {
    // A call that is withdrawn says nothing of the upstream.
    if (aError.mKind != wire::wire_error_kind::Cancelled) {
      mUpstream.mHealth.AddConnectFailure(steady_clock::now());
      mServices.mReach.Suspect();
    }
    return End(attempt_end::NotSent, aError.mDetail);
  }
  return AnswerLost(aError);
}

attempt_result
attempt_ending::AnswerLost(const wire::wire_error& aError)
{
  if (const auto stopped = Stopped()) {
    return *stopped;
  }
  const bool timedOut = aError.mKind == wire::wire_error_kind::Timeout;
  // A stale connection says nothing of the upstream; the request's next
  // attempt there, on a new connection, does.
  const bool stale = aError.mStaleConnection && mForwarded.mRoute->mIdempotent;
  // Silence until the request's own deadline does not count as a failure of
  // the upstream; a part of the answer that did not end does.
  const bool late =
    timedOut && LeftUntil(mForwarded.mDeadline) <= kTimerTolerance;
  if (!stale && (!late || HasUnfinishedPart(aError))) {
    mUpstream.mHealth.AddResult(true, steady_clock::now());
  }
  if (!timedOut) {
    RecordLoss();
    mServices.mReach.Suspect();
  }
  auto result =
    End(timedOut ? attempt_end::TimedOut : attempt_end::Broken, aError.mDetail);
  result.mReusedConnection |= aError.mStaleConnection;
  result.mStaleUpstream = stale ? mTarget.mUpstream : nullptr;
  return result;
}

bool
attempt_ending::HasUnfinishedPart(const wire::wire_error& aError) const
{
  const bool streams = mStream && IsEventStream(mStream->Head());
  return streams ? mSplitter.InsideEvent() : aError.mReceivedBytes > 0;
}

attempt_result
attempt_ending::EndAtLimit(std::string_view aLimit, std::size_t aBytes)
{
  const auto took = steady_clock::now() - mAttempt.mStarted;
  auto result = End(
    attempt_end::Broken,
    std::string(aLimit) + ": too long after " + std::to_string(aBytes) +
      " bytes and " +
      std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) +
      " ms");
  mStream.reset();
  return result;
}

attempt_result
attempt_ending::NoMemory(std::size_t aBytes)
{
  return EndAtLimit("memory for answers", aBytes);
}

} // namespace sapphirespar::gateway
