// Slots, pauses and the pace of tokens.
#include "engine_work.hpp"

#include "sapphirespar/tools/expected_answer.hpp"

#include <algorithm>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// How often a waiting job looks whether its caller has gone.
constexpr milliseconds kLookAgain{ 50 };

void
NoteLoad(engine_state& aState)
{
  aState.mCounts.mMostWaiting =
    std::max(aState.mCounts.mMostWaiting, aState.mBatch.Waiting());
  aState.mLoad.Add({ Now(), aState.mBatch.Running(), aState.mBatch.Waiting() });
}

bool
Gone(const engine_state& aState,
     const engine_job& aJob,
     wire::http_reply& aReply)
{
  return aJob.mCancelled || aState.mFaults.mCrash || aReply.CallerGone();
}

// A place in the batch for as long as it lives.
class batch_place
{
public:
  batch_place(engine_state& aState, job_ptr aJob)
    : mState(aState)
    , mJob(std::move(aJob))
  {
    mState.mBatch.Enter(mJob);
    NoteLoad(mState);
  }
  ~batch_place()
  {
    mState.mBatch.Leave(mJob);
    NoteLoad(mState);
  }
  batch_place(const batch_place&) = delete;
  batch_place& operator=(const batch_place&) = delete;

private:
  engine_state& mState;
  job_ptr mJob;
};

// Waits for a slot; returns false if the job is over before it gets one.
asio::awaitable<bool>
WaitForSlot(engine_state& aState, engine_job& aJob, wire::http_reply& aReply)
{
  while (!aJob.mRunning) {
    if (Gone(aState, aJob, aReply)) {
      co_return false;
    }
    co_await WaitForSignal(aJob.mSignal, kLookAgain);
  }
  co_return true;
}

// Waits while the job is paused; it gives its slot up meanwhile.
asio::awaitable<bool>
OutlastPause(engine_state& aState, job_ptr aJob, wire::http_reply& aReply)
{
  if (!aJob->mPaused) {
    co_return true;
  }
  aState.mBatch.Leave(aJob);
  while (aJob->mPaused) {
    if (Gone(aState, *aJob, aReply)) {
      aState.mBatch.Enter(aJob);
      co_return false;
    }
    co_await WaitForSignal(aJob->mSignal, kLookAgain);
  }
  aState.mBatch.Enter(aJob);
  co_return co_await WaitForSlot(aState, *aJob, aReply);
}

// The time to the next token while so many run.
microseconds
TokenInterval(const engine_state& aState)
{
  const double others = std::max(1U, aState.mBatch.Running()) - 1;
  const double base =
    static_cast<double>(aState.mSettings.mTokenInterval.count());
  return Slowed(aState, base * (1 + aState.mSettings.mBatchSlowdown * others));
}

bool
IsInstant(const engine_state& aState)
{
  return aState.mSettings.mTokenInterval.count() == 0;
}

// Makes the tokens of the next step: one, or at an instant engine the rest.
std::string
NextPieces(engine_state& aState, engine_job& aJob)
{
  const unsigned end = IsInstant(aState) ? aJob.mTokens : aJob.mNext + 1;
  std::string text;
  for (; aJob.mNext < end; ++aJob.mNext) {
    text += AnswerPiece(aJob.mMarker, aJob.mTokens, aJob.mNext);
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
WholeAnswer(const engine_job& aJob, std::string_view aText)
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
  return JsonAnswer(200, body);
}

// Generates the rest of the answer. Returns early, which breaks the
// connection, if the job is over before its end.
asio::awaitable<void>
Generate(engine_state& aState, job_ptr aJob, wire::http_reply& aReply)
{
  std::string text;
  while (aJob->mNext < aJob->mTokens) {
    if (!co_await OutlastPause(aState, aJob, aReply)) {
      co_return;
    }
    if (!IsInstant(aState)) {
      co_await WaitForSignal(aJob->mSignal, TokenInterval(aState));
    }
    if (aState.mFaults.mFreeze &&
        !co_await OutlastFreeze(aState.mFaults, aReply)) {
      co_return;
    }
    if (Gone(aState, *aJob, aReply)) {
      co_return;
    }
    const auto pieces = NextPieces(aState, *aJob);
    if (!aJob->mStream) {
      text += pieces;
      continue;
    }
    const auto event = StreamEvent(*aJob, pieces);
    if (!co_await aReply.Write(event)) {
      co_return;
    }
  }
  ++aState.mCounts.mFinished;
  aState.mJobs.erase(aJob->mId);
  if (!aJob->mStream) {
    co_await aReply.Send(WholeAnswer(*aJob, text));
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
Slowed(const engine_state& aState, double aMicroseconds)
{
  return microseconds(
    static_cast<long>(aMicroseconds * aState.mFaults.mSlowFactor));
}

asio::awaitable<void>
RunJob(engine_state& aState,
       job_ptr aJob,
       microseconds aFirstToken,
       wire::http_reply& aReply)
{
  const batch_place place(aState, aJob);
  if (!co_await WaitForSlot(aState, *aJob, aReply)) {
    co_return;
  }
  ++aState.mCounts.mStarted;
  if (aFirstToken.count() > 0) {
    co_await WaitForSignal(aJob->mSignal, aFirstToken);
  }
  if (Gone(aState, *aJob, aReply)) {
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
