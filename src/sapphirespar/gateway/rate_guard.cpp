// What is known of accepted rates, and the permits that follow from it.
#include "sapphirespar/gateway/rate_guard.hpp"

#include "sapphirespar/base/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace sapphirespar::gateway {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdatePeriod{ 200 };

// The time of a peer's report may be off by the delay of its datagram. The end
// of a limit must be newer than the limit by more than that.
constexpr milliseconds kMaximumDelay{ 300 };

// A gateway without a share is not told by the upstream when the limit ends. It
// forgets a limit that nobody has confirmed for this long. Ended limits are
// reported for as long.
constexpr std::chrono::seconds kForgetAfter{ 60 };

// Smaller relative changes of a rate are neither logged nor urgent for peers.
constexpr double kNoticeableChange = 0.1;

// Retry-After while other gateways have the whole rate of an upstream.
constexpr milliseconds kNoShareWait{ 1000 };

// Bounds of the table and of a report, which goes into a datagram.
constexpr std::size_t kMaximumLimits = 1024;
constexpr std::size_t kMaximumReported = 256;

bool
IsLimit(double aRate)
{
  return std::isfinite(aRate);
}

bool
DiffersNoticeably(double aOld, double aNew)
{
  if (!IsLimit(aOld) || !IsLimit(aNew)) {
    return IsLimit(aOld) != IsLimit(aNew);
  }
  return std::abs(aNew - aOld) > kNoticeableChange * std::max(aOld, aNew);
}

} // namespace

rate_guard::rate_guard(timer_service& aTimers,
                       metrics& aMetrics,
                       vm_id aSelf,
                       rate_guard_hooks aHooks)
  : mTimers(aTimers)
  , mMetrics(aMetrics)
  , mSelf(std::move(aSelf))
  , mHooks(std::move(aHooks))
  , mAlert(mTimers, mHooks.mTellPeers)
{
  ShowLimits();
  mUpdate = mTimers.Every(kUpdatePeriod, [this] { Update(); });
}

void
rate_guard::OnAnswer(std::uint64_t aUpstream, double aRate, steady_time aSent)
{
  const auto known = mLimits.find(aUpstream);
  if (!IsLimit(aRate)) {
    // An answer to a request that was sent before the limit was named may have
    // been made before.
    const bool outdated =
      known == mLimits.end() || aSent <= known->second.mLatest.mAt;
    if (outdated) {
      return;
    }
  } else if (known == mLimits.end() && mLimits.size() >= kMaximumLimits) {
    return;
  }
  const told_rate told{ aRate, mTimers.Now() };
  auto& limit = Find(aUpstream);
  limit.mOwn = told;
  Believe(aUpstream, limit, told, "answer");
}

rate_guard::limit&
rate_guard::Find(std::uint64_t aUpstream)
{
  const auto found = mLimits.find(aUpstream);
  if (found != mLimits.end()) {
    return found->second;
  }
  limit fresh{ {}, {}, {}, { {}, mTimers.Now() }, kUnlimitedRate };
  return mLimits.emplace(aUpstream, std::move(fresh)).first->second;
}

void
rate_guard::Believe(std::uint64_t aUpstream,
                    limit& aLimit,
                    told_rate aRate,
                    std::string_view aSource)
{
  const bool begins = !IsLimit(aLimit.mLatest.mRate) && IsLimit(aRate.mRate);
  const bool changed = aLimit.mLatest.mRate != aRate.mRate;
  aLimit.mLatest = aRate;
  if (IsLimit(aRate.mRate)) {
    aLimit.mConfirmed = mTimers.Now();
  }
  if (begins) {
    if (mGateways.empty()) {
      mGateways = mHooks.mGateways();
    }
    aLimit.mPermits = { ShareOf(aUpstream, aRate.mRate), mTimers.Now() };
  } else if (changed && IsLimit(aRate.mRate)) {
    aLimit.mPermits.SetShare(ShareOf(aUpstream, aRate.mRate), mTimers.Now());
  }
  if (!DiffersNoticeably(aLimit.mShownRate, aRate.mRate)) {
    return;
  }
  aLimit.mShownRate = aRate.mRate;
  const auto name = mHooks.mNameOf(aUpstream);
  const bool limited = IsLimit(aRate.mRate);
  LogEvent(
    log_level::Info,
    limited ? "upstream_limits_rate" : "upstream_unlimited",
    { { "upstream", name ? name->mText : "" },
      { "rate", limited ? aRate.mRate : 0 },
      { "own_rate", limited ? aLimit.mPermits.Share().mRate : 0 },
      { "gateways", mGateways.size() },
      { "age_ms",
        std::chrono::duration_cast<milliseconds>(mTimers.Now() - aRate.mAt)
          .count() },
      { "source", aSource } });
  ShowLimits();
  if (aSource == "answer") {
    mAlert.Raise();
  }
}

