// The guarantees are checked when an upstream begins to run a request and when
// the caller receives the response.
#include "sapphirespar/soak/invariant_checker.hpp"

#include <algorithm>
#include <sstream>
#include <string_view>

namespace sapphirespar::soak {
namespace {

// Gateways may accept a key for this long after its removal from the store.
constexpr std::chrono::milliseconds kKeyFreshness{ 5000 };

// A request that a caller sent later than this after its gateway had passed an
// upstream's leaving on must not reach the upstream.
constexpr std::chrono::milliseconds kDrainTime{ 2000 };

// From this time after an upstream has turned a request away until the end that
// it named, no more than kArrivalsAllowed requests of the gateway may reach it.
constexpr std::chrono::milliseconds kRefusalLag{ 500 };
constexpr unsigned kArrivalsAllowed = 2;

// From this time after it was told, a gateway's requests count against the rate
// that an upstream has named; in each window they may be so many times the rate
// and so many more.
constexpr std::chrono::milliseconds kRateLag{ 500 };
constexpr std::chrono::seconds kRateWindow{ 4 };
constexpr double kRateFactor = 1.5;
constexpr double kRateSlack = 5;

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
WithSoftware(const std::string& aEvent, const std::string& aSoftware)
{
  return "software: " + aSoftware + "\n" + aEvent;
}

std::pair<std::string, std::set<std::string>>
invariant_checker::WithoutSoftware(const std::string& aEvents)
{
  std::istringstream lines(aEvents);
  std::pair<std::string, std::set<std::string>> result;
  for (std::string line; std::getline(lines, line);) {
    constexpr std::string_view kField = "software: ";
    if (line.starts_with(kField)) {
      result.second.insert(line.substr(kField.size()));
    } else {
      result.first += line + "\n";
    }
  }
  return result;
}

void
invariant_checker::RecordStream(const std::string& aId,
                                const std::string& aHeld,
                                bool aComplete)
{
  const auto [events, versions] = WithoutSoftware(aHeld);
  if (versions.size() > 1) {
    AddViolation("a stream holds events of two software versions", aId);
  }
  const auto expected = ExpectedBody(aId, request_kind::ResumableStream);
  if (aComplete ? events != expected : !expected.starts_with(events)) {
    AddViolation("a resumable stream is incomplete or has the wrong events",
                 aId + ", " + std::to_string(events.size()) + " of " +
                   std::to_string(expected.size()) + " bytes");
  }
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
                              std::string aKey,
                              unsigned aGateway)
{
  ++mTotals.mRequests;
  mRequests[aId] = request_record{ aKind,    std::move(aKey),
                                   aGateway, std::chrono::steady_clock::now(),
                                   0,        false };
}

void
invariant_checker::RecordArrival(const std::string& aId, unsigned aUpstream)
{
  const auto found = mRequests.find(aId);
  if (found == mRequests.end()) {
    return;
  }
  const auto& request = found->second;
  const upstream_gateway key{ aUpstream, request.mGateway };
  const auto leaving = mLeaving.find(key);
  if (leaving != mLeaving.end() &&
      request.mSentAt > leaving->second + kDrainTime) {
    AddViolation("a request reaches an upstream that leaves", aId);
  }
  CheckNamedRate(aId, key);
  const auto turned = mTurnedAway.find(key);
  const auto now = std::chrono::steady_clock::now();
  if (turned != mTurnedAway.end() && now > turned->second.mFrom &&
      now < turned->second.mUntil &&
      ++turned->second.mArrivals > kArrivalsAllowed) {
    AddViolation("a request reaches an upstream that turns away", aId);
  }
}

void
invariant_checker::CheckNamedRate(const std::string& aId,
                                  const upstream_gateway& aLink)
{
  const auto found = mNamedRates.find(aLink.first);
  if (found == mNamedRates.end()) {
    return;
  }
  auto& named = found->second;
  const auto now = std::chrono::steady_clock::now();
  const auto told = named.mTold.find(aLink.second);
  if (told == named.mTold.end() || now < told->second + kRateLag) {
    return;
  }
  std::erase_if(named.mArrivals, [now](const auto& aItem) {
    return aItem.first + kRateWindow < now;
  });
  named.mArrivals.emplace_back(now, aLink.second);
  const auto allowed =
    kRateFactor * named.mRate * static_cast<double>(kRateWindow.count()) +
    kRateSlack;
  if (static_cast<double>(named.mArrivals.size()) > allowed) {
    AddViolation("an upstream gets more than the rate that it named", aId);
  }
}

void
invariant_checker::RecordNamedRate(const std::string& aId,
                                   unsigned aUpstream,
                                   double aRate)
{
  const upstream_gateway key{ aUpstream, mRequests[aId].mGateway };
  if (!IsExcused(key)) {
    auto& named = mNamedRates[aUpstream];
    named.mRate = aRate;
    named.mTold.emplace(key.second, std::chrono::steady_clock::now());
  }
}

void
invariant_checker::EndNamedRate(unsigned aUpstream)
{
  mNamedRates.erase(aUpstream);
}

void
invariant_checker::RecordLeaving(unsigned aUpstream, unsigned aGateway)
{
  const upstream_gateway key{ aUpstream, aGateway };
  if (!IsExcused(key)) {
    mLeaving.emplace(key, std::chrono::steady_clock::now());
  }
}

void
invariant_checker::RecordTurnedAway(const std::string& aId,
                                    unsigned aUpstream,
                                    std::chrono::milliseconds aFor)
{
  const auto now = std::chrono::steady_clock::now();
  const upstream_gateway key{ aUpstream, mRequests[aId].mGateway };
  if (!IsExcused(key)) {
    mTurnedAway[key] = { now + kRefusalLag, now + aFor };
  }
}

void
invariant_checker::ForgetUpstream(unsigned aUpstream)
{
  const auto isOf = [aUpstream](const auto& aItem) {
    return aItem.first.first == aUpstream;
  };
  std::erase_if(mLeaving, isOf);
  std::erase_if(mTurnedAway, isOf);
  EndNamedRate(aUpstream);
}

void
invariant_checker::ForgetGateway(unsigned aGateway)
{
  const auto isOf = [aGateway](const auto& aItem) {
    return aItem.first.second == aGateway;
  };
  std::erase_if(mLeaving, isOf);
  std::erase_if(mTurnedAway, isOf);
  for (auto& [upstream, named] : mNamedRates) {
    named.mTold.erase(aGateway);
    std::erase_if(named.mArrivals, [aGateway](const auto& aItem) {
      return aItem.second == aGateway;
    });
  }
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
    const auto expected = ExpectedBody(aId, request.mKind);
    const auto differ = std::ranges::mismatch(aBody, expected).in1;
    AddViolation("a response is incomplete or has the wrong body",
                 aId + ", " + std::to_string(aBody.size()) + " of " +
                   std::to_string(expected.size()) + " bytes, differs from " +
                   std::to_string(differ - aBody.begin()));
  }
  CountStatus(request, aId, aStatus);
}

void
invariant_checker::RecordPart(const std::string& aId, unsigned aStatus)
{
  CountStatus(mRequests[aId], aId, aStatus);
}

std::string
invariant_checker::KeyOf(const std::string& aId) const
{
  return mRequests.at(aId).mKey;
}

void
invariant_checker::CountStatus(request_record& aRequest,
                               const std::string& aId,
                               unsigned aStatus)
{
  const bool success = aStatus == 200;
  const bool refused =
    aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
  aRequest.mReportedNotRun = refused && RunsAtMostOnce(aRequest.mKind);
  if (aRequest.mReportedNotRun && aRequest.mRuns > 0) {
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
invariant_checker::BeginUpstreamExcuse(unsigned aUpstream)
{
  ++mUpstreamExcuses[aUpstream];
  ForgetUpstream(aUpstream);
}

void
invariant_checker::EndUpstreamExcuse(unsigned aUpstream)
{
  --mUpstreamExcuses[aUpstream];
}

void
invariant_checker::BeginGatewayExcuse(unsigned aGateway)
{
  ++mGatewayExcuses[aGateway];
  ForgetGateway(aGateway);
}

void
invariant_checker::EndGatewayExcuse(unsigned aGateway)
{
  --mGatewayExcuses[aGateway];
}

bool
invariant_checker::IsExcused(const upstream_gateway& aLink) const
{
  const auto counts = [](const auto& aExcuses, unsigned aNumber) {
    const auto found = aExcuses.find(aNumber);
    return found != aExcuses.end() && found->second > 0;
  };
  return counts(mUpstreamExcuses, aLink.first) ||
         counts(mGatewayExcuses, aLink.second);
}

void
invariant_checker::AddViolation(const std::string& aRule,
                                const std::string& aId)
{
  mViolations.push_back(aRule + ": " + aId);
}

} // namespace sapphirespar::soak
