// Admission, attempts, retries and final answers of forwarded requests.
#include "sapphirespar/gateway/forward.hpp"

#include "after_attempt.hpp"
#include "attempt_race.hpp"
#include "forward_admission.hpp"
#include "forward_record.hpp"
#include "forward_state.hpp"
#include "peer_relay.hpp"
#include "placement.hpp"
#include "ration_waiting.hpp"
#include "run_move.hpp"
#include "stream_takeover.hpp"

#include <algorithm>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Attempts that were aborted may outlive the request; they keep the forwarder
// alive, but use neither the request nor the reply once it has ended.
class request_forwarder : public std::enable_shared_from_this<request_forwarder>
{
public:
  request_forwarder(asio::any_io_executor aExecutor,
                    const forward_services& aServices,
                    const wire::http_request& aRequest,
                    wire::http_reply& aReply)
    : mServices(aServices)
    , mReply(aReply)
    , mForwarded(aRequest)
    , mRace(std::move(aExecutor),
            aServices,
            mForwarded,
            aReply,
            mProgress,
            [this](const auto& aAttempt, const auto& aResult) {
              RecordAttempt(mServices, mForwarded, aAttempt, aResult);
            })
  {
  }

  asio::awaitable<void> Run()
  {
    mForwarded.mInfo =
      mServices.mProtocol.mReadRequest(mForwarded.mRequest.mHeaders);
    mRoutingAge = mServices.mRouting.Age(mArrivalBootTime);
    auto refusal =
      AdmitRequest(mServices, mForwarded, mArrivalBootTime, mRoutingAge);
    if (!refusal) {
      mReply.OnCallerDisconnect([this] { OnCallerDisconnect(); });
      refusal = co_await RunAttemptsToTheEnd();
    }
    if (refusal && !mProgress.mCallerGone) {
      mOutcome.mStatus = refusal->mStatus;
      mOutcome.mName = refusal->mReason;
      mOutcome.mRetryAfter = refusal->mRetryAfter;
      auto response = ToResponse(*refusal);
      co_await SendWhole(std::move(response));
    }
    if (mProgress.mBegun && mOutcome.mAnswered == answered_part::Whole) {
      mServices.mStreams.End(StreamOf(mForwarded));
    }
    RecordRequest(mServices, mForwarded, mProgress, mOutcome, mRoutingAge);
  }

private:
  // Sends an answer that this gateway has complete.
  asio::awaitable<void> SendWhole(wire::http_response aResponse)
  {
    const bool sent = co_await mReply.Send(std::move(aResponse));
    if (sent) {
      mOutcome.mAnswered = answered_part::Whole;
    }
  }

  void OnCallerDisconnect()
  {
    mProgress.mCallerGone = true;
    mRace.AbortAll();
    mRelayAbort->Abort();
  }

  // Runs the attempts. No attempt uses the reply once this has returned or
  // thrown.
  asio::awaitable<std::optional<refusal_answer>> RunAttemptsToTheEnd()
  {
    std::exception_ptr problem;
    std::optional<refusal_answer> refusal;
    try {
      refusal = co_await RunAttempts();
    } catch (...) {
      problem = std::current_exception();
    }
    mReply.OnCallerDisconnect(nullptr);
    mRace.AbortAll();
    co_await mRace.WaitForReply();
    if (problem) {
      std::rethrow_exception(problem);
    }
    co_return refusal;
  }

