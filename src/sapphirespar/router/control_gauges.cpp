// Sets the gauges of the control thread.
#include "sapphirespar/router/control_gauges.hpp"

#include <algorithm>
#include <ctime>

namespace sapphirespar::router {
namespace {

// Returns the processor time that the calling thread has used.
double
ThreadCpuSeconds()
{
  constexpr double kNanosecondsPerSecond = 1e9;
  std::timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / kNanosecondsPerSecond;
}

} // namespace

void
SetControlGauges(metrics& aMetrics,
                 const blackboard& aBoard,
                 const wire::peer_traffic& aTraffic,
                 std::span<const pool_load> aLoads)
{
  aMetrics.Set("sapphirespar_control_cpu_seconds", {}, ThreadCpuSeconds());
  aMetrics.Set(
    "sapphirespar_peer_bytes_in", {}, static_cast<double>(aTraffic.mBytesIn));
  aMetrics.Set(
    "sapphirespar_peer_bytes_out", {}, static_cast<double>(aTraffic.mBytesOut));
  aMetrics.Set("sapphirespar_store_restores",
               {},
               static_cast<double>(aBoard.mStoreRestores));
  aMetrics.Set("sapphirespar_members",
               {},
               static_cast<double>(std::ranges::count(
                 aBoard.mMembers, member_state::Live, [](const auto& aItem) {
                   return aItem.second.mState;
                 })));
  if (aBoard.mBundle) {
    const auto& version = aBoard.mBundle->mVersion;
    aMetrics.Set(
      "sapphirespar_bundle_epoch", {}, static_cast<double>(version.mEpoch));
    aMetrics.Set(
      "sapphirespar_bundle_number", {}, static_cast<double>(version.mNumber));
  }
  for (const auto& counts : aLoads) {
    aMetrics.Set(
      "sapphirespar_queued", { { "pool", counts.mPool } }, counts.mQueued);
    aMetrics.Set("sapphirespar_outstanding",
                 { { "pool", counts.mPool } },
                 counts.mOutstanding);
  }
}

} // namespace sapphirespar::router
