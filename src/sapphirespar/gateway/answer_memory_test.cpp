// Tests of the memory that answers in progress share.
#include "sapphirespar/gateway/answer_memory.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <vector>

namespace sapphirespar::gateway {
namespace {

TEST(AnswerMemory, AClaimEndsWithItsAnswer)
{
  const auto memory = std::make_shared<answer_memory>(100);
  {
    answer_claim claim(memory);
    EXPECT_TRUE(claim.Resize(37));
    EXPECT_FALSE(claim.Resize(38));
    EXPECT_EQ(memory->Taken(), 37U);
    EXPECT_TRUE(claim.Resize(10));
    EXPECT_EQ(memory->Taken(), 10U);
  }
  EXPECT_EQ(memory->Taken(), 0U);
  EXPECT_EQ(memory->Peak(), 37U);
}

TEST(AnswerMemory, ShortAnswersHaveRoomAmongLongOnes)
{
  const auto memory = std::make_shared<answer_memory>(32000);
  std::vector<std::unique_ptr<answer_claim>> longOnes;
  for (int i = 0; i < 30; ++i) {
    longOnes.push_back(std::make_unique<answer_claim>(memory));
    for (std::size_t bytes = 100; longOnes.back()->Resize(bytes);) {
      bytes += 100;
    }
  }
  constexpr std::size_t kShortBytes = 31;
  answer_claim longOne(memory);
  EXPECT_FALSE(longOne.Resize(kShortBytes + 100));
  std::vector<std::unique_ptr<answer_claim>> shortOnes;
  for (int i = 0; i < 200; ++i) {
    shortOnes.push_back(std::make_unique<answer_claim>(memory));
    EXPECT_TRUE(shortOnes.back()->Resize(kShortBytes));
  }
}

RC_GTEST_PROP(AnswerMemory, TheClaimsNeverExceedTheLimit, ())
{
  constexpr std::size_t kLimit = 1000;
  const auto memory = std::make_shared<answer_memory>(kLimit);
  const auto sizes = *rc::gen::container<std::vector<std::size_t>>(
    rc::gen::inRange<std::size_t>(0, 2 * kLimit));
  std::vector<std::unique_ptr<answer_claim>> claims;
  std::size_t sum = 0;
  for (const auto size : sizes) {
    claims.push_back(std::make_unique<answer_claim>(memory));
    sum += claims.back()->Resize(size) ? size : 0;
    RC_ASSERT(memory->Taken() == sum);
    RC_ASSERT(sum <= kLimit);
  }
}

} // namespace
} // namespace sapphirespar::gateway
