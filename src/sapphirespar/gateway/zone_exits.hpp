// Keeps for each pool of engines which share of its requests leaves this data
// centre. Internal to gateway.
#pragma once

#include "sapphirespar/gateway/upstream_directory.hpp"
#include "sapphirespar/policy/engine_model.hpp"
#include "sapphirespar/policy/zone_exit.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <map>
#include <string>

namespace sapphirespar::gateway {

class zone_exits
{
public:
  zone_exits(data_centre_id aOwn, metrics& aMetrics);

  // Updates the share of one pool from the present loads of its engines.
  void Update(const std::string& aPool,
              const upstream_directory& aUpstreams,
              const engine_figures& aFigures,
              steady_time aNow);

  // Null if the pool was never updated.
  const policy::zone_exit* Find(const std::string& aPool) const;

private:
  struct pool_exit
  {
    policy::zone_exit mExit;
    // The share that was logged last.
    double mLogged = 1;
  };

  const data_centre_id mOwn;
  metrics& mMetrics;
  std::map<std::string, pool_exit> mPools;
};

} // namespace sapphirespar::gateway
