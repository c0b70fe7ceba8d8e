// Tests of the records of streams in fleets of gateways that lose messages, are
// killed and restart.
#include "sapphirespar/gateway/stream_versions.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>

namespace sapphirespar::gateway {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kPool = 1;
constexpr pool_software kOld{ kPool, 10 };
constexpr pool_software kNew{ kPool, 11 };
constexpr auto kLifetime = 20s;

// Gateways on virtual time whose messages arrive at once or not at all.
class fleet
{
public:
  explicit fleet(std::size_t aSize)
    : mGateways(aSize)
  {
    for (std::size_t number = 0; number < aSize; ++number) {
      Start(number);
    }
  }

  void Start(std::size_t aNumber)
  {
    stream_versions_hooks hooks;
    hooks.mKeepers = [this, aNumber](std::uint64_t aStream,
                                     std::size_t aCount) {
      return Keepers(aNumber, aStream, aCount);
    };
    hooks.mSend = [this, aNumber](const std::string& aTo,
                                  const stream_message& aMessage) {
      const auto to = std::stoul(aTo);
      if (mGateways[to] && !mLoses(aNumber, to)) {
        mGateways[to]->OnMessage(std::to_string(aNumber), aMessage);
      }
    };
    hooks.mListed = [this] { return mListed; };
    hooks.mLongestLifetime = [this] { return mLongestLifetime; };
    mGateways[aNumber] =
      std::make_unique<stream_versions>(mTimers, std::move(hooks));
  }

  void Kill(std::size_t aNumber) { mGateways[aNumber].reset(); }

  // What a gateway finds out of a stream, asking four times.
  std::vector<pool_software> Ask(std::size_t aNumber, std::uint64_t aStream)
  {
    auto& gateway = *mGateways[aNumber];
    const auto question = gateway.StartQuestion(aStream, [] {});
    for (int round = 0;
         round < 4 && gateway.IsOpen(question) && gateway.Find(aStream).empty();
         ++round) {
      gateway.Ask(question);
      mTimers.Advance(60ms);
    }
    gateway.EndQuestion(question);
    return gateway.Find(aStream);
  }

  stream_versions& operator[](std::size_t aNumber)
  {
    return *mGateways[aNumber];
  }

  std::size_t Size() const { return mGateways.size(); }

  manual_timer_service mTimers;
  std::vector<pool_software> mListed{ kOld };
  std::chrono::milliseconds mLongestLifetime{ 0 };
  // Whether a message from one gateway to another is lost.
  std::function<bool(std::size_t, std::size_t)> mLoses = [](auto, auto) {
    return false;
  };

private:
  std::vector<std::string> Keepers(std::size_t aSelf,
                                   std::uint64_t aStream,
                                   std::size_t aCount) const
  {
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t number = 0; number < mGateways.size(); ++number) {
      if (number != aSelf && mGateways[number]) {
        ranked.emplace_back(
          StreamKey(std::to_string(aStream) + ":" + std::to_string(number)),
          number);
      }
    }
    std::ranges::sort(ranked);
    ranked.resize(std::min(ranked.size(), aCount));
    std::vector<std::string> keepers;
    for (const auto& [weight, number] : ranked) {
      keepers.push_back(std::to_string(number));
    }
    return keepers;
  }

  // Null while killed.
  std::vector<std::unique_ptr<stream_versions>> mGateways;
};

using versions = std::vector<pool_software>;

TEST(StreamVersions, EveryGatewayFindsTheVersionOfAStream)
{
  for (const std::size_t size : { 2U, 9U, 300U }) {
    fleet gateways(size);
    gateways[0].Begin(7, kOld, kLifetime);
    gateways.Kill(0);
    for (std::size_t number = 1; number < size; ++number) {
      EXPECT_EQ(gateways.Ask(number, 7), versions{ kOld }) << number;
    }
  }
}

TEST(StreamVersions, ACommonKillOfAThirdLosesFewRecords)
{
  constexpr int kStreams = 1000;
  fleet gateways(30);
  for (std::uint64_t stream = 0; stream < kStreams; ++stream) {
    gateways[stream % 10].Begin(stream, kOld, 1h);
  }
  for (std::size_t number = 0; number < 10; ++number) {
    gateways.Kill(number);
    gateways.Start(number);
  }
  int lost = 0;
  for (std::uint64_t stream = 0; stream < kStreams; ++stream) {
    lost += gateways.Ask(stream % 10, stream).empty() ? 1 : 0;
  }
  // A third of the keepers of each stream, cubed.
  EXPECT_LT(lost, kStreams / 20);
}

TEST(StreamVersions, RecordsOutliveARollingRestart)
{
  fleet gateways(9);
  for (std::uint64_t stream = 0; stream < 50; ++stream) {
    gateways[stream % 9].Begin(stream, kOld, kLifetime);
  }
  for (std::size_t number = 0; number < gateways.Size(); ++number) {
    gateways[number].HandOver();
    gateways.Kill(number);
    gateways.mTimers.Advance(200ms);
    gateways.Start(number);
    gateways.mTimers.Advance(300ms);
  }
  for (std::uint64_t stream = 0; stream < 50; ++stream) {
    EXPECT_EQ(gateways.Ask(4, stream), versions{ kOld }) << stream;
  }
}

TEST(StreamVersions, KeepersThatMissedAMessageAreToldAgain)
{
  fleet gateways(9);
  gateways.mLoses = [](auto, auto) { return true; };
  gateways[0].Begin(7, kOld, kLifetime);
  gateways.mLoses = [](auto, auto) { return false; };
  gateways.mTimers.Advance(2s);
  gateways.Kill(0);
  EXPECT_EQ(gateways.Ask(1, 7), versions{ kOld });
}

