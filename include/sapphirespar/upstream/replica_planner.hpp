// How many engines hold each model, and which. Every router computes the same
// plan from the bundle and the gossiped demand, and carries out the part that
// concerns the engines it is home to; nobody is in charge.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/upstream/order_controller.hpp"

#include <span>
#include <vector>

namespace sapphirespar::upstream {

// Requests running and waiting for one model in the whole fleet.
struct model_demand
{
  model_id mModel;
  unsigned mRequests = 0;
};

// Sums up what all live members have published.
std::vector<model_demand> DemandOf(const blackboard& aBoard);

// Returns how many replicas the demand calls for, within the model's bounds.
// aSlots is what one replica takes at once, aCurrent how many there are: the
// number falls only when the demand would fit well into fewer.
unsigned WantedReplicas(const model_spec& aModel,
                        unsigned aRequests,
                        unsigned aSlots,
                        unsigned aCurrent);

// Returns the engines that should hold a model: of those that may, the first
// aReplicas by rendezvous weight, engines that can't work left out.
std::vector<upstream_id> ReplicaHosts(const blackboard& aBoard,
                                      const model_id& aModel,
                                      unsigned aReplicas);

// Returns the engines whose reports the plan for aHomed needs besides their
// own: the hosts of models that some of them hold without being a host.
std::vector<upstream_id> ReportsNeeded(const blackboard& aBoard,
                                       std::span<const upstream_id> aHomed);

struct planned_order
{
  upstream_id mUpstream;
  engine_order mOrder;
};

// Returns the orders that bring the engines nearer to the plan: at most one for
// each engine, loads before unloads. A model is unloaded only while all its
// wanted replicas are loaded elsewhere, and nothing is ordered from an engine
// that has not reported what it holds.
std::vector<planned_order> PlanOrders(const blackboard& aBoard);

} // namespace sapphirespar::upstream
