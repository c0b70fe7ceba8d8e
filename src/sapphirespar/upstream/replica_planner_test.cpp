// Tests replica counts, hosts and orders.
#include "sapphirespar/upstream/replica_planner.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::upstream {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kSlots = 10;

model_spec
MakeModel(unsigned aMinimum, unsigned aMaximum)
{
  return { { "wool" }, aMinimum, aMaximum };
}

class replica_fixture : public testing::Test
{
protected:
  replica_fixture()
  {
    mBundle.mModels = { MakeModel(1, 3) };
    for (const auto* name : { "e1", "e2", "e3", "e4" }) {
      upstream_spec engine;
      engine.mId = { name };
      engine.mSlots = kSlots;
      engine.mModels = { { "wool" } };
      mBundle.mUpstreams.push_back(engine);
      auto& status = mBoard.mUpstreams[engine.mId];
      status.mId = engine.mId;
      status.mReportedAt = steady_time{} + 1s;
    }
  }

  std::vector<planned_order> Plan()
  {
    mBoard.mBundle = std::make_shared<const bundle>(mBundle);
    return PlanOrders(mBoard);
  }

  void SetDemand(unsigned aRequests)
  {
    mBoard.mMembers[{ "vm-1" }].mPools = { { "wool", 0, aRequests, 0 } };
  }

  // Changes the loaded models as if the engines had carried out the orders.
  void Apply(const std::vector<planned_order>& aOrders)
  {
    for (const auto& order : aOrders) {
      auto& reported = mBoard.mUpstreams[order.mUpstream].mLoaded;
      auto& loaded = reported ? *reported : reported.emplace();
      std::erase(loaded, order.mOrder.mModel);
      if (order.mOrder.mKind == order_kind::LoadModel) {
        loaded.push_back(order.mOrder.mModel);
      }
    }
  }

  bundle mBundle;
  blackboard mBoard;
};

TEST(WantedReplicas, StaysWithinBoundsAndShrinksOnlyWellBelowTheTarget)
{
  const auto model = MakeModel(1, 3);
  EXPECT_EQ(WantedReplicas(model, 0, kSlots, 0), 1U);
  EXPECT_EQ(WantedReplicas(model, 8, kSlots, 1), 2U);
  EXPECT_EQ(WantedReplicas(model, 1000, kSlots, 1), 3U);
  EXPECT_EQ(WantedReplicas(model, 6, kSlots, 2), 2U);
  EXPECT_EQ(WantedReplicas(model, 5, kSlots, 2), 1U);
}

TEST_F(replica_fixture, LoadsAsManyAsDemandCallsFor)
{
  SetDemand(8);
  const auto orders = Plan();
  ASSERT_EQ(orders.size(), 2U);
  EXPECT_EQ(orders[0].mOrder.mKind, order_kind::LoadModel);
  Apply(orders);
  EXPECT_TRUE(Plan().empty());
}

TEST_F(replica_fixture, UnloadsOnlyOnceTheWantedReplicasAreLoaded)
{
  for (auto& [id, status] : mBoard.mUpstreams) {
    status.mLoaded = std::vector<model_id>{ { "wool" } };
  }
  SetDemand(1);
  const auto host = [&] {
    mBoard.mBundle = std::make_shared<const bundle>(mBundle);
    return ReplicaHosts(mBoard, { "wool" }, 1).at(0);
  }();
  mBoard.mUpstreams[host].mLoaded->clear();
  auto orders = Plan();
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].mOrder.mKind, order_kind::LoadModel);
  EXPECT_EQ(orders[0].mUpstream, host);
  Apply(orders);
  orders = Plan();
  EXPECT_EQ(orders.size(), 3U);
  Apply(orders);
  EXPECT_TRUE(Plan().empty());
}

TEST_F(replica_fixture, AnEjectedHostIsReplaced)
{
  Apply(Plan());
  const auto host = ReplicaHosts(mBoard, { "wool" }, 1).at(0);
  mBoard.mUpstreams[host].mState = upstream_state::Ejected;
  const auto orders = Plan();
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_NE(orders[0].mUpstream, host);
  EXPECT_EQ(orders[0].mOrder.mKind, order_kind::LoadModel);
}

TEST_F(replica_fixture, AnEngineThatHasNotReportedGetsNoOrder)
{
  for (auto& [id, status] : mBoard.mUpstreams) {
    status.mReportedAt = {};
  }
  EXPECT_TRUE(Plan().empty());
}

} // namespace
} // namespace sapphirespar::upstream
