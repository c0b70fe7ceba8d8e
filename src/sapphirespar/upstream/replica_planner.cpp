// Computes replica counts, chooses hosts by rendezvous hashing, and derives the
// orders that lead to them.
#include "sapphirespar/upstream/replica_planner.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <string>

namespace sapphirespar::upstream {
namespace {

// Share of the replicas' slots that the demand should fill.
constexpr double kTargetUtilization = 0.7;
// The number of replicas is reduced only if the demand fills at most this share
// of the remaining slots.
constexpr double kShrinkUtilization = 0.5;

std::uint64_t
HostWeight(const model_id& aModel, const upstream_id& aUpstream)
{
  const auto key = aModel.mText + '\0' + aUpstream.mText;
  return XXH3_64bits(key.data(), key.size());
}

bool
CanHost(const upstream_spec& aSpec, const model_id& aModel)
{
  return aSpec.mKind == upstream_kind::Engine && !aSpec.mLeaving &&
         std::ranges::find(aSpec.mModels, aModel) != aSpec.mModels.end();
}

const upstream_status*
StatusOf(const blackboard& aBoard, const upstream_id& aId)
{
  const auto found = aBoard.mUpstreams.find(aId);
  return found == aBoard.mUpstreams.end() ? nullptr : &found->second;
}

bool
IsUsable(const blackboard& aBoard, const upstream_id& aId)
{
  const auto* status = StatusOf(aBoard, aId);
  return status == nullptr || (status->mState != upstream_state::Ejected &&
                               status->mState != upstream_state::Leaving);
}

bool
HasReported(const upstream_status* aStatus)
{
  return aStatus != nullptr && aStatus->mReportedAt != steady_time{};
}

bool
HasLoaded(const upstream_status* aStatus, const model_id& aModel)
{
  return aStatus != nullptr && aStatus->mLoaded &&
         std::ranges::find(*aStatus->mLoaded, aModel) !=
           aStatus->mLoaded->end();
}

unsigned
RequestsFor(std::span<const model_demand> aDemand, const model_id& aModel)
{
  const auto found = std::ranges::find(aDemand, aModel, &model_demand::mModel);
  return found == aDemand.end() ? 0 : found->mRequests;
}

// Returns the concurrent requests of one replica: the slots of the smallest
// engine that may hold the model.
unsigned
SlotsOf(const bundle& aBundle, const model_id& aModel)
{
  unsigned slots = 0;
  for (const auto& spec : aBundle.mUpstreams) {
    if (CanHost(spec, aModel)) {
      slots = slots == 0 ? spec.mSlots : std::min(slots, spec.mSlots);
    }
  }
  return std::max(slots, 1U);
}

struct model_plan
{
  model_id mModel;
  // The engines that should hold the model.
  std::vector<upstream_id> mHosts;
  // Whether all hosts hold the model already.
  bool mComplete = false;
};

unsigned
CountHolders(const blackboard& aBoard, const model_id& aModel)
{
  return static_cast<unsigned>(
    std::ranges::count_if(aBoard.mUpstreams, [&](const auto& aItem) {
      return HasLoaded(&aItem.second, aModel);
    }));
}

model_plan
PlanModel(const blackboard& aBoard,
          const model_spec& aModel,
          std::span<const model_demand> aDemand)
{
  const auto wanted = WantedReplicas(aModel,
                                     RequestsFor(aDemand, aModel.mId),
                                     SlotsOf(*aBoard.mBundle, aModel.mId),
                                     CountHolders(aBoard, aModel.mId));
  model_plan plan;
  plan.mModel = aModel.mId;
  plan.mHosts = ReplicaHosts(aBoard, aModel.mId, wanted);
  plan.mComplete = std::ranges::all_of(plan.mHosts, [&](const auto& aHost) {
    return HasLoaded(StatusOf(aBoard, aHost), aModel.mId);
  });
  return plan;
}

bool
IsHost(const model_plan& aPlan, const upstream_id& aId)
{
  return std::ranges::find(aPlan.mHosts, aId) != aPlan.mHosts.end();
}

// Returns the next order for one engine, or an empty list if it needs none.
std::vector<planned_order>
NextOrder(const upstream_spec& aSpec,
          const upstream_status& aStatus,
          std::span<const model_plan> aPlans)
{
  for (const auto& plan : aPlans) {
    if (IsHost(plan, aSpec.mId) && !HasLoaded(&aStatus, plan.mModel)) {
      return { { aSpec.mId, { order_kind::LoadModel, plan.mModel } } };
    }
  }
  for (const auto& plan : aPlans) {
    const bool spare = plan.mComplete && !IsHost(plan, aSpec.mId);
    if (spare && HasLoaded(&aStatus, plan.mModel)) {
      return { { aSpec.mId, { order_kind::UnloadModel, plan.mModel } } };
    }
  }
  return {};
}

std::vector<model_plan>
PlanModels(const blackboard& aBoard)
{
  const auto demand = DemandOf(aBoard);
  std::vector<model_plan> plans;
  std::ranges::transform(
    aBoard.mBundle->mModels,
    std::back_inserter(plans),
    [&](const auto& aModel) { return PlanModel(aBoard, aModel, demand); });
  return plans;
}

} // namespace

std::vector<model_demand>
DemandOf(const blackboard& aBoard)
{
  std::map<model_id, unsigned> sums;
  for (const auto& [vm, item] : aBoard.mMembers) {
    for (const auto& pool : item.mPools) {
      sums[{ pool.mPool }] += pool.mOutstanding + pool.mQueued;
    }
  }
  std::vector<model_demand> demand;
  std::ranges::transform(
    sums, std::back_inserter(demand), [](const auto& aItem) {
      return model_demand{ aItem.first, aItem.second };
    });
  return demand;
}

unsigned
WantedReplicas(const model_spec& aModel,
               unsigned aRequests,
               unsigned aSlots,
               unsigned aCurrent)
{
  const auto fit = [&](double aUtilization) {
    return static_cast<unsigned>(
      std::ceil(aRequests / (aSlots * aUtilization)));
  };
  const auto target = fit(kTargetUtilization);
  const auto kept = std::min(aCurrent, fit(kShrinkUtilization));
  return std::clamp(std::max(target, kept),
                    aModel.mMinimumReplicas,
                    std::max(aModel.mMinimumReplicas, aModel.mMaximumReplicas));
}

std::vector<upstream_id>
ReplicaHosts(const blackboard& aBoard,
             const model_id& aModel,
             unsigned aReplicas)
{
  std::vector<upstream_id> hosts;
  for (const auto& spec : aBoard.mBundle->mUpstreams) {
    if (CanHost(spec, aModel) && IsUsable(aBoard, spec.mId)) {
      hosts.push_back(spec.mId);
    }
  }
  std::ranges::sort(hosts, std::ranges::greater{}, [&](const auto& aHost) {
    return HostWeight(aModel, aHost);
  });
  hosts.resize(std::min<std::size_t>(hosts.size(), aReplicas));
  return hosts;
}

std::vector<upstream_id>
ReportsNeeded(const blackboard& aBoard, std::span<const upstream_id> aOwned)
{
  std::vector<upstream_id> needed;
  if (!aBoard.mBundle) {
    return needed;
  }
  for (const auto& plan : PlanModels(aBoard)) {
    const bool spare = std::ranges::any_of(aOwned, [&](const auto& aId) {
      return HasLoaded(StatusOf(aBoard, aId), plan.mModel) &&
             !IsHost(plan, aId);
    });
    if (spare) {
      std::ranges::copy(plan.mHosts, std::back_inserter(needed));
    }
  }
  return needed;
}

std::vector<planned_order>
PlanOrders(const blackboard& aBoard)
{
  std::vector<planned_order> orders;
  if (!aBoard.mBundle) {
    return orders;
  }
  const auto plans = PlanModels(aBoard);
  for (const auto& spec : aBoard.mBundle->mUpstreams) {
    const auto* status = StatusOf(aBoard, spec.mId);
    if (spec.mKind == upstream_kind::Engine && HasReported(status) &&
        IsUsable(aBoard, spec.mId)) {
      std::ranges::copy(NextOrder(spec, *status, plans),
                        std::back_inserter(orders));
    }
  }
  return orders;
}

} // namespace sapphirespar::upstream
