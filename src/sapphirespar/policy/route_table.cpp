// Looks up routes by host and longest prefix, and accounts by key.
#include "sapphirespar/policy/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace sapphirespar::policy {
namespace {

// Returns the host in lower case without its port.
std::string
HostName(std::string_view aHost)
{
  std::string name(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(name, name.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return name;
}

} // namespace

route_table::route_table(routing_config aConfig)
  : mConfig(std::move(aConfig))
{
  for (const auto& item : mConfig.mRoutes) {
    mHosts[HostName(item.mHost)].push_back(&item);
    mRoutePriorities = std::max(mRoutePriorities, item.mPriority + 1);
    AddGap(item);
  }
  for (auto& [host, routes] : mHosts) {
    std::ranges::stable_sort(routes, std::greater{}, [](const route* aRoute) {
      return aRoute->mPathPrefix.size();
    });
  }
  for (const auto& account : mConfig.mAccounts) {
    for (const auto& key : account.mKeys) {
      mKeys.emplace(key, &account);
    }
  }
}

const route*
route_table::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto host = mHosts.find(HostName(aHost));
  if (host == mHosts.end()) {
    return nullptr;
  }
  const auto& routes = host->second;
  const auto found = std::ranges::find_if(routes, [&](const route* aRoute) {
    return aPath.starts_with(aRoute->mPathPrefix);
  });
  return found == routes.end() ? nullptr : *found;
}

const routing_account*
route_table::FindKey(std::string_view aKey) const
{
  const auto found = mKeys.find(std::string(aKey));
  return found == mKeys.end() ? nullptr : found->second;
}

const upstream_pool*
route_table::FindPool(std::string_view aName) const
{
  const auto found =
    std::ranges::find(mConfig.mPools, aName, &upstream_pool::mName);
  return found == mConfig.mPools.end() ? nullptr : &*found;
}

void
route_table::AddGap(const route& aRoute)
{
  if (!aRoute.mStreams || aRoute.mTargetGap <= aRoute.mTargetGap.zero()) {
    return;
  }
  for (const auto& pool : aRoute.mPools) {
    const auto [place, added] =
      mSmallestGaps.try_emplace(pool.mPool, aRoute.mTargetGap);
    place->second = std::min(place->second, aRoute.mTargetGap);
  }
}

std::chrono::milliseconds
route_table::SmallestGap(const std::string& aPool) const
{
  const auto found = mSmallestGaps.find(aPool);
  return found == mSmallestGaps.end() ? std::chrono::milliseconds::zero()
                                      : found->second;
}

unsigned
route_table::PriorityOf(const route& aRoute,
                        const routing_account* aAccount) const
{
  const auto account =
    aAccount == nullptr ? 0 : aAccount->mPriority.value_or(0);
  return account * mRoutePriorities + aRoute.mPriority;
}

const std::string&
ChoosePool(const route& aRoute, double aDraw)
{
  const auto& pools = aRoute.mPools;
  const double total = std::accumulate(
    pools.begin(), pools.end(), 0.0, [](double aSum, const auto& aPool) {
      return aSum + aPool.mWeight;
    });
  double left = aDraw * total;
  const auto chosen = std::ranges::find_if(pools, [&](const auto& aPool) {
    left -= aPool.mWeight;
    return aPool.mWeight > 0 && left < 0;
  });
  return chosen == pools.end() ? pools.back().mPool : chosen->mPool;
}

} // namespace sapphirespar::policy
