// The claim shards that other routers ask this one about.
#pragma once

#include "sapphirespar/ledger/claim_shard.hpp"

#include <map>

namespace sapphirespar::ledger {

// Serves whoever asks: that two keepers hold one shard costs writes, but the
// shard's conditional updates keep it right.
class claim_keeper
{
public:
  claim_keeper(platform_api& aPlatform, timer_service& aTimers);

  void Ask(claim_request aRequest, claim_callback aDone);
  void Finished(const claim_finished& aEnd);

  // Forgets shards that nobody has asked about for a while.
  void Sweep(steady_time aNow);

private:
  platform_api& mPlatform;
  timer_service& mTimers;
  std::map<std::uint32_t, claim_shard> mShards;
};

} // namespace sapphirespar::ledger
