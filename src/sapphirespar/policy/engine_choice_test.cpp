// Tests of the choice of an engine: single choices, and a load played against
// engines that read prompts in order, with what its callers get.
#include "sapphirespar/policy/engine_choice.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace sapphirespar::policy {
namespace {

constexpr double kShare = 0.34;

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
  return ChooseEngine(aWork, aEngines, kShare, aDraw)->mIndex;
}

TEST(ChooseEngine, ChoosesNothingWithoutEngines)
{
  EXPECT_FALSE(ChooseEngine(LongPrompt(7), {}, kShare, 0.5));
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

TEST(ChooseEngine, AllRoutersSendASharedPartToTheSameEngine)
{
  const auto engines = Engines(18);
  for (std::uint64_t key = 1; key < 100; ++key) {
    const auto first = ChosenFor(LongPrompt(key), engines, 0.1);
    EXPECT_EQ(first, ChosenFor(LongPrompt(key), engines, 0.9));
  }
}

TEST(ChooseEngine, ABusyHomeGivesWayAtLast)
{
  auto engines = Engines(9);
  const auto home = ChosenFor(LongPrompt(7), engines);
  engines[home].mLoad.mOtherTokens = 12'000;
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines), home);
  engines[home].mLoad.mOtherTokens = 200'000;
  const auto second = ChosenFor(LongPrompt(7), engines);
  EXPECT_NE(second, home);
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines, 0.1), second);
}

TEST(ChooseEngine, ABusyFleetWaitsForTheHomeRatherThanReadAgain)
{
  auto engines = Engines(9);
  const auto home = ChosenFor(LongPrompt(7), engines);
  engines[home].mLoad.mOtherTokens = 80'000;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), home);
  for (auto& engine : engines) {
    engine.mLoad.mRunning = 60;
  }
  EXPECT_EQ(ChosenFor(LongPrompt(7), engines), home);
}

TEST(ChooseEngine, AnEngineLessMovesFewSharedParts)
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

TEST(ChooseEngine, AvoidsEnginesThatFailOrLackRoom)
{
  auto engines = Engines(9);
  const auto home = ChosenFor(LongPrompt(7), engines);
  engines[home].mPenaltyMs = 2500;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), home);
  engines = Engines(9);
  engines[home].mLoad.mMemoryTokens = 695'000;
  EXPECT_NE(ChosenFor(LongPrompt(7), engines), home);
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
    const auto before = ChooseEngine(work, engines, kShare, 0.5);
    for (auto& engine : engines) {
      engine.mLoad.mOtherTokens += 8192;
    }
    const auto after = ChooseEngine(work, engines, kShare, 0.5);
    RC_ASSERT(after->mFirstEventMs >= before->mFirstEventMs);
  }));
}

// Plays arrivals against engines that read one prompt after another, urgent
// ones first, and counts callers whose first event is in time.
class played_load
{
public:
  explicit played_load(unsigned aEngines)
    : mEngines(Engines(aEngines))
    , mFreeAt(aEngines, 0)
    , mHeld(aEngines)
  {
  }

  // Returns the milliseconds until the first event.
  double Play(const prompt_work& aWork, double aNowMs)
  {
    for (std::size_t index = 0; index < mEngines.size(); ++index) {
      const double waiting = std::max(mFreeAt[index] - aNowMs, 0.0);
      mEngines[index].mLoad.mOtherTokens = waiting / PrefillMs(1);
      mEngines[index].mHasSharedPrefix =
        mHeld[index].contains(aWork.mSharedKey);
    }
    const auto index = ChosenFor(aWork, mEngines, mDraw(mRandom));
    const bool held = !mHeld[index].insert(aWork.mSharedKey).second;
    const double tokens =
      aWork.mPromptTokens - (held ? aWork.mSharedTokens : 0);
    mRereadTokens += held ? 0 : aWork.mSharedTokens;
    const double begin = std::max(mFreeAt[index], aNowMs);
    mFreeAt[index] = begin + PrefillMs(tokens);
    mLongest[index] = std::max(mLongest[index], mFreeAt[index] - aNowMs);
    return mFreeAt[index] - aNowMs;
  }

  double RereadTokens() const { return mRereadTokens; }

private:
  std::vector<engine_candidate> mEngines;
  std::vector<double> mFreeAt;
  std::vector<std::set<std::uint64_t>> mHeld;
  std::map<std::size_t, double> mLongest;
  double mRereadTokens = 0;
  std::mt19937_64 mRandom{ 20261203 };
  std::uniform_real_distribution<double> mDraw{ 0, 1 };
};

// A burst of long prompts, more than twice the usual, beside short ones: the
// short ones' callers notice nothing, the long ones are in time, and shared
// parts are read about once.
TEST(ChooseEngine, CarriesABurstOfLongPromptsBesideShortOnes)
{
  constexpr double kLongPerMs = 0.034;
  constexpr double kShortPerMs = 0.021;
  constexpr double kLengthMs = 9000;
  constexpr double kLongInTimeMs = 2000;
  constexpr double kShortInTimeMs = 300;
  constexpr std::uint64_t kSubjects = 69;
  played_load load(9);
  std::mt19937_64 random(1);
  std::exponential_distribution<double> gap(kLongPerMs + kShortPerMs);
  std::uniform_real_distribution<double> kind(0, kLongPerMs + kShortPerMs);
  std::uniform_int_distribution<std::uint64_t> subject(1, kSubjects);
  int longs = 0;
  int longsInTime = 0;
  int shorts = 0;
  int shortsInTime = 0;
  for (double now = 0; now < kLengthMs; now += gap(random)) {
    if (kind(random) < kLongPerMs) {
      ++longs;
      longsInTime +=
        load.Play(LongPrompt(subject(random)), now) < kLongInTimeMs ? 1 : 0;
    } else {
      ++shorts;
      shortsInTime +=
        load.Play(ShortPrompt(1000 + subject(random)), now) < kShortInTimeMs
          ? 1
          : 0;
    }
  }
  EXPECT_GE(longsInTime, longs * 99 / 100);
  EXPECT_GE(shortsInTime, shorts * 99 / 100);
  const double once = kSubjects * (5400.0 + 200.0);
  EXPECT_LT(load.RereadTokens(), 1.5 * once);
}

} // namespace
} // namespace sapphirespar::policy
