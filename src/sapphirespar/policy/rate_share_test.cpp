// Tests of shares of an accepted rate and of their permits.
#include "sapphirespar/policy/rate_share.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

TEST(RateShare, SharesAddUpToTheRate)
{
  rc::check([] {
    const auto gateways = *rc::gen::inRange(1U, 1001U);
    const double rate = *rc::gen::inRange(1, 2000) / 10.0;
    double sum = 0;
    for (unsigned position = 0; position < gateways; ++position) {
      const auto share = ShareOf(rate, position, gateways);
      sum += share.mRate;
      RC_ASSERT(share.mFirstPermit >= 0 && share.mFirstPermit < 1);
    }
    RC_ASSERT(std::abs(sum - std::max(rate, 0.25)) < 1e-6 * rate + 1e-6);
  });
}

// Every gateway takes each permit as soon as it has one.
TEST(RateShare, AllGatewaysTogetherSendNoMoreThanPromised)
{
  rc::check([] {
    const auto gateways = *rc::gen::inRange(1U, 400U);
    const double rate = *rc::gen::inRange(0, 300) / 10.0;
    const auto window = std::chrono::milliseconds(*rc::gen::inRange(0, 8000));
    const steady_time start{ 100s };
    std::vector<rate_permits> permits;
    for (unsigned position = 0; position < gateways; ++position) {
      permits.emplace_back(ShareOf(rate, position, gateways), start);
    }
    // Nobody sends before, so that all permits are kept.
    double sent = 0;
    for (auto now = start + 30s; now <= start + 30s + window; now += 5ms) {
      for (auto& own : permits) {
        sent += own.TryTake(now) ? 1 : 0;
      }
    }
    const std::chrono::duration<double> seconds = window;
    RC_ASSERT(sent <= (seconds.count() + 1) * std::max(rate, 0.25) + 3 + 1e-6);
  });
}

TEST(RateShare, FirstPermitsAreSpread)
{
  constexpr unsigned kGateways = 9;
  const steady_time start{ 100s };
  std::vector<steady_time> first;
  for (unsigned position = 0; position < kGateways; ++position) {
    const rate_permits permits(ShareOf(4, position, kGateways), start);
    if (const auto at = permits.AvailableAt(start)) {
      first.push_back(*at);
    }
  }
  std::ranges::sort(first);
  ASSERT_EQ(first.size(), 7U);
  for (std::size_t index = 0; index < first.size(); ++index) {
    const auto expected = 250ms * static_cast<int>(index + 1);
    EXPECT_NEAR((first[index] - start) / 1us, expected / 1us, 1);
  }
}

TEST(RatePermits, APermitIsThereWhenItIsSaidToBe)
{
  steady_time now{ 100s };
  rate_permits permits({ 0.3, 0 }, now);
  EXPECT_FALSE(permits.TryTake(now));
  for (int count = 0; count < 5; ++count) {
    const auto at = permits.AvailableAt(now);
    ASSERT_TRUE(at);
    EXPECT_FALSE(permits.TryTake(*at - 1ms));
    EXPECT_TRUE(permits.TryTake(*at));
    now = *at;
  }
}

TEST(RatePermits, AReturnedPermitCanBeTakenAgain)
{
  const steady_time now{ 100s };
  rate_permits permits({ 1, 0 }, now);
  EXPECT_TRUE(permits.TryTake(now + 1s));
  permits.Return(now + 1s);
  EXPECT_TRUE(permits.TryTake(now + 1s));
  EXPECT_FALSE(permits.TryTake(now + 1s));
}

TEST(RatePermits, ANewShareBeginsWithoutAPermit)
{
  const steady_time now{ 100s };
  rate_permits permits({}, now);
  EXPECT_FALSE(permits.AvailableAt(now + 60s));
  permits.SetShare({ 2, 0.9 }, now + 60s);
  EXPECT_EQ(permits.AvailableAt(now + 60s), now + 60s + 500ms);
  permits.SetShare({ 1, 0 }, now + 60s + 250ms);
  EXPECT_EQ(permits.AvailableAt(now + 60s + 250ms), now + 60s + 750ms);
}

} // namespace
} // namespace sapphirespar::policy
