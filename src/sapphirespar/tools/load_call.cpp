// Sends a request to one entry after another and checks its answer.
#include "load_call.hpp"

#include "sapphirespar/base/ids.hpp"

#include "sse_reader.hpp"
#include "standin_http.hpp"

#include <algorithm>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr unsigned kOk = 200;
// Bounds of the delay before another try. A response's retry_after_ms is
// clamped to them.
constexpr milliseconds kMaxRetryDelay{ 2000 };
constexpr milliseconds kMinRetryDelay{ 20 };

// The result of one try at one entry.
struct try_result
{
  outcome mOutcome = outcome::Unknown;
  // False if nothing of the request was sent.
  bool mReachedEntry = true;
  bool mAnswered = false;
  answer_check mCheck = answer_check::Truncated;
  steady::time_point mFirstToken{};
  unsigned mTokens = 0;
  milliseconds mRetryAfter{ 0 };
  std::string mReason;
};

// The parts of a request that all its tries share.
struct call_plan
{
  const class_load& mLoad;
  std::string mPrompt;
  milliseconds mCallerTimeout;
};

// The idempotency key of one try; empty for a class without one.
struct try_key
{
  std::string mText;
  // Whether no earlier try has sent it.
  bool mIsNew = true;
};

outcome
ParseOutcome(std::string_view aText)
{
  if (aText == ToText(outcome::NotRun)) {
    return outcome::NotRun;
  }
  return aText == ToText(outcome::Done) ? outcome::Done : outcome::Unknown;
}

try_result
FromWireError(const wire::wire_error& aError)
{
  try_result result;
  result.mReachedEntry = aError.mBytesWritten;
  result.mOutcome = aError.mBytesWritten ? outcome::Unknown : outcome::NotRun;
  result.mReason = wire::ToText(aError.mKind);
  return result;
}

// Reads the outcome, reason and retry delay from an error response.
try_result
FromRefusal(const wire::http_response& aResponse)
{
  try_result result;
  result.mReason = "status_" + std::to_string(aResponse.mStatus);
  const auto body = ParseObject(aResponse.mBody);
  const auto* error = body ? body->if_contains("error") : nullptr;
  if (error == nullptr || !error->is_object()) {
    return result;
  }
  const auto& details = error->as_object();
  result.mOutcome = ParseOutcome(TextOr(details, "outcome", ""));
  result.mReason = TextOr(details, "code", result.mReason);
  result.mRetryAfter =
    milliseconds(static_cast<long>(NumberOr(details, "retry_after_ms", 0)));
  return result;
}

wire::http_request
EngineRequest(const call_plan& aPlan)
{
  json::object message;
  message["role"] = "user";
  message["content"] = aPlan.mPrompt;
  json::object body;
  body["model"] = aPlan.mLoad.mModel;
  body["messages"] = json::array{ std::move(message) };
  body["max_tokens"] = aPlan.mLoad.mMaximumTokens;
  body["stream"] = aPlan.mLoad.mStream;
  wire::http_request request;
  request.mTarget = "/v1/chat/completions";
  request.mBody = json::serialize(body);
  return request;
}

wire::http_request
ServiceRequest(const call_plan& aPlan)
{
  json::object body;
  body["note"] = aPlan.mPrompt;
  wire::http_request request;
  request.mTarget =
    "/v1/services/" + aPlan.mLoad.mService + "/" + aPlan.mLoad.mPath;
  request.mBody = json::serialize(body);
  return request;
}

wire::http_request
MakeRequest(const call_plan& aPlan, const try_key& aKey)
{
  auto request = aPlan.mLoad.mKind == upstream_kind::Engine
                   ? EngineRequest(aPlan)
                   : ServiceRequest(aPlan);
  request.mMethod = "POST";
  auto& headers = request.mHeaders;
  headers.push_back({ "Content-Type", "application/json" });
  headers.push_back({ "X-Class", aPlan.mLoad.mClass });
  headers.push_back({ "Authorization", "Bearer " + aPlan.mLoad.mBearer });
  if (!aKey.mText.empty()) {
    headers.push_back({ "Idempotency-Key", aKey.mText });
    headers.push_back({ "X-First-Attempt", aKey.mIsNew ? "true" : "false" });
  }
  return request;
}

