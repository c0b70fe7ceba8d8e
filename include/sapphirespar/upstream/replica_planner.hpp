// Plans how many and which engines hold each model. Every router computes the
// same plan from the bundle and the gossiped demand, and issues the orders for
// the engines that it owns, so no coordinator is needed.
#pragma once

#include "sapphirespar/base/ids.hpp"
#include "sapphirespar/model/blackboard.hpp"
#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/upstream/order_controller.hpp"

#include <span>
#include <vector>

namespace sapphirespar::upstream {

// Running and queued requests for one model in the whole fleet.
struct model_demand
{
  model_id mModel;
  unsigned mRequests = 0;
};

// Sums up the demand that the members have published.
std::vector<model_demand> DemandOf(const blackboard& aBoard);

// Returns the number of replicas that the demand calls for, within the model's
// bounds. aSlots is the number of concurrent requests of one replica, aCurrent
// the number of replicas. The result is lower than aCurrent only if fewer
// replicas would be well below full use, which prevents oscillation.
unsigned WantedReplicas(const model_spec& aModel,
                        unsigned aRequests,
                        unsigned aSlots,
                        unsigned aCurrent);

// Returns the engines that should hold a model: the first aReplicas by
// rendezvous weight of those that may hold it and are neither ejected nor
// leaving.
std::vector<upstream_id> ReplicaHosts(const blackboard& aBoard,
                                      const model_id& aModel,
                                      unsigned aReplicas);

// Returns the engines whose load reports this router needs besides those of
// aOwned, the engines that it owns: the planned hosts of every model that an
// owned engine holds without being a planned host of it. The model may be
// unloaded only once those hosts hold it.
std::vector<upstream_id> ReportsNeeded(const blackboard& aBoard,
                                       std::span<const upstream_id> aOwned);

struct planned_order
{
  upstream_id mUpstream;
  engine_order mOrder;
};

// Returns the orders that bring the engines closer to the plan: at most one for
// each engine, loads before unloads. A model is unloaded only while all its
// planned hosts hold it, and an engine that has not sent a load report gets no
// order.
std::vector<planned_order> PlanOrders(const blackboard& aBoard);

} // namespace sapphirespar::upstream
