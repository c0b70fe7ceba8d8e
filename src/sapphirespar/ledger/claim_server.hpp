// Serves claims from this and other routers, with one claim_shard per shard.
#pragma once

#include "sapphirespar/ledger/claim_shard.hpp"

#include <map>

namespace sapphirespar::ledger {

// Answers every claim, whichever router owns the shard. If two routers serve
// one shard, some of their writes fail, but the conditional updates keep the
// shard consistent.
class claim_server
{
public:
  claim_server(platform_api& aPlatform, timer_service& aTimers);

  void Claim(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);

  // Removes shards that have received no claim for a while.
  void Sweep(steady_time aNow);

private:
  platform_api& mPlatform;
  timer_service& mTimers;
  std::map<std::uint32_t, claim_shard> mShards;
};

} // namespace sapphirespar::ledger