// Extracts the text from the body of a response and checks it.
try_result
CheckBody(const call_plan& aPlan,
          const wire::http_response& aResponse,
          const std::string& aKey)
{
  try_result result;
  result.mFirstToken = steady::now();
  result.mOutcome = outcome::Done;
  result.mAnswered = true;
  result.mCheck = answer_check::Garbled;
  const auto body = ParseObject(aResponse.mBody);
  if (!body) {
    return result;
  }
  if (aPlan.mLoad.mKind == upstream_kind::Service) {
    const bool sameKey = TextOr(*body, "key", "") == aKey;
    result.mCheck =
      sameKey ? answer_check::Complete : answer_check::OtherRequest;
    return result;
  }
  boost::system::error_code error;
  const json::value document = *body;
  const auto* text = document.find_pointer("/choices/0/message/content", error);
  const auto* tokens = document.find_pointer("/usage/completion_tokens", error);
  if (text != nullptr && text->is_string()) {
    result.mCheck = CheckAnswer(aPlan.mPrompt, text->as_string());
  }
  if (tokens != nullptr && tokens->is_int64()) {
    result.mTokens = static_cast<unsigned>(tokens->as_int64());
  }
  return result;
}

asio::awaitable<try_result>
FetchResponse(const call_context& aContext,
              const call_plan& aPlan,
              wire::endpoint aEntry,
              try_key aKey)
{
  auto request = MakeRequest(aPlan, aKey);
  const auto response = co_await aContext.mClient.Fetch(
    aEntry, std::move(request), aPlan.mCallerTimeout);
  if (!response) {
    co_return FromWireError(response.error());
  }
  if (response.value().mStatus != kOk) {
    co_return FromRefusal(response.value());
  }
  co_return CheckBody(aPlan, response.value(), aKey.mText);
}

milliseconds
TimeUntil(steady::time_point aTime)
{
  return std::chrono::duration_cast<milliseconds>(
    std::max(aTime - steady::now(), steady::duration::zero()));
}

// Reads a body to its proper end. Returns an empty string if it breaks off.
asio::awaitable<std::string>
ReadBody(wire::http_stream& aStream, steady::time_point aDeadline)
{
  std::string body;
  while (true) {
    auto piece = co_await aStream.Read(TimeUntil(aDeadline));
    if (!piece) {
      co_return std::string();
    }
    if (piece.value().empty()) {
      co_return body;
    }
    body += piece.value();
  }
}

std::string
FailureReason(const wire::wire_error& aError, const sse_reader& aEvents)
{
  if (!aEvents.ErrorOutcome().empty()) {
    return "error_event";
  }
  const bool timeout = aError.mKind == wire::wire_error_kind::Timeout;
  return timeout ? "timeout" : "broke_off";
}

// Reads a streamed answer to its end and checks it.
asio::awaitable<try_result>
ReadStream(const call_plan& aPlan, wire::http_stream& aStream)
{
  try_result result;
  sse_reader events;
  // Of the next token; other bytes don't extend it.
  auto deadline = steady::now() + aPlan.mCallerTimeout;
  while (true) {
    auto piece = co_await aStream.Read(TimeUntil(deadline));
    if (!piece) {
      result.mReason = FailureReason(piece.error(), events);
      break;
    }
    if (piece.value().empty()) {
      result.mAnswered = events.Done();
      result.mReason = events.Done() ? "" : "ended_early";
      break;
    }
    events.Add(piece.value());
    if (result.mTokens == 0 && events.Tokens() > 0) {
      result.mFirstToken = steady::now();
    }
    if (events.Tokens() > result.mTokens) {
      deadline = steady::now() + aPlan.mCallerTimeout;
    }
    result.mTokens = events.Tokens();
  }
  result.mCheck = CheckAnswer(aPlan.mPrompt, events.Text());
  result.mOutcome = result.mAnswered ? outcome::Done : outcome::Unknown;
  if (!events.ErrorOutcome().empty()) {
    result.mOutcome = ParseOutcome(events.ErrorOutcome());
  }
  co_return result;
}

asio::awaitable<try_result>
OpenStream(const call_context& aContext,
           const call_plan& aPlan,
           wire::endpoint aEntry,
           try_key aKey)
{
  const auto deadline = steady::now() + aPlan.mCallerTimeout;
  auto request = MakeRequest(aPlan, aKey);
  auto opened = co_await aContext.mClient.Open(
    aEntry, std::move(request), aPlan.mCallerTimeout);
  if (!opened) {
    co_return FromWireError(opened.error());
  }
  auto& stream = *opened.value();
  if (stream.Head().mStatus == kOk) {
    co_return co_await ReadStream(aPlan, stream);
  }
  auto response = stream.Head();
  response.mBody = co_await ReadBody(stream, deadline);
  co_return FromRefusal(response);
}

asio::awaitable<try_result>
TryOnce(const call_context& aContext,
        const call_plan& aPlan,
        wire::endpoint aEntry,
        try_key aKey)
{
  if (aPlan.mLoad.mKind == upstream_kind::Engine && aPlan.mLoad.mStream) {
    co_return co_await OpenStream(
      aContext, aPlan, std::move(aEntry), std::move(aKey));
  }
  co_return co_await FetchResponse(
    aContext, aPlan, std::move(aEntry), std::move(aKey));
}

