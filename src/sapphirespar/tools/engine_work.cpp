// Waiting for slots, pauses and the generation of tokens.
#include "engine_work.hpp"

#include "sapphirespar/tools/expected_answer.hpp"

#include <algorithm>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// How often a waiting job checks whether its caller has disconnected.
constexpr milliseconds kPollInterval{ 50 };

void
RecordLoad(engine_state& aState)
{
  aState.mCounts.mMostWaiting =
    std::max(aState.mCounts.mMostWaiting, aState.mBatch.Waiting());
  aState.mLoad.Add({ Now(), aState.mBatch.Running(), aState.mBatch.Waiting() });
}

// Whether the job was cancelled, the engine crashed or the caller disconnected.
bool
IsAborted(const engine_state& aState,
          const engine_job& aJob,
          wire::http_reply& aReply)
{
  return aJob.mCancelled || aState.mFaults.mCrash ||
         aReply.CallerDisconnected();
}

// Adds a job to the batch for the lifetime of this object.
class batch_membership
{
public:
  batch_membership(engine_state& aState, job_ptr aJob)
    : mState(aState)
    , mJob(std::move(aJob))
  {
    mState.mBatch.Add(mJob);
    RecordLoad(mState);
  }
  ~batch_membership()
  {
    mState.mBatch.Remove(mJob);
    RecordLoad(mState);
  }
  batch_membership(const batch_membership&) = delete;
  batch_membership& operator=(const batch_membership&) = delete;

private:
  engine_state& mState;
  job_ptr mJob;
};

// Waits for a slot. Returns false if the job is aborted first.
asio::awaitable<bool>
WaitForSlot(engine_state& aState, engine_job& aJob, wire::http_reply& aReply)
{
  while (!aJob.mRunning) {
    if (IsAborted(aState, aJob, aReply)) {
      co_return false;
    }
    co_await WaitForWake(aJob.mWakeTimer, kPollInterval);
  }
  co_return true;
}

// Waits while the job is paused, and releases its slot for that time. Returns
// false if the job is aborted meanwhile.
asio::awaitable<bool>
WaitWhilePaused(engine_state& aState, job_ptr aJob, wire::http_reply& aReply)
{
  if (!aJob->mPaused) {
    co_return true;
  }
  aState.mBatch.Remove(aJob);
  while (aJob->mPaused) {
    if (IsAborted(aState, *aJob, aReply)) {
      // batch_membership removes the job again.
      aState.mBatch.Add(aJob);
      co_return false;
    }
    co_await WaitForWake(aJob->mWakeTimer, kPollInterval);
  }
  aState.mBatch.Add(aJob);
  co_return co_await WaitForSlot(aState, *aJob, aReply);
}

// Returns the time to the next token, which grows with the number of running
// jobs.
microseconds
TokenInterval(const engine_state& aState)
{
  const double otherJobs = std::max(1U, aState.mBatch.Running()) - 1;
  const double base =
    static_cast<double>(aState.mSettings.mTokenInterval.count());
  return ScaledDelay(aState,
                     base * (1 + aState.mSettings.mBatchSlowdown * otherJobs));
}

// Whether the engine generates all tokens at once, without delays.
bool
IsInstant(const engine_state& aState)
{
  return aState.mSettings.mTokenInterval.count() == 0;
}

// Generates and counts the tokens of the next step: one token, or all remaining
// ones if the engine is instant. Returns their text.
std::string
GenerateStep(engine_state& aState, engine_job& aJob)
{
  const unsigned end = IsInstant(aState) ? aJob.mTokens : aJob.mNextToken + 1;
  std::string text;
  for (; aJob.mNextToken < end; ++aJob.mNextToken) {
    text += AnswerToken(aJob.mMarker, aJob.mTokens, aJob.mNextToken);
    ++aState.mCounts.mTokens;
  }
  return text;
}

std::string
StreamEvent(const engine_job& aJob, std::string_view aText)
{
  json::object delta;
  delta["content"] = aText;
  json::object choice;
  choice["index"] = 0;
  choice["delta"] = std::move(delta);
  json::object body;
  body["id"] = aJob.mId;
  body["choices"] = json::array{ std::move(choice) };
  return "data: " + json::serialize(body) + "\n\n";
}

wire::http_response
CompletionResponse(const engine_job& aJob, std::string_view aText)
{
  json::object message;
  message["role"] = "assistant";
  message["content"] = aText;
  json::object choice;
  choice["index"] = 0;
  choice["message"] = std::move(message);
  choice["finish_reason"] = "stop";
  json::object usage;
  usage["completion_tokens"] = aJob.mTokens;
  json::object body;
  body["id"] = aJob.mId;
  body["model"] = aJob.mModel;
  body["choices"] = json::array{ std::move(choice) };
  body["usage"] = std::move(usage);
  return JsonResponse(200, body);
}

// Generates the remaining tokens and sends the answer. If the job is aborted
// first, returns without ending the response, which breaks the connection.
asio::awaitable<void>
Generate(engine_state& aState, job_ptr aJob, wire::http_reply& aReply)
{
  std::string text;
  while (aJob->mNextToken < aJob->mTokens) {
    if (!co_await WaitWhilePaused(aState, aJob, aReply)) {
      co_return;
    }
    if (!IsInstant(aState)) {
      co_await WaitForWake(aJob->mWakeTimer, TokenInterval(aState));
    }
    if (aState.mFaults.mFreeze &&
        !co_await WaitWhileFrozen(aState.mFaults, aReply)) {
      co_return;
    }
    if (IsAborted(aState, *aJob, aReply)) {
      co_return;
    }
    const auto stepText = GenerateStep(aState, *aJob);
    if (!aJob->mStream) {
      text += stepText;
      continue;
    }
    const auto event = StreamEvent(*aJob, stepText);
    if (!co_await aReply.Write(event)) {
      co_return;
    }
  }
  ++aState.mCounts.mFinished;
  aState.mJobs.erase(aJob->mId);
  if (!aJob->mStream) {
    co_await aReply.Send(CompletionResponse(*aJob, text));
    co_return;
  }
  if (co_await aReply.Write("data: [DONE]\n\n")) {
    co_await aReply.Finish();
  }
}

} // namespace

engine_time
Now()
{
  return std::chrono::steady_clock::now();
}

microseconds
ScaledDelay(const engine_state& aState, double aMicroseconds)
{
  return microseconds(
    static_cast<long>(aMicroseconds * aState.mFaults.mSlowFactor));
}

asio::awaitable<void>
RunJob(engine_state& aState,
       job_ptr aJob,
       microseconds aFirstTokenDelay,
       wire::http_reply& aReply)
{
  const batch_membership membership(aState, aJob);
  if (!co_await WaitForSlot(aState, *aJob, aReply)) {
    co_return;
  }
  ++aState.mCounts.mStarted;
  if (aFirstTokenDelay.count() > 0) {
    co_await WaitForWake(aJob->mWakeTimer, aFirstTokenDelay);
  }
  if (IsAborted(aState, *aJob, aReply)) {
    co_return;
  }
  if (aJob->mStream) {
    wire::http_headers headers;
    headers.push_back({ "Content-Type", "text/event-stream" });
    headers.push_back({ "X-Request-Id", aJob->mId });
    if (!co_await aReply.Begin(200, std::move(headers))) {
      co_return;
    }
  }
  co_await Generate(aState, aJob, aReply);
}

} // namespace sapphirespar::tools
