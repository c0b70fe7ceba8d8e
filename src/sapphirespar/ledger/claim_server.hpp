// Serves claims from this and other routers, with one claim_shard per shard.
#pragma once

#include "sapphirespar/ledger/claim_shard.hpp"

#include <map>
#include <string>

namespace sapphirespar::ledger {

// Answers every claim, whichever router owns the shard. If two routers serve
// one shard, some of their writes fail, but the conditional updates keep the
// shard consistent.
class claim_server
{
public:
  claim_server(platform_api& aPlatform,
               timer_service& aTimers,
               claim_shard_hooks aHooks);

  void Claim(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);

  // Handles an era of the store and, after a restore, a claim that its holder
  // reports.
  void NoteStoreEra(store_era aEra);
  void Report(const process_id& aHolder, const claim_finished& aClaim);

  // Removes shards that have received no claim for a while.
  void Sweep(steady_time aNow);

private:
  claim_shard& Shard(const std::string& aKey);

  platform_api& mPlatform;
  timer_service& mTimers;
  const claim_shard_hooks mHooks;
  // The latest era of the store; zero if none is known.
  store_era mEra = 0;
  std::map<std::uint32_t, claim_shard> mShards;
};

} // namespace sapphirespar::ledger
