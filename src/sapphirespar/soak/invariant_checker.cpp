// The guarantees are checked when an upstream begins to run a request and when
// the caller receives the response.
#include "sapphirespar/soak/invariant_checker.hpp"

namespace sapphirespar::soak {
namespace {

// Gateways may accept a key for this long after its removal from the store.
constexpr std::chrono::milliseconds kKeyFreshness{ 5000 };

bool
RunsAtMostOnce(request_kind aKind)
{
  return aKind == request_kind::AtMostOnce || aKind == request_kind::Stream;
}

} // namespace

std::string
ExpectedEvent(const std::string& aId, int aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + "-" + number + "\n\n";
}

std::string
invariant_checker::ExpectedBody(const std::string& aId, request_kind aKind)
{
  if (aKind == request_kind::AtMostOnce || aKind == request_kind::Idempotent) {
    return "whole " + aId;
  }
  std::string body;
  for (int number = 1; number <= kStreamEvents; ++number) {
    body += ExpectedEvent(aId, number);
  }
  return body;
}

void
invariant_checker::RecordSent(const std::string& aId,
                              request_kind aKind,
                              std::string aKey)
{
  ++mTotals.mRequests;
  mRequests[aId] = request_record{
    aKind, std::move(aKey), std::chrono::steady_clock::now(), 0, false
  };
}

void
invariant_checker::RecordRun(const std::string& aId,
                             const std::string& aAccount)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    AddViolation("a request runs that no caller sent", aId);
    return;
  }
  auto& request = found->second;
  ++request.mRuns;
  if (RunsAtMostOnce(request.mKind) && request.mRuns > 1) {
    AddViolation("an at-most-once request runs again", aId);
  }
  if (request.mReportedNotRun) {
    AddViolation("a request runs after it was reported as not run", aId);
  }
  if (aAccount != "account-" + request.mKey) {
    AddViolation("a request runs for the wrong account", aId);
  }
  const auto revoked = mRevoked.find(request.mKey);
  if (revoked != mRevoked.end() &&
      request.mSentAt > revoked->second + kKeyFreshness) {
    AddViolation("a request runs with a revoked key", aId);
  }
}

void
invariant_checker::RecordResponse(const std::string& aId,
                                  unsigned aStatus,
                                  const std::string& aBody)
{
  auto& request = mRequests[aId];
  const bool success = aStatus == 200;
  if (success && aBody != ExpectedBody(aId, request.mKind)) {
    AddViolation("a response is incomplete or has the wrong body", aId);
  }
  const bool refused =
    aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  request.mReportedNotRun = refused && RunsAtMostOnce(request.mKind);
  if (request.mReportedNotRun && request.mRuns > 0) {
    AddViolation("a request that has run is reported as not run", aId);
  }
  mTotals.mServed += success ? 1 : 0;
  mTotals.mRefused += refused ? 1 : 0;
  mTotals.mLost += success || refused ? 0 : 1;
}

void
invariant_checker::RecordKeyRevoked(const std::string& aKey)
{
  mRevoked[aKey] = std::chrono::steady_clock::now();
}

void
invariant_checker::AddViolation(const std::string& aRule,
                                const std::string& aId)
{
  mViolations.push_back(aRule + ": " + aId);
}

} // namespace sapphirespar::soak