  // Tries upstreams until the request is answered or no retry is allowed.
  // Returns a refusal if the caller still needs an answer.
  asio::awaitable<std::optional<refusal_answer>> RunAttempts()
  {
    while (true) {
      if (mRace.Running() == 0) {
        if (MayRelay() && co_await Relay()) {
          co_return mRelayRefusal;
        }
        if (TakesUpStream(mForwarded) && !mVersionSought) {
          mVersionSought = true;
          const auto refusal =
            co_await FindStreamVersion(mServices, mForwarded, mProgress);
          if (refusal || mProgress.mCallerGone) {
            EndWith(attempt_end::CallerDisconnected, 0);
            co_return refusal;
          }
        }
        auto target = Place();
        // Without a try, nothing speaks for a fault of the path.
        if (!target && !mTried.empty() && co_await MayRelaySoon()) {
          continue;
        }
        if (!target &&
            co_await WaitForRation(mServices, mForwarded, mRationWait)) {
          if (mProgress.mCallerGone) {
            EndWith(attempt_end::CallerDisconnected, 0);
            co_return std::nullopt;
          }
          continue;
        }
        mRationWait.reset();
        if (!target) {
          const auto reason =
            mProgress.mSoftware ? "no_upstream_of_version" : "no_upstream";
          co_return co_await FinishUnanswered(reason, kRetryLater);
        }
        // A stream that is taken up can't go to upstreams of other versions.
        if (mProgress.mSends == 0 && !mProgress.mSoftware) {
          if (const auto refusal = CheckWait(mServices, mForwarded, *target)) {
            co_return refusal;
          }
        }
        Start(std::move(*target));
      }
      co_await mRace.Wait();
      if (mProgress.mCallerGone) {
        EndWith(attempt_end::CallerDisconnected, 0);
        co_return std::nullopt;
      }
      auto result = mRace.TakeEnded();
      if (!result) {
        TryBesideSilentAttempts();
        continue;
      }
      if (result->mEnd == attempt_end::Relayed ||
          result->mEnd == attempt_end::CallerDisconnected) {
        EndWith(result->mEnd, result->mStatus);
        co_return std::nullopt;
      }
      if (result->mFailure) {
        mFailure = std::move(result->mFailure);
        mFailureMemory = std::move(result->mFailureMemory);
      }
      EndWith(result->mEnd, result->mStatus);
      if (GoesOnAfter(*result)) {
        continue;
      }
      if (!MayTryAgain(result->mEnd)) {
        if (result->mEnd == attempt_end::NotSent && co_await MayRelaySoon()) {
          continue;
        }
        co_return co_await FinishUnanswered(ToText(result->mEnd), kRetrySoon);
      }
      if (result->mStaleUpstream) {
        // It may be tried again, once.
        std::erase(mTried, result->mStaleUpstream);
        mProgress.mFreshConnection = true;
      }
    }
  }

  // Whether another gateway may serve the request, as this one reaches no
  // upstream. It is asked once.
  bool MayRelay() const
  {
    const bool mayRepeat =
      !mProgress.mMayHaveRun || mForwarded.mRoute->mIdempotent;
    return mServices.mReach.IsCutOff() && mayRepeat && !mRelayed &&
           !mProgress.mBegun && !mForwarded.mInfo.mFromGateway;
  }

  // The same for a request that would be refused, once it is known whether
  // upstreams can be reached.
  asio::awaitable<bool> MayRelaySoon()
  {
    co_await WaitForProbes(mServices, mForwarded, mProgress);
    co_return MayRelay() && !mProgress.mCallerGone;
  }

  // Lets another gateway serve the request. Returns false if none could be
  // reached; otherwise the request is over, with mRelayRefusal.
  asio::awaitable<bool> Relay()
  {
    mRelayed = true;
    auto result = co_await RelayToGateway(
      mServices, mForwarded, mReply, mProgress, mRelayAbort);
    mOutcome.mName = "relayed_to_gateway";
    mOutcome.mStatus = result.mStatus;
    switch (result.mEnd) {
      case relay_end::Relayed:
        mOutcome.mAnswered = answered_part::Whole;
        co_return true;
      case relay_end::CallerDisconnected:
        EndWith(attempt_end::CallerDisconnected, result.mStatus);
        co_return true;
      case relay_end::Broken:
        mProgress.mMayHaveRun = true;
        EndWith(attempt_end::Broken, result.mStatus);
        mRelayRefusal = co_await FinishUnanswered("relay_broken", kRetrySoon);
        co_return true;
      case relay_end::NotRun:
        break;
    }
    if (!result.mRefusal) {
      co_return false;
    }
    if (mProgress.mMayHaveRun) {
      mRelayRefusal = MakeRefusal("relay_refused", kRetrySoon);
    } else {
      co_await SendWhole(std::move(*result.mRefusal));
    }
    co_return true;
  }

  void EndWith(attempt_end aEnd, unsigned aStatus)
  {
    mOutcome.mStatus = aStatus;
    mOutcome.mName = ToText(aEnd);
    if (aEnd == attempt_end::Relayed) {
      mOutcome.mAnswered = answered_part::Whole;
    } else if (mProgress.mBegun) {
      mOutcome.mAnswered = answered_part::Part;
    }
  }

  std::optional<attempt_target> Place() const
  {
    return PlaceRequest(mServices, mForwarded, mTried, mProgress.mSoftware);
  }

  void Start(attempt_target aTarget)
  {
    mTried.push_back(aTarget.mUpstream);
    aTarget.mPermit = mServices.mRateGuard.TakePermit(aTarget.mUpstream->mKey);
    if (mForwarded.mEngine) {
      const auto& figures = mServices.mModels.Of(mForwarded.mPool).Figures();
      mServices.mPrefill.Add(aTarget.mInteractive,
                             policy::PrefillMs(figures, aTarget.mPrefillTokens),
                             steady_clock::now());
    }
    mRace.Start(std::move(aTarget), shared_from_this());
  }

