// Orders upstreams from the platform while this gateway holds the duties, so
// that each pool has as many as its requests need.
#pragma once

#include "sapphirespar/base/timer_service.hpp"
#include "sapphirespar/duties/duty_calls.hpp"
#include "sapphirespar/policy/capacity_plan.hpp"
#include "sapphirespar/telemetry/metrics.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sapphirespar::duties {

// A pool whose upstreams can be ordered.
struct ordered_pool
{
  std::string mName;
  capacity_bounds mBounds;
  // In each data centre that has a price. mNoPreemptible is not set.
  std::vector<policy::zone_capacity> mZones;
  // Upstreams that the requests of all gateways need; unset while too few
  // gateways are heard to tell.
  std::optional<double> mNeeded;
  // Upstreams that the requests would need besides that gateways refuse.
  double mRefused = 0;
};

struct capacity_settings
{
  // Calls that the platform takes from all gateways together.
  double mCallsPerSecond = 50;
};

struct capacity_hooks
{
  std::function<std::vector<ordered_pool>()> mPools;
  // Whether orders are sent; the operator may have switched them off.
  std::function<bool()> mIsOn;
  // Sends an order; see duty_calls.
  decltype(duty_calls::mOrder) mOrder;
};

class capacity_controller
{
public:
  // All references must outlive the controller.
  capacity_controller(timer_service& aTimers,
                      metrics& aMetrics,
                      duty_lease& aLease,
                      capacity_settings aSettings,
                      capacity_hooks aHooks);
  ~capacity_controller();
  capacity_controller(const capacity_controller&) = delete;
  capacity_controller& operator=(const capacity_controller&) = delete;

  void Start();

  // Called when this gateway has taken or lost the duties.
  void OnHolderChanged();

private:
  struct state;
  std::shared_ptr<state> mState;
};

} // namespace sapphirespar::duties
