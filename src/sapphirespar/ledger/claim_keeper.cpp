// Shards by number, loaded when first asked for.
#include "claim_keeper.hpp"

#include "claim_rows.hpp"

#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::chrono::minutes kIdleLimit{ 10 };

} // namespace

claim_keeper::claim_keeper(platform_api& aPlatform, timer_service& aTimers)
  : mPlatform(aPlatform)
  , mTimers(aTimers)
{
}

void
claim_keeper::Ask(claim_request aRequest, claim_callback aDone)
{
  const auto number = ShardOf(HashClaimKey(aRequest.mKey));
  const auto shard = mShards.try_emplace(number, number, mPlatform, mTimers);
  shard.first->second.Ask(std::move(aRequest), std::move(aDone));
}

void
claim_keeper::Finished(const claim_finished& aEnd)
{
  const auto shard = mShards.find(ShardOf(HashClaimKey(aEnd.mKey)));
  if (shard != mShards.end()) {
    shard->second.Finished(aEnd);
  }
}

void
claim_keeper::Sweep(steady_time aNow)
{
  std::erase_if(mShards, [&](const auto& aItem) {
    return aNow - aItem.second.LastUsed() > kIdleLimit;
  });
}

} // namespace sapphirespar::ledger
