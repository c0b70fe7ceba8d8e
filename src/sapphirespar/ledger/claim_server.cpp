// Creates a shard at its first claim and removes it when idle.
#include "claim_server.hpp"

#include "claim_rows.hpp"

#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::chrono::minutes kIdleTimeout{ 10 };

} // namespace

claim_server::claim_server(platform_api& aPlatform, timer_service& aTimers)
  : mPlatform(aPlatform)
  , mTimers(aTimers)
{
}

void
claim_server::Claim(claim_request aRequest, claim_callback aDone)
{
  const auto number = ShardOf(HashClaimKey(aRequest.mKey));
  const auto shard = mShards.try_emplace(number, number, mPlatform, mTimers);
  shard.first->second.Claim(std::move(aRequest), std::move(aDone));
}

void
claim_server::Finished(const claim_finished& aEnd)
{
  const auto shard = mShards.find(ShardOf(HashClaimKey(aEnd.mKey)));
  if (shard != mShards.end()) {
    shard->second.Finished(aEnd);
  }
}

void
claim_server::Sweep(steady_time aNow)
{
  std::erase_if(mShards, [&](const auto& aItem) {
    return aNow - aItem.second.LastUsed() > kIdleTimeout;
  });
}

} // namespace sapphirespar::ledger
