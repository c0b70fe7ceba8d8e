// One attempt to have a request answered by one upstream.
#include "attempt_learning.hpp"
#include "forward_state.hpp"

#include "sapphirespar/base/log.hpp"
#include "sapphirespar/wire/sse_splitter.hpp"

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

bool
IsEventStream(const wire::http_response& aHead)
{
  return aHead.Header("Content-Type").starts_with("text/event-stream");
}

class attempt
{
public:
  attempt(const forward_services& aServices,
          const forwarded_request& aForwarded,
          const attempt_target& aTarget,
          wire::http_reply& aReply,
          relay_progress& aProgress)
    : mServices(aServices)
    , mForwarded(aForwarded)
    , mTarget(aTarget)
    , mUpstream(*aTarget.mUpstream)
    , mReply(aReply)
    , mProgress(aProgress)
    , mLearning(aServices, aForwarded, aTarget)
    , mSplitter(aServices.mEventLimitBytes)
    , mClaim(std::make_shared<answer_claim>(aServices.mAnswerMemory))
  {
  }

  asio::awaitable<attempt_result> Run()
  {
    mProgress.mAbort = std::make_shared<wire::call_abort>();
    const auto connection = mProgress.mFreshConnection
                              ? wire::connection_choice::Fresh
                              : wire::connection_choice::Pooled;
    wire::endpoint endpoint;
    endpoint.mAddress = mUpstream.mEntry.mAddress;
    endpoint.mPort = mUpstream.mEntry.mPort;
    auto opened = co_await mServices.mClient.Open(std::move(endpoint),
                                                  MakeRequest(),
                                                  ReadTimeout(true),
                                                  connection,
                                                  mProgress.mAbort);
    if (!opened) {
      co_return OpenFailed(opened.error());
    }
    mStream = std::move(opened).value();
    mUpstream.mHealth.AddResponse();
    ++mProgress.mSends;
    co_return co_await ReceiveAnswer();
  }

private:
  wire::http_request MakeRequest() const
  {
    forward_info info;
    info.mDeadline =
      LeftUntil(std::min(mForwarded.mDeadline, mForwarded.mCallerDeadline));
    info.mExpected = mUpstream.mEntry.mId;
    info.mAccount = mForwarded.mAccount;
    info.mPriority = mForwarded.mPriority;
    info.mLastEventId = mProgress.mLastEventId;
    const auto& request = mForwarded.mRequest;
    wire::http_request forward;
    forward.mMethod = request.mMethod;
    forward.mTarget = request.mTarget;
    forward.mHeaders =
      mServices.mProtocol.mForwardHeaders(request.mHeaders, info);
    forward.mBody = request.mBody;
    return forward;
  }

  // How long to wait for the next bytes. aFirst: no event has arrived yet.
  milliseconds ReadTimeout(bool aFirst) const
  {
    const auto left = LeftUntil(mForwarded.mDeadline);
    return std::min(left,
                    aFirst ? mTarget.mFirstEventTimeout : mTarget.mGapTimeout);
  }

  attempt_result End(attempt_end aEnd, std::string aDetail = {})
  {
    attempt_result result;
    result.mEnd = aEnd;
    result.mDetail = std::move(aDetail);
    if (mStream) {
      result.mStatus = mStream->Head().mStatus;
      result.mReusedConnection = mStream->Reused();
      result.mFraming = mStream->Framing();
      result.mUnfinishedBytes = mSplitter.Remainder().size();
    }
    const bool mayHaveRun = aEnd == attempt_end::Broken ||
                            aEnd == attempt_end::TimedOut ||
                            aEnd == attempt_end::Failed;
    mProgress.mMayHaveRun = mProgress.mMayHaveRun || mayHaveRun;
    return result;
  }

  attempt_result OpenFailed(const wire::wire_error& aError)
  {
    if (mProgress.mCallerGone) {
      return End(attempt_end::CallerDisconnected);
    }
    if (!aError.mBytesWritten) {
      mUpstream.mHealth.AddConnectFailure(steady_clock::now());
      return End(attempt_end::NotSent, aError.mDetail);
    }
    ++mProgress.mSends;
    return AnswerLost(aError);
  }

