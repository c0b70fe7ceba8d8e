// Tests of single engine choices, and of the first-event times under a
// simulated load on engines that process prompts in order.
#include "sapphirespar/policy/engine_choice.hpp"

#include "sapphirespar/policy/engine_model.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <set>
#include <vector>

namespace sapphirespar::policy {
namespace {

constexpr double kShare = 0.34;
constexpr engine_figures kFigures{ 81.9, 41, 4096, 3.74, 0.081 };

std::vector<engine_candidate>
Engines(unsigned aCount)
{
  std::vector<engine_candidate> engines(aCount);
  for (unsigned index = 0; index < aCount; ++index) {
    engines[index].mKey = 1000 + index;
    engines[index].mSlots = 64;
    engines[index].mMemoryTokens = 700'000;
  }
  return engines;
}

prompt_work
LongPrompt(std::uint64_t aSharedKey)
{
  prompt_work work;
  work.mPromptTokens = 12'000;
  work.mSharedTokens = 5400;
  work.mSharedKey = aSharedKey;
  work.mTargetMs = 2000;
  work.mMaximumOutputTokens = 400;
  return work;
}

prompt_work
ShortPrompt(std::uint64_t aSharedKey)
{
  prompt_work work;
  work.mPromptTokens = 820;
  work.mSharedTokens = 200;
  work.mSharedKey = aSharedKey;
  work.mTargetMs = 300;
  work.mMaximumOutputTokens = 300;
  work.mInteractive = true;
  work.mUrgent = true;
  return work;
}

std::size_t
ChosenFor(const prompt_work& aWork,
          const std::vector<engine_candidate>& aEngines,
          double aDraw = 0.5)
{
  return ChooseEngine(aWork, aEngines, kFigures, kShare, aDraw)->mIndex;
}

TEST(ChooseEngine, ChoosesNothingWithoutEngines)
{
  EXPECT_FALSE(ChooseEngine(LongPrompt(7), {}, kFigures, kShare, 0.5));
  EXPECT_EQ(ChosenFor(LongPrompt(7), Engines(1)), 0U);
  EXPECT_EQ(ChosenFor(ShortPrompt(7), Engines(1)), 0U);
}

TEST(ChooseEngine, KeepsLongPromptsAndShortOnesApart)
{
  const auto engines = Engines(9);
  std::set<std::size_t> bulk;
  std::set<std::size_t> interactive;
  for (std::uint64_t key = 1; key < 200; ++key) {
    bulk.insert(ChosenFor(LongPrompt(key), engines));
    interactive.insert(ChosenFor(ShortPrompt(key), engines));
  }
  EXPECT_EQ(bulk.size(), 6U);
  EXPECT_EQ(interactive.size(), 3U);
  EXPECT_TRUE(std::ranges::none_of(
    bulk, [&](auto aIndex) { return interactive.contains(aIndex); }));
}

// Two of three engines take 2.4 times as long. Work that arrives at what they
// can do together must not pile up at the slow ones.
TEST(ChooseEngine, EnginesGetWorkInProportionToWhatTheyCanDo)
{
  constexpr double kSlow = 2.4;
  auto engines = Engines(30);
  for (std::size_t index = 0; index < engines.size(); ++index) {
    engines[index].mSlowness = index % 3 == 0 ? 1 : kSlow;
  }
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> draw(0, 1);
  // Each tick an engine of speed 1 does 1000 tokens; 70 % of all is offered.
  const double perTick = 1000 * (10 + 20 / kSlow);
  double offered = 0;
  double worstMs = 0;
  for (int tick = 0; tick < 2000; ++tick) {
    for (offered += 0.7 * perTick; offered > 0;) {
      prompt_work work;
      work.mPromptTokens = 200 + 3000 * draw(random);
      work.mTargetMs = 600;
      const auto choice =
        ChooseEngine(work, engines, kFigures, 0, draw(random));
      engines[choice->mIndex].mLoad.mOtherTokens += work.mPromptTokens;
      offered -= work.mPromptTokens;
    }
    for (auto& engine : engines) {
      auto& tokens = engine.mLoad.mOtherTokens;
      tokens = std::max(tokens - 1000 / engine.mSlowness, 0.0);
      worstMs =
        std::max(worstMs, engine.mSlowness * PrefillMs(kFigures, tokens));
    }
  }
  EXPECT_LT(worstMs, 300);
}

// The groups of engines that a gateway sees are the same whether it chooses
// among all data centres or in one.
TEST(ChooseEngine, GroupsAreThoseOfTheDataCentre)
{
  auto engines = Engines(24);
  for (std::size_t index = 0; index < engines.size(); ++index) {
    engines[index].mZone = 1 + index % 3;
  }
  std::vector<engine_candidate> own;
  std::ranges::copy_if(engines, std::back_inserter(own), [](const auto& aOne) {
    return aOne.mZone == 1;
  });
  std::set<std::uint64_t> interactive;
  std::set<std::uint64_t> bulk;
  for (std::uint64_t key = 1; key < 200; ++key) {
    interactive.insert(own[ChosenFor(ShortPrompt(key), own)].mKey);
    bulk.insert(engines[ChosenFor(LongPrompt(key), engines)].mKey);
  }
  EXPECT_TRUE(std::ranges::none_of(
    bulk, [&](auto aKey) { return interactive.contains(aKey); }));
}

TEST(ChooseEngine, AllRoutersSendASharedPrefixToTheSameEngine)
{
  const auto engines = Engines(18);
  for (std::uint64_t key = 1; key < 100; ++key) {
    const auto first = ChosenFor(LongPrompt(key), engines, 0.1);
    EXPECT_EQ(first, ChosenFor(LongPrompt(key), engines, 0.9));
  }
}

TEST(ChooseEngine, UsesAnotherEngineOnlyWhenThePrimaryIsFarBehind)
{
  auto engines = Engines(9);
  const auto primary = ChosenFor(LongPrompt(7), engines);
  engines[primary].mLoad.mOtherTokens = 12'000;
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines), primary);
  engines[primary].mLoad.mOtherTokens = 200'000;
  const auto second = ChosenFor(LongPrompt(7), engines);
  EXPECT_NE(second, primary);
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines, 0.1), second);
}

