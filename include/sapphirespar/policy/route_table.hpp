// Finds the route and the account of a request. A table is immutable; each
// version of the routing configuration gets its own.
#pragma once

#include "sapphirespar/model/routing.hpp"

#include <chrono>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

class route_table
{
public:
  explicit route_table(routing_config aConfig);
  // Not copyable because the indexes point into the configuration.
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  // Returns the route of the host with the longest prefix of aPath, or null.
  // aHost is case-insensitive; a port is ignored.
  const route* Match(std::string_view aHost, std::string_view aPath) const;

  // Returns the account to which the key belongs, or null.
  const routing_account* FindKey(std::string_view aKey) const;

  // Returns null for an unknown pool.
  const upstream_pool* FindPool(std::string_view aName) const;

  // Returns the smallest target gap of the streams of a pool; zero if no stream
  // of the pool has a target.
  std::chrono::milliseconds SmallestGap(const std::string& aPool) const;

  // Returns the priority of a request at upstreams; zero is the most urgent.
  // The account's priority counts first, then the route's. Without an account,
  // or if the account has no priority, the account's counts as zero.
  unsigned PriorityOf(const route& aRoute,
                      const routing_account* aAccount) const;

  const routing_config& Config() const { return mConfig; }
  routing_version Version() const { return mConfig.mVersion; }

private:
  void AddGap(const route& aRoute);

  routing_config mConfig;
  // Routes of each host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> mHosts;
  std::unordered_map<std::string, const routing_account*> mKeys;
  // The smallest target gap of each pool that has streams with a target.
  std::unordered_map<std::string, std::chrono::milliseconds> mSmallestGaps;
  // One more than the largest priority value of a route.
  unsigned mRoutePriorities = 1;
};

// Returns a pool of the route, chosen in proportion to the weights by aDraw, a
// random number between 0 and 1.
const std::string& ChoosePool(const route& aRoute, double aDraw);

} // namespace sapphirespar::policy