  // Ends the attempt after the answer, or the rest of it, failed to arrive.
  attempt_result AnswerLost(const wire::wire_error& aError)
  {
    if (mProgress.mCallerGone) {
      return End(attempt_end::CallerDisconnected);
    }
    const bool timedOut = aError.mKind == wire::wire_error_kind::Timeout;
    // A stale connection says nothing of the upstream; the request's next
    // attempt there, on a new connection, does.
    const bool stale =
      aError.mStaleConnection && mForwarded.mRoute->mIdempotent;
    // Silence until the request's own deadline does not count as a failure of
    // the upstream; a part of the answer that did not end does.
    const bool late = timedOut && steady_clock::now() >= mForwarded.mDeadline;
    if (!stale && (!late || HasUnfinishedPart(aError))) {
      mUpstream.mHealth.AddResult(true, steady_clock::now());
    }
    auto result = End(timedOut ? attempt_end::TimedOut : attempt_end::Broken,
                      aError.mDetail);
    result.mReusedConnection |= aError.mStaleConnection;
    result.mStaleConnection = stale;
    return result;
  }

  // Whether bytes arrived that are no complete head, event or plain answer.
  bool HasUnfinishedPart(const wire::wire_error& aError) const
  {
    const bool streams = mStream && IsEventStream(mStream->Head());
    return streams ? mSplitter.InsideEvent() : aError.mReceivedBytes > 0;
  }

  asio::awaitable<attempt_result> ReceiveAnswer()
  {
    while (true) {
      const auto& head = mStream->Head();
      const auto info =
        mServices.mProtocol.mReadAnswer(head.mStatus, head.mHeaders);
      if (info.mLeaving) {
        mServices.mUpstreams.NoteLeaving(mUpstream.mKey, "answer");
      }
      if (info.mRetryAfter) {
        TurnAwayFor(*info.mRetryAfter);
      }
      const auto kind =
        ClassifyAnswer(head.mStatus, info, mForwarded.mInfo.mId);
      if (kind != answer_kind::Foreign) {
        co_return co_await HandleAnswer(kind);
      }
      const auto next = co_await mStream->SkipResponse(ReadTimeout(true));
      if (!next) {
        co_return AnswerLost(next.error());
      }
    }
  }

  // Sends no further request to the upstream for this long.
  void TurnAwayFor(milliseconds aTime)
  {
    const auto until = steady_clock::now() + aTime;
    mUpstream.mTurnsAwayUntil = std::max(mUpstream.mTurnsAwayUntil, until);
    LogEvent(log_level::Info,
             "upstream_turns_away",
             { { "request", mForwarded.mInfo.mId },
               { "upstream", mUpstream.mEntry.mId.mText },
               { "for_ms", aTime.count() } });
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
    if (aKind == answer_kind::Relay && IsEventStream(mStream->Head())) {
      co_return co_await RelayStream();
    }
    co_return co_await RelayPlainAnswer(aKind);
  }

  // Ends the attempt and closes the connection, as the answer is too long.
  attempt_result EndAtLimit(std::string_view aLimit, std::size_t aBytes)
  {
    const auto took = steady_clock::now() - mBegin;
    auto result = End(
      attempt_end::Broken,
      std::string(aLimit) + ": too long after " + std::to_string(aBytes) +
        " bytes and " +
        std::to_string(std::chrono::duration_cast<milliseconds>(took).count()) +
        " ms");
    mStream.reset();
    return result;
  }

  // Other answers take the memory too, so that the upstream isn't blamed.
  attempt_result NoMemory(std::size_t aBytes)
  {
    return EndAtLimit("memory for answers", aBytes);
  }

  asio::awaitable<attempt_result> RelayPlainAnswer(answer_kind aKind)
  {
    wire::http_response response;
    response.mStatus = mStream->Head().mStatus;
    response.mHeaders =
      mServices.mProtocol.mAnswerHeaders(mStream->Head().mHeaders);
    while (true) {
      auto piece = co_await mStream->Read(ReadTimeout(true));
      if (!piece) {
        co_return AnswerLost(piece.error());
      }
      if (piece.value().empty()) {
        break;
      }
      response.mBody += piece.value();
      if (!mClaim->Resize(response.mBody.size())) {
        co_return NoMemory(response.mBody.size());
      }
    }
    const bool failed = aKind == answer_kind::Failed;
    mUpstream.mHealth.AddResult(failed, steady_clock::now());
    if (failed || mProgress.mBegun) {
      auto result = End(attempt_end::Failed);
      result.mFailure = std::move(response);
      result.mFailureClaim = mClaim;
      co_return result;
    }
    co_return co_await Send(std::move(response));
  }

