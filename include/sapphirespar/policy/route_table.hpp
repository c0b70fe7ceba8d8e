// Finds the route and the account of a request. A table never changes; a new
// version of the routing makes a new one.
#pragma once

#include "sapphirespar/model/routing.hpp"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sapphirespar::policy {

class route_table
{
public:
  explicit route_table(routing_config aConfig);
  // The indexes point into the configuration.
  route_table(const route_table&) = delete;
  route_table& operator=(const route_table&) = delete;

  // Returns the route of the host with the longest prefix that begins aPath,
  // or null. aHost may carry a port and any case.
  const route* Match(std::string_view aHost, std::string_view aPath) const;

  // Returns the account that holds the key, or null.
  const routing_account* FindKey(std::string_view aKey) const;

  // Returns null for an unknown pool.
  const upstream_pool* FindPool(std::string_view aName) const;

  // Ranks a request for upstreams, zero first: by its account's priority, and
  // by its route's among accounts of the same one. An account without a
  // priority, or none, ranks with the most urgent accounts.
  unsigned PriorityOf(const route& aRoute,
                      const routing_account* aAccount) const;

  const routing_config& Config() const { return mConfig; }
  routing_version Version() const { return mConfig.mVersion; }

private:
  routing_config mConfig;
  // Routes of each host in lower case, longest prefix first.
  std::unordered_map<std::string, std::vector<const route*>> mHosts;
  std::unordered_map<std::string, const routing_account*> mKeys;
  // One more than the highest priority of a route.
  unsigned mRoutePriorities = 1;
};

// Returns the pool that a draw between 0 and 1 selects by weight.
const std::string& ChoosePool(const route& aRoute, double aDraw);

} // namespace sapphirespar::policy