// Requests an idempotency token from an entry. Returns an empty string on any
// failure.
asio::awaitable<std::string>
FetchToken(const call_context& aContext,
           const call_plan& aPlan,
           wire::endpoint aEntry)
{
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/tokens";
  request.mHeaders.push_back(
    { "Authorization", "Bearer " + aPlan.mLoad.mBearer });
  request.mHeaders.push_back({ "X-Class", aPlan.mLoad.mClass });
  const auto response = co_await aContext.mClient.Fetch(
    aEntry, std::move(request), aPlan.mCallerTimeout);
  if (!response || response.value().mStatus != kOk) {
    co_return std::string();
  }
  const auto body = ParseObject(response.value().mBody);
  co_return body ? TextOr(*body, "token", "") : std::string();
}

// Makes sure that the record's last key is valid for the next try at aEntry,
// and adds a new key if it is not. Returns false if a key is required but none
// could be obtained.
asio::awaitable<bool>
PrepareKey(const call_context& aContext,
           const call_plan& aPlan,
           wire::endpoint aEntry,
           outcome aLast,
           call_record& aRecord)
{
  if (aPlan.mLoad.mKey == key_source::None) {
    co_return true;
  }
  const bool keep = !aRecord.mKeys.empty() &&
                    (aPlan.mLoad.mKey == key_source::CallerGenerated ||
                     aLast == outcome::Unknown);
  if (keep) {
    co_return true;
  }
  std::string key;
  if (aPlan.mLoad.mKey == key_source::CallerGenerated) {
    constexpr unsigned kKeyDigits = 24;
    key = RandomHex(kKeyDigits);
  } else {
    key = co_await FetchToken(aContext, aPlan, std::move(aEntry));
  }
  if (key.empty()) {
    co_return false;
  }
  aRecord.mKeys.push_back(key);
  co_return true;
}

void
RecordTry(call_record& aRecord,
          const try_result& aTry,
          steady::time_point aStart)
{
  using std::chrono::duration_cast;
  ++aRecord.mTries;
  aRecord.mOutcome = aTry.mOutcome;
  aRecord.mAnswered = aTry.mAnswered;
  aRecord.mCheck = aTry.mCheck;
  aRecord.mTokens += aTry.mTokens;
  aRecord.mReason = aTry.mReason;
  aRecord.mTotal = duration_cast<microseconds>(steady::now() - aStart);
  if (aTry.mFirstToken != steady::time_point{}) {
    aRecord.mFirstToken =
      duration_cast<microseconds>(aTry.mFirstToken - aStart);
  }
  if (aTry.mReachedEntry && aTry.mOutcome != outcome::NotRun) {
    aRecord.mOnlyNotRun = false;
  }
}

bool
WantsAnotherTry(const class_load& aLoad, const call_record& aRecord)
{
  if (aRecord.mAnswered || aRecord.mTries > aLoad.mRetries) {
    return false;
  }
  return aRecord.mOutcome == outcome::NotRun ||
         (aRecord.mOutcome == outcome::Unknown && aLoad.mRetriesUnknown);
}

} // namespace

asio::awaitable<call_record>
PerformCall(const call_context& aContext, arrival aArrival)
{
  const auto& load = aContext.mWorkload.mClasses[aArrival.mClass];
  const call_plan plan{ load,
                        PromptFor(aContext.mWorkload, aArrival),
                        aContext.mWorkload.mCallerTimeout };
  call_record record;
  record.mClass = aArrival.mClass;
  record.mAt = aArrival.mAt;
  record.mMarker = PromptMarker(plan.mPrompt);
  record.mOutcome = outcome::NotRun;
  const auto& entries = aContext.mTargets.mEntries;
  const auto start = steady::now();
  auto entryIndex = aArrival.mNumber % aContext.mWorkload.mCallers;
  do {
    auto entry = entries[entryIndex++ % entries.size()];
    try_result result;
    result.mOutcome = outcome::NotRun;
    result.mReachedEntry = false;
    result.mReason = "no_token";
    const auto keysBefore = record.mKeys.size();
    if (co_await PrepareKey(aContext, plan, entry, record.mOutcome, record)) {
      try_key key;
      key.mText = record.mKeys.empty() ? std::string() : record.mKeys.back();
      key.mIsNew = record.mKeys.size() > keysBefore;
      result = co_await TryOnce(aContext, plan, entry, std::move(key));
    }
    RecordTry(record, result, start);
    if (!WantsAnotherTry(load, record)) {
      break;
    }
    co_await Sleep(
      std::clamp(result.mRetryAfter, kMinRetryDelay, kMaxRetryDelay));
  } while (true);
  co_return record;
}

} // namespace sapphirespar::tools
