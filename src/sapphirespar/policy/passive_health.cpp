// Keeps decaying counts of failures and late first events.
#include "sapphirespar/policy/passive_health.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFirstBackoff{ 250 };
constexpr milliseconds kMaximumBackoff{ 2000 };

// Long enough to recognise a failing upstream by its answers, and short enough
// to retry one that has recovered.
constexpr double kHalfLifeSeconds = 3;

// Number of assumed successes, so that the first failures do not dominate.
constexpr double kPriorResults = 2;

// Cost of a failed request, which is lost or retried one to two seconds later.
constexpr double kFailureMs = 1500;

// Weight of the newest delay in the moving average.
constexpr double kNewestWeight = 0.25;
constexpr double kMaximumLatenessMs = 4000;

} // namespace

double
passive_health::DecayFactor(steady_time aNow) const
{
  const std::chrono::duration<double> passed = aNow - mDecayedAt;
  return std::exp2(-std::max(passed.count(), 0.0) / kHalfLifeSeconds);
}

void
passive_health::Decay(steady_time aNow)
{
  const double decay = DecayFactor(aNow);
  mResults *= decay;
  mFailures *= decay;
  mLateMs *= decay;
  mDecayedAt = std::max(mDecayedAt, aNow);
}

void
passive_health::AddConnectFailure(steady_time aNow)
{
  const auto backoff = kFirstBackoff * (1U << std::min(mConnectFailures, 3U));
  mBackoffUntil = aNow + std::min(backoff, kMaximumBackoff);
  ++mConnectFailures;
}

void
passive_health::AddResponse()
{
  mConnectFailures = 0;
  mBackoffUntil = {};
}

void
passive_health::AddResult(bool aFailed, steady_time aNow)
{
  Decay(aNow);
  mResults += 1;
  mFailures += aFailed ? 1 : 0;
}

void
passive_health::AddDelay(double aLateMs, steady_time aNow)
{
  Decay(aNow);
  const double late = std::clamp(aLateMs, 0.0, kMaximumLatenessMs);
  mLateMs += kNewestWeight * (late - mLateMs);
}

double
passive_health::FailureShare(steady_time aNow) const
{
  const double decay = DecayFactor(aNow);
  return mFailures * decay / (mResults * decay + kPriorResults);
}

double
passive_health::PenaltyMs(steady_time aNow) const
{
  return kFailureMs * FailureShare(aNow) + mLateMs * DecayFactor(aNow);
}

} // namespace sapphirespar::policy
