// Tests which pools an engine serves, given its loaded models.
#include "sapphirespar/router/upstream_view.hpp"

#include <gtest/gtest.h>

namespace sapphirespar::router {
namespace {

using pool_names = std::vector<std::string>;

class make_view_test : public testing::Test
{
protected:
  make_view_test() { mSpec.mModels = { { "tweed" }, { "wool" } }; }

  upstream_spec mSpec;
  upstream_status mStatus;
};

TEST_F(make_view_test, AssumesAllDeclaredModelsWithoutAReport)
{
  EXPECT_EQ(MakeView(mSpec, nullptr).mPools, (pool_names{ "tweed", "wool" }));
  EXPECT_EQ(MakeView(mSpec, &mStatus).mPools, (pool_names{ "tweed", "wool" }));
}

TEST_F(make_view_test, ServesOnlyTheModelsThatAreLoaded)
{
  mStatus.mLoaded = std::vector<model_id>{ { "wool" } };
  EXPECT_EQ(MakeView(mSpec, &mStatus).mPools, pool_names{ "wool" });
}

TEST_F(make_view_test, ServesNoPoolWhenNoModelIsLoaded)
{
  mStatus.mLoaded.emplace();
  EXPECT_TRUE(MakeView(mSpec, &mStatus).mPools.empty());
}

} // namespace
} // namespace sapphirespar::router
