// Tests of the memory that messages in progress share.
#include "sapphirespar/base/memory_budget.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <vector>

namespace sapphirespar {
namespace {

TEST(MemoryBudget, AClaimEndsWithItsMessage)
{
  const auto memory = std::make_shared<memory_budget>(100);
  {
    memory_claim claim(memory);
    EXPECT_TRUE(claim.Resize(37));
    EXPECT_FALSE(claim.Resize(38));
    EXPECT_EQ(memory->Taken(), 37U);
    EXPECT_TRUE(claim.Resize(10));
    EXPECT_EQ(memory->Taken(), 10U);
  }
  EXPECT_EQ(memory->Taken(), 0U);
  EXPECT_EQ(memory->Peak(), 37U);
}

TEST(MemoryBudget, ShortMessagesHaveRoomAmongLongOnes)
{
  const auto memory = std::make_shared<memory_budget>(32000);
  std::vector<std::unique_ptr<memory_claim>> longOnes;
  for (int i = 0; i < 30; ++i) {
    longOnes.push_back(std::make_unique<memory_claim>(memory));
    for (std::size_t bytes = 100; longOnes.back()->Resize(bytes);) {
      bytes += 100;
    }
  }
  constexpr std::size_t kShortBytes = 31;
  memory_claim longOne(memory);
  EXPECT_FALSE(longOne.Resize(kShortBytes + 100));
  std::vector<std::unique_ptr<memory_claim>> shortOnes;
  for (int i = 0; i < 200; ++i) {
    shortOnes.push_back(std::make_unique<memory_claim>(memory));
    EXPECT_TRUE(shortOnes.back()->Resize(kShortBytes));
  }
}

RC_GTEST_PROP(MemoryBudget, TheClaimsNeverExceedTheLimit, ())
{
  constexpr std::size_t kLimit = 1000;
  const auto memory = std::make_shared<memory_budget>(kLimit);
  const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, 2 * kLimit));
  std::vector<std::unique_ptr<memory_claim>> claims;
  std::size_t sum = 0;
  for (const auto size : sizes) {
    claims.push_back(std::make_unique<memory_claim>(memory));
    sum += claims.back()->Resize(size) ? size : 0;
    RC_ASSERT(memory->Taken() == sum);
    RC_ASSERT(sum <= kLimit);
  }
}

} // namespace
} // namespace sapphirespar
