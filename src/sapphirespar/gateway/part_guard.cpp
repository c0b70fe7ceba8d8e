// Log lines, metric and timers of the search for crashing parts.
#include "sapphirespar/gateway/part_guard.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdatePeriod{ 100 };

} // namespace

part_guard::part_guard(timer_service& aTimers,
                       metrics& aMetrics,
                       part_guard_hooks aHooks)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mHooks(std::move(aHooks))
  , mSuspects(mHooks.mMakesTrials)
  , mAlert(mTimers, mHooks.mTellPeers)
{
  ShowQuarantines();
  mUpdate = mTimers.Every(kUpdatePeriod, [this] { Update(); });
}

void
part_guard::OnUpstreamLost(const policy::shared_parts& aParts,
                           std::uint64_t aUpstream,
                           bool aAtBegin)
{
  if (mSuspects.OnUpstreamLost(aParts, aUpstream, aAtBegin, mTimers.Now())) {
    mAlert.Raise();
  }
}

void
part_guard::OnSurvival(const policy::shared_parts& aParts)
{
  mSuspects.OnSurvival(aParts, mTimers.Now());
}

void
part_guard::OnSign(std::uint64_t aUpstream)
{
  mSuspects.OnSign(aUpstream, mTimers.Now());
}

std::optional<milliseconds>
part_guard::Refuse(const policy::shared_parts& aParts)
{
  return mSuspects.Refuse(aParts, mTimers.Now());
}

bool
part_guard::MayRepeat(const policy::shared_parts& aParts) const
{
  return mSuspects.MayRepeat(aParts, mTimers.Now());
}

void
part_guard::Merge(const crash_report& aReport)
{
  mSuspects.Merge(aReport, mTimers.Now());
}

crash_report
part_guard::Report() const
{
  return mSuspects.Report(mTimers.Now());
}

void
part_guard::Update()
{
  const auto changes = mSuspects.Update(mTimers.Now());
  for (const auto& change : changes) {
    LogEvent(log_level::Warning,
             change.mQuarantined ? "prompt_part_quarantined"
                                 : "prompt_part_released",
             { { "part", PartsText({ &change.mPart.mId, 1 }) },
               { "pool", change.mPart.mPool },
               { "crashes", change.mCrashes },
               { "source", change.mFromPeer ? "peer" : "own" } });
  }
  if (changes.empty()) {
    return;
  }
  ShowQuarantines();
  if (!std::ranges::all_of(changes, &policy::belief_change::mFromPeer)) {
    mAlert.Raise();
  }
}

void
part_guard::ShowQuarantines()
{
  mMetrics.Set("gateway_quarantined_parts",
               {},
               static_cast<double>(mSuspects.Quarantined()));
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
