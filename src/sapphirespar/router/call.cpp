// Parses callers' requests: headers, JSON bodies and deadlines.
#include "sapphirespar/router/call.hpp"

#include "sapphirespar/config/signing.hpp"

#include <boost/json.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace sapphirespar::router {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::string_view kServicePrefix = "/v1/services/";
constexpr unsigned kDefaultMaximumTokens = 512;
constexpr unsigned kLargestMaximumTokens = 1'000'000;
constexpr milliseconds kMaxDeadline{ std::chrono::hours(1) };
// Bytes of the prompt whose hash identifies its prefix in the cache events of
// engines.
constexpr std::size_t kPrefixBytes = 64;
// Used to estimate the number of tokens in a prompt.
constexpr unsigned kBytesPerToken = 4;

refusal
Refuse(refusal_reason aReason, std::string aDetail)
{
  refusal refused;
  refused.mReason = aReason;
  refused.mDetail = std::move(aDetail);
  return refused;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return value;
}

// The fields of a completion's body that the router needs.
struct completion_body
{
  std::string mModel;
  bool mStream = false;
  unsigned mMaximumTokens = kDefaultMaximumTokens;
  unsigned mPromptTokens = 0;
  std::uint64_t mPrefixHash = 0;
};

// Appends the text of a prompt to aText. A prompt is a string, a list of
// strings, or a list of messages with content.
void
AppendText(const json::value& aValue, std::string& aText)
{
  if (const auto* text = aValue.if_string()) {
    aText.append(text->data(), text->size());
  } else if (const auto* list = aValue.if_array()) {
    for (const auto& item : *list) {
      aText += aText.empty() ? "" : "\n";
      AppendText(item, aText);
    }
  } else if (const auto* object = aValue.if_object()) {
    for (const auto key : { "content", "text" }) {
      if (const auto* inner = object->if_contains(key)) {
        AppendText(*inner, aText);
      }
    }
  }
}

std::optional<refusal>
ReadMaximumTokens(const json::object& aBody, completion_body& aResult)
{
  const auto* value = aBody.if_contains("max_tokens");
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto* number = value->if_int64();
  if (number == nullptr || *number < 1 || *number > kLargestMaximumTokens) {
    return Refuse(refusal_reason::BadRequest,
                  "max_tokens: expected a number from 1 to 1000000");
  }
  aResult.mMaximumTokens = static_cast<unsigned>(*number);
  return std::nullopt;
}

std::variant<completion_body, refusal>
ParseBody(const std::string& aText)
{
  json::error_code error;
  const auto document = json::parse(aText, error);
  if (error) {
    return Refuse(refusal_reason::BadRequest,
                  "body: expected JSON: " + error.message());
  }
  const auto* body = document.if_object();
  if (body == nullptr) {
    return Refuse(refusal_reason::BadRequest, "body: expected a JSON object");
  }
  completion_body result;
  const auto* model = body->if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Refuse(refusal_reason::BadRequest, "model: expected a string");
  }
  result.mModel = std::string(model->get_string());
  const auto* prompt = body->if_contains("messages");
  prompt = prompt != nullptr ? prompt : body->if_contains("prompt");
  if (prompt == nullptr) {
    return Refuse(refusal_reason::BadRequest, "messages or prompt: missing");
  }
  if (const auto* stream = body->if_contains("stream")) {
    if (!stream->is_bool()) {
      return Refuse(refusal_reason::BadRequest, "stream: expected a boolean");
    }
    result.mStream = stream->get_bool();
  }
  if (auto refused = ReadMaximumTokens(*body, result)) {
    return *refused;
  }
  std::string text;
  AppendText(*prompt, text);
  result.mPromptTokens = static_cast<unsigned>(text.size() / kBytesPerToken);
  result.mPrefixHash =
    XXH64(text.data(), std::min(text.size(), kPrefixBytes), 0);
  return result;
}

// Whether the header is forwarded to the upstream. Credentials, cookies and
// headers of the connection are not.
bool
IsForwarded(const wire::http_header& aHeader)
{
  constexpr std::array<std::string_view, 4> kForwarded{
    "content-type", "accept", "idempotency-key", "x-class"
  };
  std::string name = aHeader.mName;
  std::ranges::transform(name, name.begin(), [](unsigned char aByte) {
    return static_cast<char>(std::tolower(aByte));
  });
  return std::ranges::find(kForwarded, name) != kForwarded.end();
}

wire::http_request
MakeForward(const wire::http_request& aRequest, std::string aTarget)
{
  wire::http_request forward;
  forward.mMethod = aRequest.mMethod;
  forward.mTarget = std::move(aTarget);
  std::ranges::copy_if(
    aRequest.mHeaders, std::back_inserter(forward.mHeaders), IsForwarded);
  forward.mBody = aRequest.mBody;
  return forward;
}

// Fills in the fields that depend on the request target: pool, estimated size
// and the request to forward.
std::optional<refusal>
ReadTarget(const wire::http_request& aRequest, call& aCall)
{
  const std::string_view target = aRequest.mTarget;
  if (target.starts_with(kServicePrefix)) {
    const auto rest = target.substr(kServicePrefix.size());
    const auto slash = rest.find('/');
    aCall.mQueued.mPool = "/" + std::string(rest.substr(0, slash));
    const auto path = slash == std::string_view::npos ? std::string_view("/")
                                                      : rest.substr(slash);
    aCall.mForward = MakeForward(aRequest, std::string(path));
    return std::nullopt;
  }
  auto parsed = ParseBody(aRequest.mBody);
  if (auto* refused = std::get_if<refusal>(&parsed)) {
    return std::move(*refused);
  }
  const auto& body = std::get<completion_body>(parsed);
  aCall.mStream = body.mStream;
  aCall.mQueued.mPool = body.mModel;
  aCall.mQueued.mMaximumTokens = body.mMaximumTokens;
  aCall.mQueued.mPromptTokens = body.mPromptTokens;
  aCall.mQueued.mPrefixHash = body.mPrefixHash;
  aCall.mForward = MakeForward(aRequest, std::string(target));
  return std::nullopt;
}

