// Judges answers by their heads.
#include "sapphirespar/gateway/answer_judgement.hpp"

namespace sapphirespar::gateway {

std::string_view
ToText(answer_verdict aVerdict)
{
  switch (aVerdict) {
    case answer_verdict::Relay:
      return "relay";
    case answer_verdict::Failed:
      return "failed";
    case answer_verdict::NotRun:
      return "not_run";
    case answer_verdict::Foreign:
      return "foreign";
    case answer_verdict::Unusable:
      break;
  }
  return "unusable";
}

bool
PromisesNotRun(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

answer_verdict
JudgeAnswer(unsigned aStatus,
            const answer_facts& aFacts,
            std::string_view aRequestId)
{
  const bool names = !aFacts.mRequestId.empty();
  if (names && aFacts.mRequestId != aRequestId) {
    return answer_verdict::Foreign;
  }
  if (aFacts.mNotRun) {
    return answer_verdict::NotRun;
  }
  const bool success = aStatus >= 200 && aStatus < 300;
  if (PromisesNotRun(aStatus) || (success && !aFacts.mSigned)) {
    return answer_verdict::Unusable;
  }
  return aStatus >= 500 ? answer_verdict::Failed : answer_verdict::Relay;
}

} // namespace sapphirespar::gateway
