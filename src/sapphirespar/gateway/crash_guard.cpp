// Log lines, metrics and timers of the search for requests that crash
// upstreams.
#include "sapphirespar/gateway/crash_guard.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdatePeriod{ 100 };

policy::shared_parts
PartsOf(const request_marks& aMarks)
{
  return { aMarks.mPool, aMarks.mSharedParts, aMarks.mFingerprint };
}

policy::shared_parts
RequestOf(const request_marks& aMarks)
{
  return { aMarks.mPool, { &aMarks.mFingerprint, 1 }, aMarks.mFingerprint };
}

void
LogChange(const policy::belief_change& aChange,
          std::string_view aEvent,
          std::string_view aSubject)
{
  LogEvent(log_level::Warning,
           aEvent,
           { { aSubject, PartsText({ &aChange.mPart.mId, 1 }) },
             { "pool", aChange.mPart.mPool },
             { "crashes", aChange.mCrashes },
             { "source", aChange.mFromPeer ? "peer" : "own" } });
}

void
LogPart(const policy::belief_change& aChange)
{
  LogChange(aChange,
            aChange.mQuarantined ? "prompt_part_quarantined"
                                 : "prompt_part_released",
            "part");
}

void
LogRequest(const policy::belief_change& aChange)
{
  LogChange(aChange,
            aChange.mQuarantined ? "request_quarantined" : "request_released",
            "fingerprint");
}

} // namespace

crash_guard::crash_guard(timer_service& aTimers,
                         metrics& aMetrics,
                         crash_guard_hooks aHooks)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mHooks(std::move(aHooks))
  , mParts(mHooks.mMakesTrials)
  , mRequests(mHooks.mMakesTrials, policy::kFingerprintRules)
  , mAlert(mTimers, mHooks.mTellPeers)
{
  ShowQuarantines();
  mUpdate = mTimers.Every(kUpdatePeriod, [this] { Update(); });
}

void
crash_guard::OnUpstreamLost(const request_marks& aMarks,
                            std::uint64_t aUpstream,
                            answer_progress aProgress,
                            steady_time aSent)
{
  const auto now = mTimers.Now();
  const bool urgentParts = mParts.OnUpstreamLost(
    PartsOf(aMarks), aUpstream, aProgress == answer_progress::Begun, now);
  const bool urgentRequest =
    mRequests.OnUpstreamLost(RequestOf(aMarks),
                             aUpstream,
                             aProgress != answer_progress::Events,
                             now,
                             aSent);
  if (urgentParts || urgentRequest) {
    mAlert.Raise();
  }
}

void
crash_guard::OnSurvival(const request_marks& aMarks)
{
  const auto now = mTimers.Now();
  mParts.OnSurvival(PartsOf(aMarks), now);
  mRequests.OnSurvival(RequestOf(aMarks), now);
}

void
crash_guard::OnSign(std::uint64_t aUpstream)
{
  const auto now = mTimers.Now();
  mParts.OnSign(aUpstream, now);
  mRequests.OnSign(aUpstream, now);
}

std::optional<crash_refusal>
crash_guard::Refuse(const request_marks& aMarks)
{
  const auto now = mTimers.Now();
  if (const auto wait = mRequests.Refuse(RequestOf(aMarks), now)) {
    return crash_refusal{ "request_crashes_upstreams", *wait };
  }
  if (const auto wait = mParts.Refuse(PartsOf(aMarks), now)) {
    return crash_refusal{ "part_crashes_upstreams", *wait };
  }
  return std::nullopt;
}

bool
crash_guard::MayRepeat(const request_marks& aMarks) const
{
  const auto now = mTimers.Now();
  return mParts.MayRepeat(PartsOf(aMarks), now) &&
         mRequests.MayRepeat(RequestOf(aMarks), now);
}

void
crash_guard::Merge(const crash_reports& aReports)
{
  const auto now = mTimers.Now();
  mParts.Merge(aReports.mParts, now);
  mRequests.Merge(aReports.mRequests, now);
}

crash_reports
crash_guard::Reports() const
{
  const auto now = mTimers.Now();
  return { mParts.Report(now), mRequests.Report(now) };
}

void
crash_guard::Update()
{
  const auto now = mTimers.Now();
  const auto requests = mRequests.Update(now);
  std::ranges::for_each(requests, LogRequest);
  auto changes = mParts.Update(now, mRequests.Causes());
  std::ranges::for_each(changes, LogPart);
  changes.insert(changes.end(), requests.begin(), requests.end());
  if (changes.empty()) {
    return;
  }
  ShowQuarantines();
  if (!std::ranges::all_of(changes, &policy::belief_change::mFromPeer)) {
    mAlert.Raise();
  }
}

void
crash_guard::ShowQuarantines()
{
  mMetrics.Set(
    "gateway_quarantined_parts", {}, static_cast<double>(mParts.Quarantined()));
  mMetrics.Set("gateway_quarantined_requests",
               {},
               static_cast<double>(mRequests.Quarantined()));
}

std::string
PartsText(std::span<const std::uint64_t> aIds)
{
  constexpr std::size_t kMaximumIds = 8;
  constexpr int kHexadecimal = 16;
  std::string text;
  for (const auto id : aIds.first(std::min(aIds.size(), kMaximumIds))) {
    std::array<char, 16> digits{};
    const auto end =
      std::to_chars(
        digits.data(), digits.data() + digits.size(), id, kHexadecimal)
        .ptr;
    text += text.empty() ? "" : ",";
    text.append(digits.data(), end);
  }
  return text;
}

} // namespace sapphirespar::gateway