std::optional<refusal>
ReadClass(const wire::http_request& aRequest, call& aCall)
{
  const auto name = aRequest.Header("X-Class");
  aCall.mClass = aCall.mSnapshot->Class(name);
  if (aCall.mClass == nullptr) {
    return Refuse(refusal_reason::NoSuchClass,
                  "X-Class: no class \"" + std::string(name) + "\"");
  }
  if (!MaySend(*aCall.mAccount, aCall.mClass->mId)) {
    return Refuse(refusal_reason::ClassNotAllowed,
                  "X-Class: not allowed for this account");
  }
  const bool service = aRequest.mTarget.starts_with(kServicePrefix);
  if (service != (aCall.mClass->mKind == upstream_kind::Service)) {
    return Refuse(refusal_reason::ClassNotAllowed,
                  "X-Class: this class does not belong to this path");
  }
  aCall.mIdempotencyKey = aRequest.Header("Idempotency-Key");
  aCall.mFirstAttempt = aRequest.Header("X-First-Attempt") == "true";
  if (aCall.mClass->mOnce != at_most_once_mode::None &&
      aCall.mIdempotencyKey.empty()) {
    return Refuse(refusal_reason::MissingKey,
                  "Idempotency-Key: required for this class");
  }
  return std::nullopt;
}

std::optional<refusal>
ReadDeadline(const wire::http_request& aRequest, call& aCall, steady_time aNow)
{
  auto answer = aCall.mClass->mAnswerTarget;
  const auto header = aRequest.Header("X-Deadline-Ms");
  if (!header.empty()) {
    const auto limit = ParseNumber(header);
    const auto longest = static_cast<std::uint64_t>(kMaxDeadline.count());
    if (!limit || *limit == 0 || *limit > longest) {
      return Refuse(refusal_reason::BadRequest,
                    "X-Deadline-Ms: expected a number from 1 to 3600000");
    }
    answer = std::min(answer, milliseconds(*limit));
  }
  aCall.mQueued.mArrival = aNow;
  aCall.mQueued.mAnswerBy = aNow + answer;
  aCall.mQueued.mFirstTokenBy =
    aNow + std::min(aCall.mClass->mFirstTokenTarget, answer);
  return std::nullopt;
}

// Whether an earlier request with the same key may have run. An earlier bundle
// may have allowed a request that the current one refuses.
bool
MayHaveRunBefore(const wire::http_request& aRequest, refusal_reason aReason)
{
  return !aRequest.Header("Idempotency-Key").empty() &&
         aRequest.Header("X-First-Attempt") != "true" &&
         aReason != refusal_reason::BadRequest;
}

} // namespace

const client_account*
Authenticate(const wire::http_request& aRequest,
             const traffic_snapshot& aSnapshot)
{
  constexpr std::string_view kScheme = "Bearer ";
  const auto header = aRequest.Header("Authorization");
  if (!header.starts_with(kScheme)) {
    return nullptr;
  }
  const auto hash = Sha256Hex(header.substr(kScheme.size()));
  return aSnapshot.AccountByKeyHash(hash);
}

namespace {

// Parses the request without considering earlier uses of its idempotency key.
std::variant<call, refusal>
ParseRequest(const wire::http_request& aRequest,
             snapshot_ptr aSnapshot,
             request_id aId,
             steady_time aNow)
{
  if (!aSnapshot->Bundle()) {
    return Refuse(refusal_reason::NotReady, "no bundle is in force here yet");
  }
  call result;
  result.mId = std::move(aId);
  result.mSnapshot = std::move(aSnapshot);
  result.mTrace =
    ParseTraceparent(aRequest.Header("traceparent")).value_or(NewTrace());
  result.mAccount = Authenticate(aRequest, *result.mSnapshot);
  if (result.mAccount == nullptr) {
    return Refuse(refusal_reason::Unauthorized,
                  "Authorization: no account has this key");
  }
  if (auto refused = ReadClass(aRequest, result)) {
    return *refused;
  }
  if (auto refused = ReadTarget(aRequest, result)) {
    return *refused;
  }
  if (!result.mSnapshot->HasPool(result.mQueued.mPool)) {
    const bool service = result.mQueued.mPool.starts_with('/');
    return Refuse(service ? refusal_reason::NoSuchService
                          : refusal_reason::NoSuchModel,
                  "nothing is declared for " + result.mQueued.mPool);
  }
  if (auto refused = ReadDeadline(aRequest, result, aNow)) {
    return *refused;
  }
  result.mQueued.mId = result.mId;
  result.mQueued.mClass = result.mClass->mId;
  result.mQueued.mAccount = result.mAccount->mId;
  return result;
}

} // namespace

std::variant<call, refusal>
ParseCall(const wire::http_request& aRequest,
          snapshot_ptr aSnapshot,
          request_id aId,
          steady_time aNow)
{
  auto parsed =
    ParseRequest(aRequest, std::move(aSnapshot), std::move(aId), aNow);
  if (auto* const refused = std::get_if<refusal>(&parsed);
      refused != nullptr && MayHaveRunBefore(aRequest, refused->mReason)) {
    refused->mOutcome = outcome::Unknown;
  }
  return parsed;
}

} // namespace sapphirespar::router
