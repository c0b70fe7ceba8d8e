// One attempt to have a request answered by one upstream.
#include "attempt_ending.hpp"
#include "attempt_learning.hpp"
#include "forward_state.hpp"
#include "stream_mover.hpp"
#include "stream_takeover.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

class attempt : private attempt_ending
{
public:
  attempt(const forward_services& aServices,
          const forwarded_request& aForwarded,
          running_attempt& aAttempt,
          wire::http_reply& aReply,
          relay_progress& aProgress,
          const claim_hook& aClaim)
    : attempt_ending(aServices, aForwarded, aAttempt, aProgress)
    , mReply(aReply)
    , mClaim(aClaim)
    , mLearning(aServices, aForwarded, mTarget)
    , mMover(aServices, aForwarded, aAttempt, aProgress)
    , mMemory(std::make_shared<memory_claim>(aServices.mAnswerMemory))
  {
  }

  asio::awaitable<attempt_result> Run()
  {
    const auto connection = mProgress.mFreshConnection
                              ? wire::connection_choice::Fresh
                              : wire::connection_choice::Pooled;
    wire::send_check maySend = [this](wire::http_request& aRequest) {
      // Connecting, or a pause of this process, may have taken a while.
      aRequest.mHeaders = MakeHeaders();
      return MaySend();
    };
    mAttempt.mResumesAfter = mProgress.mLastEventId.empty()
                               ? mForwarded.mInfo.mLastEventId
                               : mProgress.mLastEventId;
    wire::endpoint endpoint;
    endpoint.mAddress = mUpstream.mEntry.mAddress;
    endpoint.mPort = mUpstream.mEntry.mPort;
    auto opened =
      co_await mServices.mClient.Open(std::move(endpoint),
                                      MakeRequest(),
                                      LeftUntil(mForwarded.mDeadline),
                                      connection,
                                      mAttempt.mAbort,
                                      std::move(maySend));
    if (!opened) {
      co_return OpenFailed(opened.error());
    }
    mStream = std::move(opened).value();
    OnBytes();
    mUpstream.mHealth.AddResponse();
    auto result = co_await ReceiveAnswer();
    if (result.mEnd == attempt_end::Relayed) {
      mServices.mBrittleGuard.OnServed(
        mUpstream,
        std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                 mAttempt.mStarted));
    }
    co_return result;
  }