TEST(ChooseEngine, WaitsLongerForThePrimaryEngineWhileTheFleetIsBusy)
{
  auto engines = Engines(9);
  const auto primary = ChosenFor(LongPrompt(7), engines);
  engines[primary].mLoad.mOtherTokens = 80'000;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), primary);
  for (auto& engine : engines) {
    engine.mLoad.mRunning = 60;
  }
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines), primary);
}

TEST(ChooseEngine, LosingAnEngineMovesFewSharedPrefixes)
{
  const auto engines = Engines(18);
  auto fewer = engines;
  const auto lost = ChosenFor(LongPrompt(1), engines);
  fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(lost));
  int moved = 0;
  for (std::uint64_t key = 1; key <= 200; ++key) {
    const auto before = engines[ChosenFor(LongPrompt(key), engines)].mKey;
    const auto after = fewer[ChosenFor(LongPrompt(key), fewer)].mKey;
    moved += before != after ? 1 : 0;
  }
  EXPECT_LT(moved, 60);
}

TEST(ChooseEngine, AvoidsEnginesThatFailOrLackMemory)
{
  auto engines = Engines(9);
  const auto primary = ChosenFor(LongPrompt(7), engines);
  engines[primary].mPenaltyMs = 2500;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), primary);
  engines = Engines(9);
  engines[primary].mLoad.mMemoryTokens = 695'000;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), primary);
}

