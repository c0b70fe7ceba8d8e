// Builds the indexes of a traffic snapshot.
#include "sapphirespar/router/snapshot.hpp"

#include <algorithm>
#include <iterator>

namespace sapphirespar::router {
namespace {

template<class Map, class Key>
auto
FindOrNull(const Map& aMap, const Key& aKey) -> typename Map::mapped_type
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : found->second;
}

} // namespace

std::vector<std::string>
PoolsOf(const upstream_spec& aUpstream)
{
  if (aUpstream.mKind == upstream_kind::Service) {
    return { "/" + aUpstream.mService };
  }
  std::vector<std::string> pools;
  std::ranges::transform(
    aUpstream.mModels, std::back_inserter(pools), &model_id::mText);
  return pools;
}

traffic_snapshot::traffic_snapshot(const blackboard& aBoard)
  : mSelf(aBoard.mSelf)
  , mDataCentre(aBoard.mDataCentre)
  , mLeaving(aBoard.mLeaving)
  , mBundle(aBoard.mBundle)
{
  std::ranges::transform(aBoard.mMembers,
                         std::back_inserter(mMembers),
                         [](const auto& aItem) { return aItem.second; });
  if (!mBundle) {
    return;
  }
  for (const auto& account : mBundle->mAccounts) {
    mAccounts.emplace(account.mKeyHash, &account);
  }
  for (const auto& item : mBundle->mClasses) {
    mClasses.emplace(item.mId.mText, &item);
  }
  for (const auto& upstream : mBundle->mUpstreams) {
    mUpstreams.emplace(upstream.mId, &upstream);
    for (auto& pool : PoolsOf(upstream)) {
      ++mPools[std::move(pool)];
    }
  }
}

const client_account*
traffic_snapshot::AccountByKeyHash(std::string_view aHash) const
{
  return FindOrNull(mAccounts, aHash);
}

const request_class*
traffic_snapshot::Class(std::string_view aName) const
{
  return FindOrNull(mClasses, aName);
}

const upstream_spec*
traffic_snapshot::Upstream(const upstream_id& aId) const
{
  return FindOrNull(mUpstreams, aId);
}

bool
traffic_snapshot::HasPool(const std::string& aPool) const
{
  return mPools.contains(aPool);
}

} // namespace sapphirespar::router