  asio::awaitable<attempt_result> Send(wire::http_response aResponse)
  {
    RecordFirstEvent();
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
    mLearning.OnFirstEvent(now);
  }

  asio::awaitable<attempt_result> RelayStream()
  {
    bool first = true;
    while (true) {
      auto piece = co_await mStream->Read(ReadTimeout(first));
      if (!piece) {
        co_return AnswerLost(piece.error());
      }
      auto events = mSplitter.Feed(piece.value());
      if (mSplitter.Overlong()) {
        mUpstream.mHealth.AddResult(true, steady_clock::now());
        co_return EndAtLimit("event", mSplitter.BytesSinceData());
      }
      const auto waiting = events.mBytes.size() + mSplitter.Remainder().size();
      if (!mClaim->Resize(waiting)) {
        co_return NoMemory(waiting);
      }
      const bool finished = mStream->Finished();
      const bool cut = finished && IsCut(first && events.mBytes.empty());
      const bool ends = finished && !cut;
      if (!events.mLastId.empty()) {
        mProgress.mLastEventId = events.mLastId;
      }
      if (ends) {
        events.mBytes += mSplitter.Remainder();
      }
      if (first && !events.mBytes.empty()) {
        first = false;
        RecordFirstEvent();
      }
      if (!events.mBytes.empty()) {
        mLearning.OnEvents(steady_clock::now());
      }
      if (!co_await SendEvents(events.mBytes, ends)) {
        co_return End(attempt_end::CallerDisconnected);
      }
      if (finished) {
        mUpstream.mHealth.AddResult(cut, steady_clock::now());
        co_return cut ? End(attempt_end::Broken, "cut inside an event")
                      : End(attempt_end::Relayed);
      }
    }
  }

  // Returns whether the stream, read to its end, was broken off.
  bool IsCut(bool aWithoutEvents) const
  {
    const bool closed = mStream->Framing() == wire::body_framing::Close;
    return mSplitter.InsideEvent() || (aWithoutEvents && closed);
  }

  // Returns false if the caller has disconnected.
  asio::awaitable<bool> SendEvents(const std::string& aBytes, bool aLast)
  {
    if (!mProgress.mBegun && (aLast || !aBytes.empty())) {
      mProgress.mBegun = true;
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

  const forward_services& mServices;
  const forwarded_request& mForwarded;
  const attempt_target& mTarget;
  upstream& mUpstream;
  wire::http_reply& mReply;
  relay_progress& mProgress;
  attempt_learning mLearning;
  const steady_time mBegin = steady_clock::now();
  wire::sse_splitter mSplitter;
  // The bytes of the answer that wait to be sent to the caller.
  std::shared_ptr<answer_claim> mClaim;
  // Null until the head of an answer has arrived.
  wire::http_stream_ptr mStream;
};

} // namespace

std::string_view
ToText(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Relayed:
      return "relayed";
    case attempt_end::CallerDisconnected:
      return "caller_gone";
    case attempt_end::NotSent:
      return "not_sent";
    case attempt_end::NotRun:
      return "not_run";
    case attempt_end::Failed:
      return "failed";
    case attempt_end::Broken:
      return "broken";
    case attempt_end::TimedOut:
      break;
  }
  return "silent";
}

milliseconds
LeftUntil(steady_time aTime)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aTime - steady_clock::now());
  return std::max(left, milliseconds::zero());
}

asio::awaitable<attempt_result>
RunAttempt(const forward_services& aServices,
           const forwarded_request& aForwarded,
           const attempt_target& aTarget,
           wire::http_reply& aReply,
           relay_progress& aProgress)
{
  attempt run(aServices, aForwarded, aTarget, aReply, aProgress);
  co_return co_await run.Run();
}

} // namespace sapphirespar::gateway
