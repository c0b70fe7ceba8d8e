// Creates a shard at its first claim and removes it when idle.
#include "claim_server.hpp"

#include "claim_rows.hpp"

#include <utility>

namespace sapphirespar::ledger {
namespace {

constexpr std::chrono::minutes kIdleTimeout{ 10 };

} // namespace

claim_server::claim_server(platform_api& aPlatform,
                           timer_service& aTimers,
                           claim_shard_hooks aHooks)
  : mPlatform(aPlatform)
  , mTimers(aTimers)
  , mHooks(std::move(aHooks))
{
}

claim_shard&
claim_server::Shard(const std::string& aKey)
{
  const auto number = ShardOf(HashClaimKey(aKey));
  const auto [item, added] = mShards.try_emplace(
    number, number, mPlatform, mTimers, claim_shard_settings{}, mHooks);
  if (added) {
    item->second.NoteStoreEra(mEra);
  }
  return item->second;
}

void
claim_server::Claim(claim_request aRequest, claim_callback aDone)
{
  auto& shard = Shard(aRequest.mKey);
  shard.Claim(std::move(aRequest), std::move(aDone));
}

void
claim_server::NoteStoreEra(store_era aEra)
{
  mEra = aEra;
  for (auto& [number, shard] : mShards) {
    shard.NoteStoreEra(aEra);
  }
}

void
claim_server::Report(const process_id& aHolder, const claim_finished& aClaim)
{
  Shard(aClaim.mKey).Report(aHolder, aClaim);
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