TEST(StreamVersions, TheFirstVersionStays)
{
  fleet gateways(3);
  gateways[0].Begin(7, kOld, kLifetime);
  gateways[0].Begin(7, kNew, kLifetime);
  gateways[1].Begin(7, kNew, kLifetime);
  EXPECT_EQ(gateways[0].Find(7), versions{ kOld });
  EXPECT_EQ(gateways[1].Find(7), versions{ kOld });
}

TEST(StreamVersions, RecordsEndWithTheirLifetimeOrTheirStream)
{
  fleet gateways(2);
  gateways[0].Begin(7, kOld, kLifetime);
  gateways[0].Begin(8, kOld, kLifetime);
  gateways[0].End(8);
  EXPECT_EQ(gateways[0].Size(), 1U);
  gateways.mTimers.Advance(kLifetime + 3s);
  EXPECT_EQ(gateways[0].Size(), 0U);
  EXPECT_EQ(gateways[1].Size(), 0U);
}

TEST(StreamVersions, AnUnknownStreamGoesOnOnlyIfOneVersionCanHaveBegunIt)
{
  fleet gateways(3);
  EXPECT_TRUE(gateways.Ask(0, 7).empty());
  EXPECT_FALSE(gateways[0].OnlyVersion(kPool));
  gateways.mTimers.Advance(31s);
  EXPECT_EQ(gateways[0].OnlyVersion(kPool), kOld.mSoftware);
  // A restarted gateway takes over what the others have seen.
  gateways.Kill(1);
  gateways.Start(1);
  gateways.mTimers.Advance(1s);
  EXPECT_FALSE(gateways[1].OnlyVersion(kPool));
  EXPECT_TRUE(gateways.Ask(1, 7).empty());
  EXPECT_EQ(gateways[1].OnlyVersion(kPool), kOld.mSoftware);
  gateways.mListed = { kOld, kNew };
  EXPECT_FALSE(gateways[1].OnlyVersion(kPool));
  gateways.mListed = { kNew };
  EXPECT_FALSE(gateways[1].OnlyVersion(kPool));
  // Nothing is concluded from a list that is not up to date.
  gateways.mTimers.Advance(31s);
  EXPECT_EQ(gateways[1].OnlyVersion(kPool), kNew.mSoftware);
  gateways.mListed = {};
  EXPECT_FALSE(gateways[1].OnlyVersion(kPool));
}

TEST(StreamVersions, ACommonKillAfterAnUpgradeForgetsNoLongStream)
{
  fleet gateways(3);
  gateways.mLongestLifetime = 60s;
  gateways.mTimers.Advance(61s);
  gateways[0].Begin(7, kOld, 60s);
  gateways.mListed = { kNew };
  for (std::size_t number = 0; number < gateways.Size(); ++number) {
    gateways.Kill(number);
    gateways.Start(number);
  }
  // The stream can still be taken up.
  gateways.mTimers.Advance(40s);
  EXPECT_TRUE(gateways.Ask(1, 7).empty());
  EXPECT_FALSE(gateways[1].OnlyVersion(kPool));
  gateways.mTimers.Advance(21s);
  EXPECT_EQ(gateways[1].OnlyVersion(kPool), kNew.mSoftware);
}

TEST(StreamVersions, APeerVouchesForNoLongerThanItHasWatched)
{
  fleet gateways(9);
  gateways.mTimers.Advance(31s);
  // Only this gateway and the keepers know that streams may last longer.
  gateways[0].Begin(8, kOld, 60s);
  EXPECT_TRUE(gateways.Ask(0, 7).empty());
  EXPECT_FALSE(gateways[0].OnlyVersion(kPool));
  gateways.mTimers.Advance(30s);
  EXPECT_EQ(gateways[0].OnlyVersion(kPool), kOld.mSoftware);
}

// Whatever is lost, killed and restarted: a gateway knows the version that
// began a stream, or none.
TEST(StreamVersions, NoGatewayEverFindsAnotherVersion)
{
  EXPECT_TRUE(rc::check([] {
    fleet gateways(*rc::gen::inRange<std::size_t>(2, 12));
    gateways.mListed = { kOld, kNew };
    const auto lossPercent = *rc::gen::inRange(0, 101);
    std::uint64_t draws = *rc::gen::arbitrary<std::uint64_t>();
    gateways.mLoses = [&](std::size_t, std::size_t) {
      draws = StreamKey(std::to_string(draws));
      return static_cast<int>(draws % 100) < lossPercent;
    };
    std::map<std::uint64_t, pool_software> begun;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000)));
    for (const auto& [kind, drawn] : steps) {
      const auto number = static_cast<std::size_t>(drawn) % gateways.Size();
      const auto stream = static_cast<std::uint64_t>(drawn) % 7;
      if (kind <= 1) {
        const auto known = gateways.Ask(number, stream);
        if (known.empty() && !begun.contains(stream)) {
          begun[stream] = drawn % 2 == 0 ? kOld : kNew;
          gateways[number].Begin(stream, begun[stream], 1h);
        }
      } else if (kind == 2) {
        gateways.Kill(number);
        gateways.Start(number);
      } else if (kind == 3) {
        gateways[number].HandOver();
      } else if (kind == 4) {
        gateways.mTimers.Advance(std::chrono::milliseconds(drawn * 10));
      } else {
        const auto known = gateways.Ask(number, stream);
        const bool right =
          known.empty() ||
          (begun.contains(stream) && known == versions{ begun.at(stream) });
        RC_ASSERT(right);
        RC_ASSERT(!gateways[number].OnlyVersion(kPool));
      }
    }
  }));
}

} // namespace
} // namespace sapphirespar::gateway
