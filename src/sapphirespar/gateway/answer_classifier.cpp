// Classification of answers by status and headers.
#include "sapphirespar/gateway/answer_classifier.hpp"

namespace sapphirespar::gateway {

std::string_view
ToText(answer_kind aKind)
{
  switch (aKind) {
    case answer_kind::Relay:
      return "relay";
    case answer_kind::Failed:
      return "failed";
    case answer_kind::NotRun:
      return "not_run";
    case answer_kind::Foreign:
      return "foreign";
    case answer_kind::Unusable:
      break;
  }
  return "unusable";
}

bool
PromisesNotRun(unsigned aStatus)
{
  // Request Timeout, Misdirected Request, Too Many Requests, Service
  // Unavailable.
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool
IsSuccess(unsigned aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

answer_kind
ClassifyAnswer(unsigned aStatus,
               const answer_info& aInfo,
               std::string_view aRequestId,
               connection_past aPast)
{
  if (aInfo.mHasSeveralIds) {
    return answer_kind::Unusable;
  }
  const bool namesNone = aInfo.mRequestId.empty();
  const bool mustName =
    !aRequestId.empty() && aPast == connection_past::Answers;
  if (namesNone ? mustName : aInfo.mRequestId != aRequestId) {
    return answer_kind::Foreign;
  }
  if (aInfo.mNotRun) {
    // Bad Request answers a request that has no id.
    constexpr unsigned kBadRequest = 400;
    const bool rejects =
      PromisesNotRun(aStatus) || (aStatus == kBadRequest && aRequestId.empty());
    return rejects ? answer_kind::NotRun : answer_kind::Unusable;
  }
  if (PromisesNotRun(aStatus) || (IsSuccess(aStatus) && !aInfo.mSigned)) {
    return answer_kind::Unusable;
  }
  return aStatus >= 500 ? answer_kind::Failed : answer_kind::Relay;
}

} // namespace sapphirespar::gateway
