// Shares of the room at an upstream.
#include "sapphirespar/policy/brittle_share.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::policy {
namespace {

// Part of the room that long requests fill in one period. What was sent in the
// period before may not be known yet, and independent draws differ from their
// mean. Short requests have ended by then.
constexpr double kFilledPerPeriod = 0.5;

// Part of the tolerated rejections that is spent on finding out whether an
// upstream that seems to be full is.
constexpr double kSpentOnTrials = 0.125;

} // namespace

double
MeanSendsPerPeriod(const brittle_room& aRoom)
{
  using seconds = std::chrono::duration<double>;
  const seconds period = aRoom.mPeriod;
  const seconds work = aRoom.mWork;
  // A slot serves several short requests in a period.
  const double turns = work.count() > 0 ? std::max(period / work, 1.0) : 1.0;
  const double room = std::max(aRoom.mSlots - aRoom.mRunning, 0.0);
  const double trials = kSpentOnTrials * aRoom.mTolerated * period.count();
  const double filled = std::min(kFilledPerPeriod * turns, 1.0) * room * turns;
  return (filled + trials) / std::max(aRoom.mGateways, 1U);
}

unsigned
DrawSends(double aMean, double aDraw)
{
  const double whole = std::floor(aMean);
  return static_cast<unsigned>(whole) + (aDraw < aMean - whole ? 1 : 0);
}

} // namespace sapphirespar::policy
