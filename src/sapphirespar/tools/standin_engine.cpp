// The stand-in engine's HTTP API: requests, load reports, orders, audit and
// faults.
#include "sapphirespar/tools/standin_engine.hpp"

#include "engine_work.hpp"

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/tools/expected_answer.hpp"

#include <algorithm>
#include <array>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;

constexpr unsigned kDefaultMaximumTokens = 256;
// With more jobs, the one with the lowest request id is dropped, and can't be
// paused, cancelled or continued after that.
constexpr std::size_t kMaxJobs = 4096;
// If the prompt's prefix is cached, the time to the first token is multiplied
// by this.
constexpr double kCachedFirstTokenShare = 0.3;

// Returns the text of the prompt, or of all messages joined by line ends.
std::string
ExtractPrompt(const json::object& aBody)
{
  const auto* messages = aBody.if_contains("messages");
  if (messages == nullptr || !messages->is_array()) {
    return TextOr(aBody, "prompt", "");
  }
  std::string prompt;
  for (const auto& message : messages->as_array()) {
    if (!prompt.empty()) {
      prompt += '\n';
    }
    if (message.is_object()) {
      prompt += TextOr(message.as_object(), "content", "");
    }
  }
  return prompt;
}

// Creates the job for a request, stores it, and counts the request by its
// prompt's marker.
job_ptr
AddJob(engine_state& aState,
       const json::object& aBody,
       std::string_view aRequestId,
       asio::any_io_executor aExecutor)
{
  const auto prompt = ExtractPrompt(aBody);
  auto job = std::make_shared<engine_job>(
    aRequestId.empty() ? NewRequestId().mText : std::string(aRequestId),
    aExecutor);
  const auto limit = static_cast<unsigned>(
    std::max(1.0, NumberOr(aBody, "max_tokens", kDefaultMaximumTokens)));
  job->mMarker = PromptMarker(prompt);
  job->mModel = TextOr(aBody, "model", "");
  job->mTokens = AnswerLength(prompt, aState.mSettings.mSeed, limit);
  job->mPriority = static_cast<int>(NumberOr(aBody, "priority", 0));
  job->mStream = FlagOr(aBody, "stream", false);
  if (aState.mJobs.size() >= kMaxJobs) {
    aState.mJobs.erase(aState.mJobs.begin());
  }
  aState.mJobs[job->mId] = job;
  ++aState.mReceived[job->mMarker];
  return job;
}

asio::awaitable<void>
ServeCompletion(engine_state& aState,
                const wire::http_request& aRequest,
                wire::http_reply& aReply)
{
  const auto body = ParseObject(aRequest.mBody);
  if (!body) {
    co_await aReply.Send(ErrorResponse(400, "expected a JSON object"));
    co_return;
  }
  const auto model = TextOr(*body, "model", "");
  if (!aState.mModels.empty() && !aState.mModels.contains(model)) {
    co_await aReply.Send(ErrorResponse(404, "this model is not loaded"));
    co_return;
  }
  const auto job = AddJob(aState,
                          *body,
                          aRequest.Header("X-Request-Id"),
                          co_await asio::this_coro::executor);
  const bool cached = aState.mCache.LookUpOrInsert(ExtractPrompt(*body), Now());
  const double fullDelay =
    static_cast<double>(aState.mSettings.mFirstToken.count());
  const auto firstTokenDelay = ScaledDelay(
    aState, cached ? fullDelay * kCachedFirstTokenShare : fullDelay);
  co_await RunJob(aState, job, firstTokenDelay, aReply);
}

// Pauses, resumes, cancels or continues one request. The response to "continue"
// streams the answer from the token in the query.
asio::awaitable<void>
ChangeRequest(engine_state& aState,
              std::string aId,
              std::string aAction,
              std::string_view aQuery,
              wire::http_reply& aReply)
{
  const auto found = aState.mJobs.find(aId);
  if (found == aState.mJobs.end()) {
    co_await aReply.Send(ErrorResponse(404, "no such request"));
    co_return;
  }
  const auto job = found->second;
  if (aAction == "continue") {
    // A copy of the job continues on this connection. Cancelling the original
    // ends the response on the old connection.
    job->mCancelled = true;
    job->mWakeTimer.cancel();
    auto continuation = std::make_shared<engine_job>(
      job->mId, co_await asio::this_coro::executor);
    continuation->mMarker = job->mMarker;
    continuation->mModel = job->mModel;
    continuation->mTokens = job->mTokens;
    continuation->mPriority = job->mPriority;
    continuation->mStream = true;
    const auto from = QueryNumber(aQuery, "from", 0);
    continuation->mNextToken = static_cast<unsigned>(
      std::min<std::uint64_t>(from, continuation->mTokens));
    found->second = continuation;
    co_await RunJob(aState, continuation, microseconds(0), aReply);
    co_return;
  }
  const bool known =
    aAction == "pause" || aAction == "resume" || aAction == "cancel";
  if (!known) {
    co_await aReply.Send(ErrorResponse(404, "no such action"));
    co_return;
  }
  job->mPaused = aAction == "pause";
  job->mCancelled = job->mCancelled || aAction == "cancel";
  job->mWakeTimer.cancel();
  co_await aReply.Send(JsonResponse(200, json::object()));
}

