// Sums the loads of a pool's engines by data centre.
#include "zone_exits.hpp"

#include "sapphirespar/base/log.hpp"

#include <algorithm>
#include <cmath>

namespace sapphirespar::gateway {
namespace {

// Sums of the loads of some engines.
struct load_sum
{
  double mEngines = 0;
  double mWaitMs = 0;
  double mRunning = 0;
  double mSlots = 0;

  policy::zone_load Mean() const
  {
    return { mEngines,
             mEngines > 0 ? mWaitMs / mEngines : 0,
             mSlots > 0 ? std::min(mRunning / mSlots, 1.0) : 0 };
  }
};

// Smaller changes of a share are not logged.
constexpr double kNoticeable = 0.2;

} // namespace

zone_exits::zone_exits(data_centre_id aOwn, metrics& aMetrics)
  : mOwn(std::move(aOwn))
  , mMetrics(aMetrics)
{
}

void
zone_exits::Update(const std::string& aPool,
                   const upstream_directory& aUpstreams,
                   const engine_figures& aFigures,
                   steady_time aNow)
{
  load_sum own;
  load_sum others;
  for (const auto& member : aUpstreams.Members(aPool)) {
    auto load = member->mOwnLoad;
    load += member->mPeerLoad;
    auto& sum = member->mEntry.mDataCentre == mOwn ? own : others;
    const double tokens = std::max(load.mUrgentTokens + load.mOtherTokens, 0.0);
    sum.mEngines += 1;
    sum.mWaitMs += policy::PrefillMs(aFigures, tokens);
    sum.mRunning += std::max(load.mRunning, 0);
    sum.mSlots += member->mEntry.mSlots;
  }
  auto& pool = mPools[aPool];
  pool.mExit.Update(own.Mean(), others.Mean(), aNow);
  const double share = pool.mExit.Share();
  mMetrics.Set("gateway_zone_exit_share", { { "pool", aPool } }, share);
  const bool reached = (share == 0 || share == 1) && share != pool.mLogged;
  if (reached || std::abs(share - pool.mLogged) >= kNoticeable) {
    pool.mLogged = share;
    LogEvent(log_level::Info,
             "zone_exit",
             { { "pool", aPool },
               { "share", share },
               { "own_engines", own.mEngines },
               { "own_wait_ms", own.Mean().mWaitMs },
               { "own_slots_taken", own.Mean().mSlotsTaken },
               { "others_wait_ms", others.Mean().mWaitMs },
               { "others_slots_taken", others.Mean().mSlotsTaken } });
  }
}

const policy::zone_exit*
zone_exits::Find(const std::string& aPool) const
{
  const auto found = mPools.find(aPool);
  return found == mPools.end() ? nullptr : &found->second.mExit;
}

} // namespace sapphirespar::gateway
