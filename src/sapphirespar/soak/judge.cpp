// The promises, one function for each side that sees them.
#include "sapphirespar/soak/judge.hpp"

namespace sapphirespar::soak {
namespace {

// A key may be used for so long after it was taken away.
constexpr std::chrono::milliseconds kKeyFreshness{ 5000 };

bool
RunsAtMostOnce(request_kind aKind)
{
  return aKind == request_kind::Once || aKind == request_kind::Stream;
}

} // namespace

std::string
EventOf(const std::string& aId, int aNumber)
{
  const auto number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + "-" + number + "\n\n";
}

std::string
judge::BodyOf(const std::string& aId, request_kind aKind)
{
  if (aKind == request_kind::Once || aKind == request_kind::Safe) {
    return "whole " + aId;
  }
  std::string body;
  for (int number = 1; number <= kStreamEvents; ++number) {
    body += EventOf(aId, number);
  }
  return body;
}

void
judge::Sent(const std::string& aId, request_kind aKind, std::string aKey)
{
  ++mTotals.mRequests;
  mRequests[aId] = request_record{
    aKind, std::move(aKey), std::chrono::steady_clock::now(), 0, false
  };
}

void
judge::Runs(const std::string& aId, const std::string& aAccount)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    Break("a request runs that nobody sent", aId);
    return;
  }
  auto& request = found->second;
  ++request.mRuns;
  if (RunsAtMostOnce(request.mKind) && request.mRuns > 1) {
    Break("a request that may run once runs again", aId);
  }
  if (request.mPromisedNotRun) {
    Break("a request runs after a promise that it would not", aId);
  }
  if (aAccount != "account-" + request.mKey) {
    Break("a request runs for another account", aId);
  }
  const auto revoked = mRevoked.find(request.mKey);
  if (revoked != mRevoked.end() &&
      request.mSent > revoked->second + kKeyFreshness) {
    Break("a request runs with a key that is gone", aId);
  }
}

void
judge::Answered(const std::string& aId,
                unsigned aStatus,
                const std::string& aBody)
{
  auto& request = mRequests[aId];
  const bool success = aStatus == 200;
  if (success && aBody != BodyOf(aId, request.mKind)) {
    Break("an answer is not the whole answer to its request", aId);
  }
  const bool promise =
    aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  request.mPromisedNotRun = promise && RunsAtMostOnce(request.mKind);
  if (request.mPromisedNotRun && request.mRuns > 0) {
    Break("a request that has run is said not to have run", aId);
  }
  mTotals.mServed += success ? 1 : 0;
  mTotals.mRefused += promise ? 1 : 0;
  mTotals.mLost += success || promise ? 0 : 1;
}

void
judge::Revoked(const std::string& aKey)
{
  mRevoked[aKey] = std::chrono::steady_clock::now();
}

void
judge::Break(const std::string& aRule, const std::string& aId)
{
  mBroken.push_back(aRule + ": " + aId);
}

} // namespace sapphirespar::soak