wire::http_response
LoadReport(const engine_state& aState)
{
  const auto sample = aState.mLoad.At(Now() - aState.mFaults.mLoadLag);
  json::object body;
  body["running"] = sample.mRunning;
  body["queued"] = sample.mQueued;
  body["slots"] = aState.mSettings.mSlots;
  body["role"] = aState.mRole;
  body["models"] = json::array(aState.mModels.begin(), aState.mModels.end());
  return JsonResponse(200, body);
}

wire::http_response
ApplyOrder(engine_state& aState, const wire::http_request& aRequest)
{
  const auto order = ParseObject(aRequest.mBody);
  if (!order) {
    return ErrorResponse(400, "expected a JSON object");
  }
  const auto fence = static_cast<std::uint64_t>(NumberOr(*order, "fence", 0));
  if (aState.mSettings.mChecksFencing && fence < aState.mFence) {
    return ErrorResponse(409, "the fencing number is old");
  }
  aState.mFence = std::max(aState.mFence, fence);
  const auto action = TextOr(*order, "order", "");
  const auto model = TextOr(*order, "model", "");
  if (action == "load_model") {
    aState.mModels.insert(model);
  } else if (action == "unload_model") {
    aState.mModels.erase(model);
  } else if (action == "change_role") {
    aState.mRole = TextOr(*order, "role", aState.mRole);
  } else {
    return ErrorResponse(400, "no such order");
  }
  return LoadReport(aState);
}

wire::http_response
AuditReport(const engine_state& aState)
{
  json::object starts;
  for (const auto& [marker, count] : aState.mReceived) {
    starts[marker] = count;
  }
  json::object body;
  body["starts"] = std::move(starts);
  body["started"] = aState.mCounts.mStarted;
  body["finished"] = aState.mCounts.mFinished;
  body["tokens"] = aState.mCounts.mTokens;
  body["most_waiting"] = aState.mCounts.mMostWaiting;
  return JsonResponse(200, body);
}

wire::http_response
ServeEngineFaults(engine_state& aState, const wire::http_request& aRequest)
{
  auto response = ServeFaults(aState.mFaults, aRequest);
  if (aState.mFaults.mCrash) {
    // A crash loses the engine's memory, so all jobs end.
    for (auto& [id, job] : aState.mJobs) {
      job->mCancelled = true;
      job->mWakeTimer.cancel();
    }
    aState.mJobs.clear();
  }
  return response;
}

asio::awaitable<void>
Handle(engine_state& aState,
       const wire::http_request& aRequest,
       wire::http_reply& aReply)
{
  const auto target = wire::SplitTarget(aRequest.mTarget);
  const auto parts = SplitPath(target.mPath);
  const bool post = aRequest.mMethod == "POST";
  if (target.mPath == "/faults") {
    co_await aReply.Send(ServeEngineFaults(aState, aRequest));
    co_return;
  }
  if (target.mPath == "/audit") {
    co_await aReply.Send(AuditReport(aState));
    co_return;
  }
  if (!co_await WaitWhileFrozen(aState.mFaults, aReply)) {
    co_return;
  }
  if (post && (target.mPath == "/v1/chat/completions" ||
               target.mPath == "/v1/completions")) {
    co_await ServeCompletion(aState, aRequest, aReply);
  } else if (target.mPath == "/v1/load") {
    co_await aReply.Send(LoadReport(aState));
  } else if (target.mPath == "/v1/cache/events") {
    const auto from = QueryNumber(target.mQuery, "from", 0);
    co_await aReply.Send(JsonResponse(200, aState.mCache.Events(from, Now())));
  } else if (post && target.mPath == "/v1/orders") {
    co_await aReply.Send(ApplyOrder(aState, aRequest));
  } else if (post && parts.size() == 4 && parts[1] == "requests") {
    std::string id(parts[2]);
    std::string action(parts[3]);
    co_await ChangeRequest(
      aState, std::move(id), std::move(action), target.mQuery, aReply);
  } else {
    co_await aReply.Send(ErrorResponse(404, "no such page"));
  }
}

} // namespace

standin_engine::standin_engine(asio::io_context& aContext,
                               engine_settings aSettings)
{
  const auto address = aSettings.mAddress;
  const auto port = aSettings.mPort;
  auto state = std::make_shared<engine_state>(std::move(aSettings));
  mServer = StartServer(
    aContext,
    address,
    port,
    [state](const wire::http_request& aRequest, wire::http_reply& aReply) {
      return Handle(*state, aRequest, aReply);
    });
}

standin_engine::~standin_engine() = default;

std::uint16_t
standin_engine::Port() const
{
  return mServer->Port();
}

} // namespace sapphirespar::tools
