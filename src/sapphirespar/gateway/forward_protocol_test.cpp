// Headers and calls of the protocol used in the forwarding tests.
#include "forward_fixture_test.hpp"

#include <algorithm>
#include <charconv>

namespace sapphirespar::gateway {
namespace {

unsigned
ToUnsigned(std::string_view aText)
{
  unsigned number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::vector<prompt_segment>
ToSegments(std::string_view aText)
{
  std::vector<prompt_segment> segments;
  while (!aText.empty()) {
    const auto end = std::min(aText.find(','), aText.size());
    segments.push_back({ ToUnsigned(aText.substr(0, end)), 1 });
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return segments;
}

request_info
ReadRequestInfo(const wire::http_headers& aHeaders)
{
  request_info info;
  info.mId = wire::FindHeader(aHeaders, kTestId);
  info.mKey = wire::FindHeader(aHeaders, kTestKey);
  const auto deadline = wire::FindHeader(aHeaders, kTestDeadline);
  if (!deadline.empty()) {
    info.mDeadline = std::chrono::milliseconds(ToUnsigned(deadline));
  }
  info.mPrompt = ToSegments(wire::FindHeader(aHeaders, kTestParts));
  info.mPromptTokens = ToUnsigned(wire::FindHeader(aHeaders, kTestTokens));
  info.mMaximumOutputTokens =
    ToUnsigned(wire::FindHeader(aHeaders, kTestOutputTokens));
  info.mLastEventId = wire::FindHeader(aHeaders, kTestResume);
  info.mResumedId = wire::FindHeader(aHeaders, kTestResumedId);
  info.mFromGateway = !wire::FindHeader(aHeaders, kTestFromGateway).empty();
  return info;
}

wire::http_headers
AddForwardHeaders(const wire::http_headers& aFrom, const forward_info& aInfo)
{
  auto headers = aFrom;
  std::erase_if(headers, [](const auto& aHeader) {
    return aHeader.mName == kTestKey || aHeader.mName == kTestDeadline ||
           aHeader.mName == "Connection" || aHeader.mName == "Content-Length";
  });
  headers.push_back(
    { std::string(kTestDeadline), std::to_string(aInfo.mDeadline.count()) });
  headers.push_back({ std::string(kTestExpected), aInfo.mExpected.mText });
  if (!aInfo.mLastEventId.empty()) {
    std::erase_if(headers, [](const auto& aHeader) {
      return aHeader.mName == kTestResume;
    });
    headers.push_back({ std::string(kTestResume), aInfo.mLastEventId });
  }
  if (aInfo.mCopy) {
    const auto& copy = *aInfo.mCopy;
    headers.push_back({ std::string(kTestCopy),
                        copy.mSource.mAddress + ":" +
                          std::to_string(copy.mSource.mPort) + "/" +
                          copy.mHandle });
  }
  return headers;
}

wire::http_request
MoveRequest(const run_move_call& aCall)
{
  wire::http_request request;
  request.mMethod = "POST";
  request.mTarget = kTestMovePath;
  request.mHeaders = {
    { std::string(kTestId), aCall.mRequestId },
    { std::string(kTestExpected), std::to_string(aCall.mTo.mPort) },
    { std::string(kTestStops), aCall.mStops ? "yes" : "no" }
  };
  return request;
}

run_move_reply
ReadMoveReply(unsigned aStatus, std::string_view aBody)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kNotFound = 404;
  constexpr unsigned kUnavailable = 503;
  switch (aStatus) {
    case kOk:
      return { run_move_end::Copied, std::string(aBody) };
    case kNotFound:
      return { run_move_end::NoSuchRun, {} };
    case kUnavailable:
      return { run_move_end::NoRoom, {} };
    default:
      return {};
  }
}

wire::http_request
FreeCopyRequest(std::string_view aHandle)
{
  wire::http_request request;
  request.mMethod = "DELETE";
  request.mTarget = std::string(kTestFreePath) + std::string(aHandle);
  return request;
}

answer_info
ReadAnswerInfo(unsigned, const wire::http_headers& aHeaders)
{
  answer_info info;
  info.mRequestId = wire::FindHeader(aHeaders, kTestId);
  info.mHasSeveralIds =
    std::ranges::count(aHeaders, kTestId, &wire::http_header::mName) > 1;
  info.mSigned = !wire::FindHeader(aHeaders, kTestSigned).empty();
  info.mNotRun = !wire::FindHeader(aHeaders, kTestNotRun).empty();
  info.mLeaving = !wire::FindHeader(aHeaders, kTestLeaving).empty();
  const auto retryAfter = wire::FindHeader(aHeaders, kTestRetryAfter);
  if (!retryAfter.empty()) {
    info.mRetryAfter = std::chrono::milliseconds(ToUnsigned(retryAfter));
  }
  const auto rate = wire::FindHeader(aHeaders, kTestRate);
  const auto brittle = wire::FindHeader(aHeaders, kTestBrittle);
  if (!brittle.empty()) {
    info.mToleratedRejections = ToUnsigned(brittle);
  }
  info.mAcceptedRate = rate.empty() ? kUnlimitedRate : ToUnsigned(rate);
  return info;
}

wire::http_headers
AddRelayHeaders(const wire::http_headers& aFrom,
                std::chrono::milliseconds aDeadline)
{
  auto headers = aFrom;
  std::erase_if(headers, [](const auto& aHeader) {
    return aHeader.mName == kTestDeadline || aHeader.mName == "Connection" ||
           aHeader.mName == "Content-Length";
  });
  headers.push_back(
    { std::string(kTestDeadline), std::to_string(aDeadline.count()) });
  headers.push_back({ std::string(kTestFromGateway), "1" });
  return headers;
}

wire::http_headers
DropFraming(const wire::http_headers& aFrom)
{
  auto headers = aFrom;
  std::erase_if(headers, [](const auto& aHeader) {
    return aHeader.mName == "Connection" || aHeader.mName == "Content-Length" ||
           aHeader.mName == "Transfer-Encoding";
  });
  return headers;
}

} // namespace

protocol
TestProtocol()
{
  protocol result;
  result.mReadRequest = ReadRequestInfo;
  result.mForwardHeaders = AddForwardHeaders;
  result.mRelayHeaders = AddRelayHeaders;
  result.mReadAnswer = ReadAnswerInfo;
  result.mAnswerHeaders = DropFraming;
  result.mStateRequest = [] {
    wire::http_request request;
    request.mTarget = kTestStatePath;
    return request;
  };
  result.mReadLeavesIn = [](const upstream_entry&, std::string_view aBody) {
    return aBody.empty()
             ? std::nullopt
             : std::optional(std::chrono::milliseconds(ToUnsigned(aBody)));
  };
  result.mMoveRequest = MoveRequest;
  result.mReadMoveReply = ReadMoveReply;
  result.mFreeCopyRequest = FreeCopyRequest;
  return result;
}

} // namespace sapphirespar::gateway
