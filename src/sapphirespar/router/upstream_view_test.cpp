// Tests of what an engine may be given by the models that it holds.
#include "sapphirespar/router/upstream_view.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::router {
namespace {

using pool_names = std::vector<std::string>;

class an_upstream_view : public testing::Test
{
protected:
  an_upstream_view() { mSpec.mModels = { { "tweed" }, { "wool" } }; }

  upstream_spec mSpec;
  upstream_status mStatus;
};

TEST_F(an_upstream_view, TakesAnEngineThatHasNotToldAtItsDeclaration)
{
  EXPECT_EQ(MakeView(mSpec, nullptr).mPools, (pool_names{ "tweed", "wool" }));
  EXPECT_EQ(MakeView(mSpec, &mStatus).mPools, (pool_names{ "tweed", "wool" }));
}

TEST_F(an_upstream_view, ServesOnlyTheModelsThatAreLoaded)
{
  mStatus.mLoaded = std::vector<model_id>{ { "wool" } };
  EXPECT_EQ(MakeView(mSpec, &mStatus).mPools, pool_names{ "wool" });
}

TEST_F(an_upstream_view, GivesNothingToAnEngineWhoseLastModelIsUnloaded)
{
  mStatus.mLoaded.emplace();
  EXPECT_TRUE(MakeView(mSpec, &mStatus).mPools.empty());
}

} // namespace
} // namespace sapphirespar::router
