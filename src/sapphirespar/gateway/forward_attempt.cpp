// One attempt to have a request answered by one upstream.
#include "forward_state.hpp"

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
  {
  }

  asio::awaitable<attempt_result> Run()
  {
    mProgress.mAbort = std::make_shared<wire::call_abort>();
    wire::endpoint place;
    place.mAddress = mUpstream.mEntry.mAddress;
    place.mPort = mUpstream.mEntry.mPort;
    auto opened =
      co_await mServices.mClient.Open(std::move(place),
                                      MakeRequest(),
                                      Patience(true),
                                      wire::connection_choice::Pooled,
                                      mProgress.mAbort);
    if (!opened) {
      co_return OpenFailed(opened.error());
    }
    mStream = std::move(opened).value();
    mUpstream.mHealth.AddResponse();
    ++mProgress.mSends;
    co_return co_await TakeAnswer();
  }

private:
  wire::http_request MakeRequest() const
  {
    forward_facts facts;
    facts.mDeadline =
      LeftUntil(std::min(mForwarded.mDue, mForwarded.mCallerDue));
    facts.mExpected = mUpstream.mEntry.mId;
    facts.mAccount = mForwarded.mAccount;
    facts.mPriority = mForwarded.mPriority;
    facts.mLastEventId = mProgress.mLastEventId;
    const auto& request = mForwarded.mRequest;
    wire::http_request forward;
    forward.mMethod = request.mMethod;
    forward.mTarget = request.mTarget;
    forward.mHeaders =
      mServices.mProtocol.mForwardHeaders(request.mHeaders, facts);
    forward.mBody = request.mBody;
    return forward;
  }

  // How long the upstream may be silent now.
  milliseconds Patience(bool aFirst) const
  {
    const auto left = LeftUntil(mForwarded.mDue);
    return std::min(left,
                    aFirst ? mTarget.mFirstPatience : mTarget.mGapPatience);
  }

  attempt_result End(attempt_end aEnd, std::string aDetail = {})
  {
    attempt_result result;
    result.mEnd = aEnd;
    result.mDetail = std::move(aDetail);
    if (mStream) {
      result.mStatus = mStream->Head().mStatus;
      result.mReusedConnection = mStream->Reused();
    }
    const bool unknown = aEnd == attempt_end::Broken ||
                         aEnd == attempt_end::Silent ||
                         aEnd == attempt_end::Failed;
    mProgress.mMayHaveRun = mProgress.mMayHaveRun || unknown;
    return result;
  }

  attempt_result OpenFailed(const wire::wire_error& aError)
  {
    if (mProgress.mCallerGone) {
      return End(attempt_end::CallerGone);
    }
    if (!aError.mBytesWritten) {
      mUpstream.mHealth.AddConnectFailure(steady_clock::now());
      return End(attempt_end::NotSent, aError.mDetail);
    }
    ++mProgress.mSends;
    return Lost(aError);
  }

  // The answer, or the rest of it, did not come.
  attempt_result Lost(const wire::wire_error& aError)
  {
    if (mProgress.mCallerGone) {
      return End(attempt_end::CallerGone);
    }
    const bool silent = aError.mKind == wire::wire_error_kind::Timeout;
    // Silence until the request's own end says little about the upstream.
    if (!silent || steady_clock::now() < mForwarded.mDue) {
      mUpstream.mHealth.AddResult(true, steady_clock::now());
    }
    return End(silent ? attempt_end::Silent : attempt_end::Broken,
               aError.mDetail);
  }

  asio::awaitable<attempt_result> TakeAnswer()
  {
    while (true) {
      const auto& head = mStream->Head();
      const auto facts =
        mServices.mProtocol.mReadAnswer(head.mStatus, head.mHeaders);
      const auto verdict =
        JudgeAnswer(head.mStatus, facts, mForwarded.mFacts.mId);
      if (verdict != answer_verdict::Foreign) {
        co_return co_await Act(verdict);
      }
      const auto next = co_await mStream->SkipResponse(Patience(true));
      if (!next) {
        co_return Lost(next.error());
      }
    }
  }

  asio::awaitable<attempt_result> Act(answer_verdict aVerdict)
  {
    const auto now = steady_clock::now();
    if (aVerdict == answer_verdict::NotRun) {
      mUpstream.mHealth.AddResult(true, now);
      co_await DiscardBody();
      co_return End(attempt_end::NotRun);
    }
    if (aVerdict == answer_verdict::Unusable) {
      mUpstream.mHealth.AddResult(true, now);
      co_return End(attempt_end::Broken, "unusable answer");
    }
    if (aVerdict == answer_verdict::Relay && IsEventStream(mStream->Head())) {
      co_return co_await RelayStream();
    }
    co_return co_await RelayWhole(aVerdict);
  }

  // Reads a refusal to its end, so that its connection can be used again.
  asio::awaitable<void> DiscardBody()
  {
    constexpr milliseconds kPatience{ 50 };
    while (!mStream->Finished()) {
      if (!co_await mStream->Read(kPatience)) {
        co_return;
      }
    }
    // Gives the connection back.
    co_await mStream->Read(kPatience);
  }

  asio::awaitable<attempt_result> RelayWhole(answer_verdict aVerdict)
  {
    wire::http_response response;
    response.mStatus = mStream->Head().mStatus;
    response.mHeaders =
      mServices.mProtocol.mAnswerHeaders(mStream->Head().mHeaders);
    while (true) {
      auto piece = co_await mStream->Read(Patience(true));
      if (!piece) {
        co_return Lost(piece.error());
      }
      if (piece.value().empty()) {
        break;
      }
      response.mBody += piece.value();
    }
    const bool failed = aVerdict == answer_verdict::Failed;
    mUpstream.mHealth.AddResult(failed, steady_clock::now());
    if (failed || mProgress.mBegun) {
      auto result = End(attempt_end::Failed);
      result.mFailure = std::move(response);
      co_return result;
    }
    co_return co_await Send(std::move(response));
  }

  asio::awaitable<attempt_result> Send(wire::http_response aResponse)
  {
    NoteFirst();
    const bool sent = co_await mReply.Send(std::move(aResponse));
    co_return End(sent ? attempt_end::Relayed : attempt_end::CallerGone);
  }

  void NoteFirst()
  {
    const auto now = steady_clock::now();
    if (!mProgress.mFirstSent) {
      mProgress.mFirstSent = now;
    }
    if (mTarget.mTicket) {
      mTarget.mTicket->FirstEvent();
    }
    if (mTarget.mSharedKey != 0) {
      mUpstream.mPrompts.Add(mTarget.mSharedKey, now);
    }
    if (mForwarded.mEngine) {
      const std::chrono::duration<double, std::milli> took = now - mStarted;
      mUpstream.mHealth.AddDelay(took.count() - mTarget.mPredictedMs, now);
    }
  }

  asio::awaitable<attempt_result> RelayStream()
  {
    bool first = true;
    while (true) {
      auto piece = co_await mStream->Read(Patience(first));
      if (!piece) {
        co_return Lost(piece.error());
      }
      const bool ends = mStream->Finished();
      auto events = mSplitter.Feed(piece.value());
      if (!events.mLastId.empty()) {
        mProgress.mLastEventId = events.mLastId;
      }
      if (ends) {
        events.mBytes += mSplitter.Rest();
      }
      if (first && !events.mBytes.empty()) {
        first = false;
        NoteFirst();
      }
      if (!co_await SendEvents(events.mBytes, ends)) {
        co_return End(attempt_end::CallerGone);
      }
      if (ends) {
        mUpstream.mHealth.AddResult(false, steady_clock::now());
        co_return End(attempt_end::Relayed);
      }
    }
  }

  // Returns false if the caller is gone.
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
  const steady_time mStarted = steady_clock::now();
  wire::sse_splitter mSplitter;
  // Null until the head of an answer has come.
  wire::http_stream_ptr mStream;
};

} // namespace

std::string_view
ToText(attempt_end aEnd)
{
  switch (aEnd) {
    case attempt_end::Relayed:
      return "relayed";
    case attempt_end::CallerGone:
      return "caller_gone";
    case attempt_end::NotSent:
      return "not_sent";
    case attempt_end::NotRun:
      return "not_run";
    case attempt_end::Failed:
      return "failed";
    case attempt_end::Broken:
      return "broken";
    case attempt_end::Silent:
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
