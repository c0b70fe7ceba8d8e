// Shares of an accepted rate, and token buckets that hold one permit.
#include "sapphirespar/policy/rate_share.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// An upstream that accepts less is still sent a request now and then, as only
// its answers tell that it accepts more.
constexpr double kMinimumRate = 0.25;

// Number of gateways with a share beyond one for each request per second.
constexpr unsigned kMinimumHolders = 3;

// Absorbs rounding, so that a permit is there when AvailableAt says so.
constexpr double kRounding = 1e-6;

} // namespace

rate_share
ShareOf(double aRate, unsigned aPosition, unsigned aGateways)
{
  const double rate = std::max(aRate, kMinimumRate);
  const double wanted = std::floor(rate) + kMinimumHolders;
  const double holders = std::min(wanted, static_cast<double>(aGateways));
  if (aPosition >= holders) {
    return {};
  }
  return { rate / holders, aPosition / holders };
}

rate_permits::rate_permits(rate_share aShare, steady_time aNow)
  : mShare(aShare)
  , mPermits(aShare.mFirstPermit)
  , mUpdated(aNow)
{
}

double
rate_permits::PermitsAt(steady_time aNow) const
{
  const std::chrono::duration<double> passed =
    std::max(aNow - mUpdated, steady_duration::zero());
  return std::min(mPermits + mShare.mRate * passed.count(), 1.0);
}

void
rate_permits::SetShare(rate_share aShare, steady_time aNow)
{
  mPermits = mShare.mRate > 0 ? PermitsAt(aNow) : 0;
  mUpdated = aNow;
  mShare = aShare;
}

bool
rate_permits::TryTake(steady_time aNow)
{
  const double permits = PermitsAt(aNow);
  if (mShare.mRate <= 0 || permits < 1 - kRounding) {
    return false;
  }
  mPermits = 0;
  mUpdated = aNow;
  return true;
}

void
rate_permits::Return(steady_time aNow)
{
  if (mShare.mRate > 0) {
    mPermits = 1;
    mUpdated = aNow;
  }
}

std::optional<steady_time>
rate_permits::AvailableAt(steady_time aNow) const
{
  if (mShare.mRate <= 0) {
    return std::nullopt;
  }
  const double missing = 1 - PermitsAt(aNow);
  if (missing <= kRounding) {
    return aNow;
  }
  const std::chrono::duration<double> wait(missing / mShare.mRate);
  return aNow + std::chrono::ceil<steady_duration>(wait);
}

} // namespace sapphirespar::policy