  // Whether the request goes on without a retry: from a copy, or by another
  // attempt.
  bool GoesOnAfter(const attempt_result& aResult)
  {
    if (aResult.mMove && GoOnFromCopy(*aResult.mMove)) {
      return true;
    }
    if (mRace.Running() > 0 && aResult.mEnd == attempt_end::NotSent) {
      TryBeside(aResult.mEnd);
    }
    return mRace.Running() > 0;
  }

  // Goes on with a run that was stopped where its memory was copied to, unless
  // another attempt answers.
  bool GoOnFromCopy(run_move& aMove)
  {
    auto target = mRace.Running() == 0 ? aMove.TakeTarget()
                                       : std::optional<attempt_target>();
    if (!target) {
      aMove.Abandon();
      return false;
    }
    Start(std::move(*target));
    return true;
  }

  // Starts an attempt beside those whose upstreams are silent. A silent one may
  // still answer first.
  void TryBesideSilentAttempts()
  {
    if (!mRace.IsSilent()) {
      return;
    }
    const auto now = steady_clock::now();
    mRace.NoteSilence(
      [now](upstream& aUpstream) { aUpstream.mHealth.AddResult(true, now); });
    mServices.mReach.Suspect();
    if (MayRelay() && MayTryAgain(attempt_end::TimedOut)) {
      mRace.AbortAll();
      mProgress.mMayHaveRun = true;
      return;
    }
    if (mProgress.mSends < mForwarded.mRoute->mMaximumAttempts) {
      TryBeside(attempt_end::TimedOut);
    }
  }

  // Starts an attempt beside the running ones if one is allowed after an
  // attempt with such an end, and another upstream is left.
  void TryBeside(attempt_end aEnd)
  {
    auto target = Place();
    if (target && MayTryAgain(aEnd)) {
      Start(std::move(*target));
    }
  }

  bool MayTryAgain(attempt_end aEnd)
  {
    return TakeRetry(mServices, mForwarded, mProgress, mTried.size(), aEnd);
  }

  // Ends a request that no further attempt is made for. Returns a refusal if
  // the caller still needs an answer.
  asio::awaitable<std::optional<refusal_answer>> FinishUnanswered(
    std::string_view aReason,
    milliseconds aRetryAfter)
  {
    if (mProgress.mBegun) {
      // The caller has part of the answer. Closing the connection shows that it
      // is incomplete.
      co_return std::nullopt;
    }
    if (mFailure) {
      auto response = std::move(*mFailure);
      co_await SendWhole(std::move(response));
      co_return std::nullopt;
    }
    const bool late = LeftUntil(mForwarded.mDeadline) <= kTimerTolerance;
    if (late && mProgress.mMayHaveRun) {
      co_return refusal_answer{ 504, "timeout" };
    }
    co_return MakeRefusal(aReason, aRetryAfter);
  }

  refusal_answer MakeRefusal(std::string_view aReason,
                             milliseconds aRetryAfter) const
  {
    return RefusalAfter(mServices, mForwarded, mProgress, aReason, aRetryAfter);
  }

  const forward_services& mServices;
  wire::http_reply& mReply;
  forwarded_request mForwarded;
  const boot_time mArrivalBootTime = BootNow();
  std::optional<boot_clock::duration> mRoutingAge;
  relay_progress mProgress;
  attempt_race mRace;
  std::vector<upstream_ptr> mTried;
  // The latest error answer of an upstream, for the caller if none is better.
  std::optional<wire::http_response> mFailure;
  std::shared_ptr<memory_claim> mFailureMemory;
  request_outcome mOutcome;
  const wire::call_abort_ptr mRelayAbort = std::make_shared<wire::call_abort>();
  // Another gateway has been asked to serve the request.
  bool mRelayed = false;
  std::optional<refusal_answer> mRelayRefusal;
  // Set while the request waits for a ration.
  std::unique_ptr<ration_wait> mRationWait;
  // The version of a stream that is taken up has been looked for.
  bool mVersionSought = false;
};

} // namespace

asio::awaitable<void>
ServeForward(const forward_services& aServices,
             const wire::http_request& aRequest,
             wire::http_reply& aReply)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto forwarder =
    std::make_shared<request_forwarder>(executor, aServices, aRequest, aReply);
  co_await forwarder->Run();
}

} // namespace sapphirespar::gateway