policy::rate_share
rate_guard::ShareOf(std::uint64_t aUpstream, double aRate) const
{
  const auto weight = [aUpstream](const vm_id& aVm) {
    return XXH3_64bits_withSeed(aVm.mText.data(), aVm.mText.size(), aUpstream);
  };
  const auto own = weight(mSelf);
  const auto before = std::ranges::count_if(mGateways, [&](const vm_id& aVm) {
    return aVm != mSelf && weight(aVm) > own;
  });
  return policy::ShareOf(aRate,
                         static_cast<unsigned>(before),
                         static_cast<unsigned>(mGateways.size()));
}

send_permit
rate_guard::TakePermit(std::uint64_t aUpstream)
{
  const auto found = mLimits.find(aUpstream);
  if (found == mLimits.end() || !IsLimit(found->second.mLatest.mRate)) {
    return send_permit::NotNeeded;
  }
  return found->second.mPermits.TryTake(mTimers.Now()) ? send_permit::Granted
                                                       : send_permit::Refused;
}

void
rate_guard::ReturnPermit(std::uint64_t aUpstream)
{
  const auto found = mLimits.find(aUpstream);
  if (found != mLimits.end()) {
    found->second.mPermits.Return(mTimers.Now());
  }
}

milliseconds
rate_guard::TimeUntilPermit(std::uint64_t aUpstream) const
{
  const auto found = mLimits.find(aUpstream);
  if (found == mLimits.end() || !IsLimit(found->second.mLatest.mRate)) {
    return milliseconds::zero();
  }
  const auto now = mTimers.Now();
  const auto at = found->second.mPermits.AvailableAt(now);
  return at ? std::chrono::ceil<milliseconds>(*at - now) : kNoShareWait;
}

void
rate_guard::Merge(std::span<const upstream_rate> aReported)
{
  for (const auto& reported : aReported) {
    const told_rate told{ reported.mRate, mTimers.Now() - reported.mAge };
    const auto known = mLimits.find(reported.mUpstream);
    const bool limited = IsLimit(told.mRate);
    if (known == mLimits.end()) {
      if (limited && mLimits.size() < kMaximumLimits) {
        Believe(reported.mUpstream, Find(reported.mUpstream), told, "peer");
      }
      continue;
    }
    auto& limit = known->second;
    if (limited && IsLimit(limit.mLatest.mRate)) {
      limit.mConfirmed = mTimers.Now();
    }
    const auto margin = limited ? milliseconds::zero() : kMaximumDelay;
    if (told.mAt > limit.mLatest.mAt + margin) {
      Believe(reported.mUpstream, limit, told, "peer");
    }
  }
}

std::vector<upstream_rate>
rate_guard::Report() const
{
  const auto now = mTimers.Now();
  std::vector<upstream_rate> report;
  for (const auto& [upstream, limit] : mLimits) {
    if (limit.mOwn) {
      report.push_back(
        { upstream,
          limit.mOwn->mRate,
          std::chrono::ceil<milliseconds>(now - limit.mOwn->mAt) });
    }
  }
  std::ranges::sort(report, {}, &upstream_rate::mAge);
  report.resize(std::min(report.size(), kMaximumReported));
  return report;
}

void
rate_guard::Update()
{
  if (mLimits.empty()) {
    mGateways.clear();
    return;
  }
  const auto now = mTimers.Now();
  auto gateways = mHooks.mGateways();
  const bool fleetChanged = gateways != mGateways;
  mGateways = std::move(gateways);
  for (auto& [upstream, limit] : mLimits) {
    if (!IsLimit(limit.mLatest.mRate)) {
      continue;
    }
    if (fleetChanged) {
      limit.mPermits.SetShare(ShareOf(upstream, limit.mLatest.mRate), now);
    }
    if (limit.mPermits.Share().mRate <= 0 &&
        now - limit.mConfirmed > kForgetAfter) {
      limit.mOwn.reset();
      Believe(upstream, limit, { kUnlimitedRate, now }, "unconfirmed");
    }
  }
  const auto before = mLimits.size();
  std::erase_if(mLimits, [&](const auto& aItem) {
    const auto& limit = aItem.second;
    return now - limit.mConfirmed > kForgetAfter &&
           (!IsLimit(limit.mLatest.mRate) || !mHooks.mNameOf(aItem.first));
  });
  if (mLimits.size() != before) {
    ShowLimits();
  }
}

void
rate_guard::ShowLimits()
{
  const auto limited = std::ranges::count_if(mLimits, [](const auto& aItem) {
    return IsLimit(aItem.second.mLatest.mRate);
  });
  mMetrics.Set(
    "gateway_rate_limited_upstreams", {}, static_cast<double>(limited));
}

} // namespace sapphirespar::gateway
