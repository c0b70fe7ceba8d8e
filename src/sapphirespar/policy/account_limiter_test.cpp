// Tests of account limits at one router and across routers that gossip.
#include "sapphirespar/policy/account_limiter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <numeric>

namespace sapphirespar::policy {
namespace {

using namespace std::chrono_literals;

const account_id kAccount{ "large" };
constexpr double kRate = 100;

bundle
OneAccount(unsigned aConcurrency = 1000000)
{
  bundle result;
  auto& account = result.mAccounts.emplace_back();
  account.mId = kAccount;
  account.mRequestsPerSecond = kRate;
  account.mConcurrency = aConcurrency;
  return result;
}

// Limiters of routers that publish their demand every second and receive the
// others' a second later.
class gossiping_limiters
{
public:
  explicit gossiping_limiters(std::size_t aCount)
    : mLimiters(aCount)
    , mPublished(aCount)
  {
    for (auto& limiter : mLimiters) {
      limiter.Configure(OneAccount(), mNow);
    }
    Gossip();
  }

  // Offers each router its number of requests, spread over one second.
  std::vector<unsigned> RunSecond(std::span<const unsigned> aOffered)
  {
    std::vector<unsigned> admitted(mLimiters.size());
    constexpr unsigned kSlices = 20;
    for (unsigned slice = 0; slice < kSlices; ++slice) {
      mNow += 1000ms / kSlices;
      for (std::size_t i = 0; i < mLimiters.size(); ++i) {
        const auto from = aOffered[i] * slice / kSlices;
        const auto to = aOffered[i] * (slice + 1) / kSlices;
        for (auto n = from; n < to; ++n) {
          admitted[i] += mLimiters[i].Admit(kAccount, mNow) ? 0 : 1;
        }
      }
    }
    Gossip();
    return admitted;
  }

  double SumOfRates()
  {
    return std::transform_reduce(mLimiters.begin(),
                                 mLimiters.end(),
                                 0.0,
                                 std::plus<>{},
                                 [&](account_limiter& aLimiter) {
                                   return aLimiter.RateOf(kAccount, mNow);
                                 });
  }

private:
  void Gossip()
  {
    const auto received = mPublished;
    for (std::size_t i = 0; i < mLimiters.size(); ++i) {
      auto peers = received;
      peers.erase(peers.begin() + i);
      mLimiters[i].SetPeers(peers, mNow);
      mPublished[i].mDemands = mLimiters[i].Publish(mNow);
    }
  }

  std::vector<account_limiter> mLimiters;
  std::vector<peer_demand> mPublished;
  steady_time mNow{};
};

unsigned
Sum(std::span<const unsigned> aNumbers)
{
  return std::accumulate(aNumbers.begin(), aNumbers.end(), 0u);
}

TEST(AccountLimiter, LimitsOneRouterToTheRateAndSaysWhenToRetry)
{
  account_limiter limiter;
  limiter.Configure(OneAccount(), steady_time{});
  unsigned admitted = 0;
  std::optional<refusal> refused;
  while (!(refused = limiter.Admit(kAccount, steady_time{}))) {
    ++admitted;
  }
  EXPECT_EQ(admitted, kRate);
  EXPECT_EQ(refused->mReason, refusal_reason::AccountLimit);
  EXPECT_EQ(refused->mOutcome, outcome::NotRun);
  EXPECT_EQ(refused->mRetryAfter, 10ms);
  EXPECT_FALSE(limiter.Admit(kAccount, steady_time{ 10ms }));
}

TEST(AccountLimiter, BoundsTheRequestsInProgress)
{
  account_limiter limiter;
  limiter.Configure(OneAccount(2), steady_time{});
  EXPECT_FALSE(limiter.Admit(kAccount, {}));
  EXPECT_FALSE(limiter.Admit(kAccount, {}));
  EXPECT_TRUE(limiter.Admit(kAccount, {}));
  limiter.Finish(kAccount);
  EXPECT_FALSE(limiter.Admit(kAccount, {}));
}

TEST(AccountLimiter, RefusesAnUnknownAccountWithoutARetryTime)
{
  account_limiter limiter;
  const auto refused = limiter.Admit({ "nobody" }, {});
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->mRetryAfter, 0ms);
}

TEST(AccountLimiter, FollowsTheDemandBetweenRouters)
{
  gossiping_limiters routers(4);
  const std::vector<unsigned> offered{ 200, 0, 0, 0 };
  for (int i = 0; i < 30; ++i) {
    routers.RunSecond(offered);
  }
  // 80 % of the rate follow the demand; a quarter of the rest is this router's
  // even share.
  EXPECT_NEAR(routers.RunSecond(offered)[0], 85, 2);
}

TEST(AccountLimiter, AdmitsNoMoreThanTheRateWhileDemandShifts)
{
  EXPECT_TRUE(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 7);
    gossiping_limiters routers(count);
    const auto draw = [&] {
      return *rc::gen::container<std::vector<unsigned>>(
        count, rc::gen::inRange(0u, 300u));
    };
    auto offered = draw();
    unsigned admitted = 0;
    constexpr unsigned kSeconds = 40;
    for (unsigned second = 0; second < kSeconds; ++second) {
      // All demand changes at once and then stays, so that the shares settle.
      if (second == kSeconds / 2) {
        offered = draw();
      }
      admitted += Sum(routers.RunSecond(offered));
    }
    // The rate, one burst, and the minimum bucket of one request per router.
    const auto bound =
      kRate * (kSeconds + std::chrono::duration<double>(kBurstTime).count()) +
      count;
    RC_ASSERT(admitted <= bound);
  }));
}

TEST(AccountLimiter, SharesNeverAddUpToMoreThanTheRateAfterAStep)
{
  gossiping_limiters routers(3);
  const std::vector<unsigned> before{ 300, 10, 0 };
  const std::vector<unsigned> after{ 0, 10, 300 };
  for (int i = 0; i < 60; ++i) {
    routers.RunSecond(i < 30 ? before : after);
    EXPECT_LE(routers.SumOfRates(), kRate * 1.0001) << "second " << i;
  }
}

} // namespace
} // namespace sapphirespar::policy