private:
  // Whether the request may still be sent to its upstream, which may have
  // changed what it wants since it was chosen.
  bool MaySend()
  {
    const auto& software = mProgress.mSoftware;
    if (Left() <= kTimerTolerance) {
      return false;
    }
    const bool otherVersion =
      software && SoftwareKey(mUpstream.mEntry) != *software;
    if (otherVersion || !mUpstream.TakesWork() ||
        mUpstream.TurnsAway(steady_clock::now())) {
      return false;
    }
    auto& permit = mAttempt.mTarget.mPermit;
    if (permit != send_permit::Granted) {
      permit = mServices.mRateGuard.TakePermit(mUpstream.mKey);
    }
    return permit != send_permit::Refused &&
           mServices.mBrittleGuard.TakeSend(mUpstream);
  }

  wire::http_headers MakeHeaders() const
  {
    forward_info info;
    info.mDeadline = Left();
    info.mExpected = mUpstream.mEntry.mId;
    info.mAccount = mForwarded.mAccount;
    info.mPriority = mForwarded.mPriority;
    info.mLastEventId = mProgress.mLastEventId;
    info.mCopy = mTarget.mCopy;
    return mServices.mProtocol.mForwardHeaders(mForwarded.mRequest.mHeaders,
                                               info);
  }

  // Makes the request without its headers, which are added when it is sent.
  wire::http_request MakeRequest() const
  {
    const auto& request = mForwarded.mRequest;
    wire::http_request forward;
    forward.mMethod = request.mMethod;
    forward.mTarget = request.mTarget;
    forward.mBody = request.mBody;
    return forward;
  }

  asio::awaitable<attempt_result> ReceiveAnswer()
  {
    auto past =
      mStream->Reused() ? connection_past::Answers : connection_past::None;
    while (true) {
      const auto& head = mStream->Head();
      const auto info =
        mServices.mProtocol.mReadAnswer(head.mStatus, head.mHeaders);
      const auto kind =
        ClassifyAnswer(head.mStatus, info, mForwarded.mInfo.mId, past);
      if (kind != answer_kind::Foreign) {
        NoteStatements(info, kind);
        co_return co_await HandleAnswer(kind);
      }
      ++mAttempt.mForeignAnswers;
      past = connection_past::Answers;
      const auto next =
        co_await mStream->SkipResponse(LeftUntil(mForwarded.mDeadline));
      if (!next) {
        co_return AnswerLost(next.error());
      }
    }
  }

  asio::awaitable<attempt_result> HandleAnswer(answer_kind aKind)
  {
    const auto now = steady_clock::now();
    if (aKind == answer_kind::NotRun) {
      mUpstream.mHealth.AddResult(true, now);
      // Read to its end, so that the connection can be reused.
      constexpr milliseconds kDiscardTimeout{ 50 };
      const auto dropped = co_await mStream->Discard(kDiscardTimeout);
      co_return End(attempt_end::NotRun,
                    dropped ? std::string() : dropped.error().mDetail);
    }
    if (aKind == answer_kind::Unusable) {
      mUpstream.mHealth.AddResult(true, now);
      co_return End(attempt_end::Broken, "unusable answer");
    }
    const auto status = mStream->Head().mStatus;
    const bool fits = !mProgress.mBegun || mProgress.mStatus == status;
    if (fits && IsSuccess(status) && IsEventStream(mStream->Head())) {
      co_return co_await RelayStream();
    }
    co_return co_await RelayPlainAnswer(aKind);
  }

  asio::awaitable<attempt_result> RelayPlainAnswer(answer_kind aKind)
  {
    wire::http_response response;
    response.mStatus = mStream->Head().mStatus;
    response.mHeaders =
      mServices.mProtocol.mAnswerHeaders(mStream->Head().mHeaders);
    while (true) {
      auto piece = co_await ReadPiece();
      if (!piece) {
        co_return AnswerLost(piece.error());
      }
      if (piece.value().empty()) {
        break;
      }
      response.mBody += piece.value();
      if (!mMemory->Resize(response.mBody.size())) {
        co_return NoMemory(response.mBody.size());
      }
    }
    const bool failed = aKind == answer_kind::Failed;
    if (!failed) {
      RecordSurvival();
    }
    // A stream that has begun can't go on with another kind of answer.
    const bool unfit = failed || mProgress.mBegun;
    mUpstream.mHealth.AddResult(unfit, steady_clock::now());
    if (unfit) {
      CountUsage(mAttempt.mStarted);
      auto result = End(attempt_end::Failed);
      result.mFailure = std::move(response);
      result.mFailureMemory = mMemory;
      co_return result;
    }
    if (!mClaim()) {
      co_return End(attempt_end::Superseded);
    }
    co_return co_await Send(std::move(response));
  }

  asio::awaitable<attempt_result> Send(wire::http_response aResponse)
  {
    RecordFirstEvent();
    const reply_use use(mProgress);
    const bool sent = co_await mReply.Send(std::move(aResponse));
    co_return End(sent ? attempt_end::Relayed
                       : attempt_end::CallerDisconnected);
  }

  // Called once per attempt, when its first event or complete answer is about
  // to be sent to the caller.
  void RecordFirstEvent()
  {
    const auto now = steady_clock::now();
    if (!mProgress.mFirstSent) {
      mProgress.mFirstSent = now;
    }
    if (mTarget.mReservation) {
      mTarget.mReservation->OnFirstEvent();
    }
    mUpstream.mPrefixCache.Add(mTarget.mShared, now);
    if (mTarget.mCopy) {
      // The same run goes on.
      return;
    }
    mLearning.OnFirstEvent(now);
    CountUsage(mForwarded.mEngine ? now : mAttempt.mStarted);
  }

  void CountUsage(steady_time aBegan)
  {
    if (mForwarded.mAccount) {
      mServices.mCountUsage(*mForwarded.mAccount, aBegan);
    }
  }

  asio::awaitable<attempt_result> RelayStream()
  {
    while (true) {
      auto piece = co_await ReadPiece();
      if (!piece) {
        auto move = co_await mMover.FindMove();
        co_return move ? EndMoved(std::move(move)) : AnswerLost(piece.error());
      }
      if (mAttempt.mSuperseded) {
        co_return End(attempt_end::Superseded);
      }
      auto events = mSplitter.Feed(piece.value());
      if (mSplitter.Overlong()) {
        mUpstream.mHealth.AddResult(true, steady_clock::now());
        co_return EndAtLimit("event", mSplitter.BytesSinceData());
      }
      const auto waiting = events.mBytes.size() + mSplitter.Remainder().size();
      if (!mMemory->Resize(waiting)) {
        co_return NoMemory(waiting);
      }
      // The connection of a run that was stopped is closed, too.
      const bool closed =
        mStream->Finished() && mStream->Framing() == wire::body_framing::Close;
      run_move_ptr move;
      if (closed) {
        move = co_await mMover.FindMove();
      }
      const bool finished = mStream->Finished() && !move;
      const bool cut =
        finished && IsCut(!mAttempt.mHasEvents && events.mBytes.empty());
      const bool ends = finished && !cut;
      if (events.mCount > 0 && !std::exchange(mSeenEvent, true) &&
          !FollowsEvent(mAttempt.mResumesAfter, events.mFirstId)) {
        mUpstream.mHealth.AddResult(true, steady_clock::now());
        co_return End(attempt_end::Broken, "repeats events");
      }
      if (ends) {
        events.mBytes += mSplitter.Remainder();
      }
      if ((ends || !events.mBytes.empty()) && !mClaim()) {
        co_return End(attempt_end::Superseded);
      }
      if (events.mEndsWithoutId) {
        mProgress.mLastEventId.clear();
      } else if (!events.mLastId.empty()) {
        mProgress.mLastEventId = events.mLastId;
      }
      if (ends || (mAttempt.mHasEvents && !events.mBytes.empty())) {
        RecordSurvival();
      }
      if (!mAttempt.mHasEvents && !events.mBytes.empty()) {
        mAttempt.mHasEvents = true;
        RecordFirstEvent();
      }
      if (!events.mBytes.empty()) {
        mLearning.OnEvents(steady_clock::now());
      }
      if (!co_await SendEvents(events.mBytes, ends)) {
        co_return End(attempt_end::CallerDisconnected);
      }
      mProgress.mEvents += events.mCount;
      if (move) {
        co_return EndMoved(std::move(move));
      }
      mMover.OnEvents(co_await asio::this_coro::executor);
      if (finished) {
        mUpstream.mHealth.AddResult(cut, steady_clock::now());
        if (cut) {
          RecordLoss();
        }
        co_return cut ? End(attempt_end::Broken, "cut inside an event")
                      : End(attempt_end::Relayed);
      }
    }
  }

  // Returns whether the stream, read to its end, was broken off.
  bool IsCut(bool aWithoutEvents) const
  {
    const bool closed = mStream->Framing() == wire::body_framing::Close;
    return mSplitter.InsideEvent() ||
           (closed && (aWithoutEvents || mMover.MayHaveStopped()));
  }

  // Records at which software version the stream begins, so that it goes on
  // nowhere else.
  void BeginStream()
  {
    mProgress.mBegun = true;
    mProgress.mStatus = mStream->Head().mStatus;
    if (!mForwarded.mRoute->mResumable) {
      return;
    }
    const auto lifetime =
      LeftUntil(std::max(mForwarded.mDeadline, mForwarded.mCallerDeadline)) +
      kTakeUpMargin;
    const auto software = SoftwareKey(mUpstream.mEntry);
    mProgress.mSoftware = software;
    mServices.mStreams.Begin(
      StreamOf(mForwarded), { PoolKey(mForwarded.mPool), software }, lifetime);
  }

  // Returns false if the caller has disconnected.
  asio::awaitable<bool> SendEvents(const std::string& aBytes, bool aLast)
  {
    const reply_use use(mProgress);
    if (!mProgress.mBegun && (aLast || !aBytes.empty())) {
      if (mForwarded.mRoute->mResumable) {
        co_await AwaitVersionRecord(
          mServices, mForwarded, mUpstream, mProgress);
      }
      BeginStream();
      const auto& head = mStream->Head();
      auto headers = mServices.mProtocol.mAnswerHeaders(head.mHeaders);
      const bool begun =
        co_await mReply.Begin(head.mStatus, std::move(headers), aBytes);
      if (!begun || !aLast) {
        co_return begun;
      }
      co_return co_await mReply.Finish();
    }
    if (aLast) {
      co_return co_await mReply.Finish(aBytes);
    }
    co_return co_await mReply.Write(aBytes);
  }

  wire::http_reply& mReply;
  const claim_hook& mClaim;
  attempt_learning mLearning;
  stream_mover mMover;
  // The bytes of the answer that wait to be sent to the caller.
  std::shared_ptr<memory_claim> mMemory;
  // The first event with data has arrived.
  bool mSeenEvent = false;
};

} // namespace

asio::awaitable<attempt_result>
RunAttempt(const forward_services& aServices,
           const forwarded_request& aForwarded,
           running_attempt& aAttempt,
           wire::http_reply& aReply,
           relay_progress& aProgress,
           const claim_hook& aClaim)
{
  attempt run(aServices, aForwarded, aAttempt, aReply, aProgress, aClaim);
  co_return co_await run.Run();
}

} // namespace sapphirespar::gateway