TEST(ChooseEngine, PredictsLaterFirstEventsBehindMoreWork)
{
  EXPECT_TRUE(rc::check([] {
    auto engines = Engines(6);
    const auto work =
      *rc::gen::arbitrary<bool>() ? LongPrompt(3) : ShortPrompt(3);
    for (auto& engine : engines) {
      engine.mLoad.mOtherTokens = *rc::gen::inRange(0, 100'000);
      engine.mLoad.mRunning = *rc::gen::inRange(0, 64);
    }
    const auto before = ChooseEngine(work, engines, kFigures, kShare, 0.5);
    for (auto& engine : engines) {
      engine.mLoad.mOtherTokens += 8192;
    }
    const auto after = ChooseEngine(work, engines, kFigures, kShare, 0.5);
    RC_ASSERT(after->mFirstEventMs >= before->mFirstEventMs);
  }));
}

TEST(ChooseEngine, WithoutASplitAllEnginesServeAllKinds)
{
  const auto engines = Engines(9);
  std::set<std::size_t> longs;
  std::set<std::size_t> shorts;
  for (std::uint64_t key = 1; key < 300; ++key) {
    longs.insert(
      ChooseEngine(LongPrompt(key), engines, kFigures, 0, 0.5)->mIndex);
    shorts.insert(
      ChooseEngine(ShortPrompt(key), engines, kFigures, 0, 0.5)->mIndex);
  }
  EXPECT_EQ(longs.size(), 9U);
  EXPECT_EQ(shorts.size(), 9U);
}

// Of two equal engines, the one that has the root of the prefix needs to
// process less. One that has the whole prefix is better still.
TEST(ChooseEngine, PrefersTheEngineWithMoreOfThePrefixCached)
{
  auto engines = Engines(9);
  const auto primary = ChosenFor(LongPrompt(7), engines);
  engines[primary].mLoad.mOtherTokens = 400'000;
  const auto second = ChosenFor(LongPrompt(7), engines);
  engines[second].mLoad.mOtherTokens = 400'000;
  const auto third = ChosenFor(LongPrompt(7), engines);
  std::size_t root = 0;
  while (root == primary || root == second || root == third ||
         ChosenFor(ShortPrompt(1), { engines[root] }) != 0) {
    ++root;
  }
  engines[root].mCachedTokens = 2000;
  const auto choice = ChooseEngine(LongPrompt(7), engines, kFigures, 0, 0.5);
  EXPECT_EQ(choice->mIndex, root);
  EXPECT_DOUBLE_EQ(choice->mPrefillTokens, 10'000);
}

// Between two chunks of a prompt an engine generates a token of every running
// request. The more requests run, the longer this takes.
TEST(ChooseEngine, PredictsTheSlowdownByRunningRequests)
{
  auto engines = Engines(1);
  engines[0].mLoad.mOtherTokens = 3 * kFigures.mChunkTokens;
  auto work = LongPrompt(0);
  work.mSharedTokens = 0;
  work.mPromptTokens = 2 * kFigures.mChunkTokens;
  const auto predicted = [&](int aRunning, const engine_figures& aFigures) {
    engines[0].mLoad.mRunning = aRunning;
    return ChooseEngine(work, engines, aFigures, 0, 0.5)->mFirstEventMs;
  };
  constexpr double kChunks = 5;
  constexpr int kRunning = 40;
  EXPECT_NEAR(predicted(kRunning, kFigures) - predicted(0, kFigures),
              kChunks * kRunning * kFigures.mStepMsPerRequest,
              1);
  auto slower = kFigures;
  slower.mStepMsPerRequest *= 3;
  EXPECT_NEAR(predicted(kRunning, slower) - predicted(0, slower),
              kChunks * kRunning * slower.mStepMsPerRequest,
              1);
}

// A prompt whose target is short does not wait long for a cached prefix, even
// if the prefix is as long as one that a patient prompt waits for.
TEST(ChooseEngine, TheWaitForACachedPrefixIsBoundedByTheTarget)
{
  auto engines = Engines(9);
  auto impatient = LongPrompt(7);
  impatient.mTargetMs = 100;
  const auto primary =
    ChooseEngine(impatient, engines, kFigures, 0, 0.5)->mIndex;
  engines[primary].mLoad.mOtherTokens = 15'000;
  EXPECT_NE(ChooseEngine(impatient, engines, kFigures, 0, 0.5)->mIndex,
            primary);
  EXPECT_EQ(ChooseEngine(LongPrompt(7), engines, kFigures, 0, 0.5)->mIndex,
            primary);
}

// An engine that fails requests looks busy by its penalty. The requests of its
// prefixes go elsewhere instead of being refused, but only while that delays
// nobody.
TEST(ChooseEngine, RequestsLeaveAFailingEngineWhileOthersAreIdle)
{
  auto engines = Engines(9);
  auto work = LongPrompt(7);
  work.mTargetMs = 400;
  const auto primary = ChooseEngine(work, engines, kFigures, 0, 0.5)->mIndex;
  engines[primary].mPenaltyMs = 5000;
  const auto secondary = ChooseEngine(work, engines, kFigures, 0, 0.5)->mIndex;
  engines[primary].mPenaltyMs = 500;
  engines[secondary].mPenaltyMs = 500;
  const auto moved = ChooseEngine(work, engines, kFigures, 0, 0.5);
  EXPECT_NE(moved->mIndex, secondary);
  EXPECT_NE(moved->mIndex, primary);
  EXPECT_LE(moved->mFirstEventMs, work.mTargetMs);
  for (auto& engine : engines) {
    engine.mLoad.mOtherTokens = 15'000;
  }
  EXPECT_EQ(ChooseEngine(work, engines, kFigures, 0, 0.5)->mIndex, primary);
}

// A bulk prompt may use an idle interactive engine if its prefill fits between
// two events there, but not one that already has work.
TEST(ChooseEngine, BulkPromptsUseInteractiveEnginesWhereTheyStallNobody)
{
  auto engines = Engines(9);
  std::set<std::size_t> bulk;
  for (std::uint64_t key = 1; key < 200; ++key) {
    bulk.insert(ChosenFor(LongPrompt(key), engines));
  }
  for (const auto index : bulk) {
    engines[index].mLoad.mOtherTokens = 200'000;
  }
  auto work = LongPrompt(7);
  EXPECT_TRUE(bulk.contains(ChosenFor(work, engines)));
  work.mGapBudgetMs = 300;
  const auto chosen = ChosenFor(work, engines);
  EXPECT_FALSE(bulk.contains(chosen));
  for (auto& engine : engines) {
    engine.mLoad.mOtherTokens = 200'000;
  }
  EXPECT_TRUE(bulk.contains(ChosenFor(work, engines)));
}

// Simulates engines that process one prompt after another in order of arrival.
class simulated_load
{
public:
  explicit simulated_load(unsigned aEngines)
    : mEngines(Engines(aEngines))
    , mFreeAt(aEngines, 0)
    , mCached(aEngines)
  {
  }

  // Sends a request to the chosen engine and returns the milliseconds until its
  // first event.
  double Run(const prompt_work& aWork, double aNowMs)
  {
    for (std::size_t index = 0; index < mEngines.size(); ++index) {
      const double waiting = std::max(mFreeAt[index] - aNowMs, 0.0);
      mEngines[index].mLoad.mOtherTokens = waiting / PrefillMs(kFigures, 1);
      mEngines[index].mCachedTokens =
        mCached[index].contains(aWork.mSharedKey) ? aWork.mSharedTokens : 0;
    }
    const auto index = ChosenFor(aWork, mEngines, mDraw(mRandom));
    const bool cached = !mCached[index].insert(aWork.mSharedKey).second;
    const double tokens =
      aWork.mPromptTokens - (cached ? aWork.mSharedTokens : 0);
    mSharedTokensProcessed += cached ? 0 : aWork.mSharedTokens;
    const double begin = std::max(mFreeAt[index], aNowMs);
    mFreeAt[index] = begin + PrefillMs(kFigures, tokens);
    return mFreeAt[index] - aNowMs;
  }

  double SharedTokensProcessed() const { return mSharedTokensProcessed; }

private:
  std::vector<engine_candidate> mEngines;
  std::vector<double> mFreeAt;
  std::vector<std::set<std::uint64_t>> mCached;
  double mSharedTokensProcessed = 0;
  std::mt19937_64 mRandom{ 20261203 };
  std::uniform_real_distribution<double> mDraw{ 0, 1 };
};

// A burst of long prompts at more than twice the usual rate arrives together
// with short ones. At least 99 % of either kind must be in time, and each
// shared prefix must be processed about once.
TEST(ChooseEngine, KeepsABurstOfLongPromptsAndShortOnesInTime)
{
  constexpr double kLongPerMs = 0.034;
  constexpr double kShortPerMs = 0.021;
  constexpr double kDurationMs = 9000;
  constexpr double kLongInTimeMs = 2000;
  constexpr double kShortInTimeMs = 300;
  constexpr std::uint64_t kSharedPrefixes = 69;
  simulated_load load(9);
  std::mt19937_64 random(1);
  std::exponential_distribution<double> gap(kLongPerMs + kShortPerMs);
  std::uniform_real_distribution<double> kind(0, kLongPerMs + kShortPerMs);
  std::uniform_int_distribution<std::uint64_t> prefixKey(1, kSharedPrefixes);
  int longs = 0;
  int longsInTime = 0;
  int shorts = 0;
  int shortsInTime = 0;
  for (double now = 0; now < kDurationMs; now += gap(random)) {
    if (kind(random) < kLongPerMs) {
      ++longs;
      longsInTime +=
        load.Run(LongPrompt(prefixKey(random)), now) < kLongInTimeMs ? 1 : 0;
    } else {
      ++shorts;
      shortsInTime +=
        load.Run(ShortPrompt(1000 + prefixKey(random)), now) < kShortInTimeMs
          ? 1
          : 0;
    }
  }
  EXPECT_GE(longsInTime, longs * 99 / 100);
  EXPECT_GE(shortsInTime, shorts * 99 / 100);
  const double processedOnce = kSharedPrefixes * (5400.0 + 200.0);
  EXPECT_LT(load.SharedTokensProcessed(), 1.5 * processedOnce);
}

} // namespace
} // namespace sapphirespar::policy
