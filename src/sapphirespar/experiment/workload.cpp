// The loads of the two users and their arrivals.
#include "sapphirespar/experiment/workload.hpp"

#include "sapphirespar/experiment/draws.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sapphirespar::experiment {

namespace {

using namespace std::chrono_literals;

constexpr unsigned kAccounts = 10;
constexpr double kBurstFactor = 2.0;

request_class
MakeClass(std::string aName,
          unsigned aTier,
          std::chrono::milliseconds aFirstToken,
          std::chrono::milliseconds aAnswer,
          double aWeight,
          unsigned aSharePercent)
{
  request_class newClass;
  newClass.mId = { std::move(aName) };
  newClass.mTier = aTier;
  newClass.mIdempotent = aTier != 1;
  newClass.mOnce =
    aTier == 1 ? at_most_once_mode::Token : at_most_once_mode::None;
  newClass.mFirstTokenTarget = aFirstToken;
  newClass.mAnswerTarget = aAnswer;
  newClass.mWeight = aWeight;
  newClass.mMinimumSharePercent = aSharePercent;
  return newClass;
}

unsigned
DrawTokens(const class_load& aLoad, random_engine& aRandom)
{
  const auto tokens =
    aLoad.mMedianTokens * std::exp(aLoad.mSpread * Normal(aRandom));
  return std::clamp(static_cast<unsigned>(tokens), 1u, aLoad.mMaximumTokens);
}

arrival
MakeArrival(const class_load& aLoad, steady_time aAt, random_engine& aRandom)
{
  arrival newArrival;
  newArrival.mTokens = DrawTokens(aLoad, aRandom);
  auto& request = newArrival.mRequest;
  request.mClass = aLoad.mClass.mId;
  // The product favours low numbers, so that a few accounts send most requests.
  const auto account = Uniform(aRandom) * Uniform(aRandom) * kAccounts;
  request.mAccount = { std::to_string(static_cast<unsigned>(account)) };
  request.mPool = kPool;
  request.mPromptTokens = aLoad.mPromptTokens;
  request.mMaximumTokens = aLoad.mMaximumTokens;
  request.mArrival = aAt;
  request.mFirstTokenBy = aAt + aLoad.mClass.mFirstTokenTarget;
  request.mAnswerBy = aAt + aLoad.mClass.mAnswerTarget;
  return newArrival;
}

void
AddArrivals(const class_load& aLoad,
            scenario aScenario,
            random_engine aRandom,
            std::vector<arrival>& aInto)
{
  for (steady_time at{}; at < steady_time{ kArrivalsEnd };) {
    const bool bursts = aScenario == scenario::Burst &&
                        at >= steady_time{ kChangeStart } &&
                        at < steady_time{ kBurstEnd };
    const auto rate = aLoad.mRequestsPerSecond * (bursts ? kBurstFactor : 1.0);
    const std::chrono::duration<double> gap{ Exponential(aRandom, rate) };
    at += std::chrono::duration_cast<steady_duration>(gap);
    aInto.push_back(MakeArrival(aLoad, at, aRandom));
  }
}

} // namespace

user_load
KalnozolsLoad()
{
  return {
    "kalnozols",
    9,
    { { MakeClass("confirmation", 1, 500ms, 10s, 10, 0), 7, 40, 0.5, 200, 300 },
      { MakeClass("price", 2, 1s, 20s, 3, 0), 10, 90, 0.6, 600, 200 },
      { MakeClass("note", 3, 3s, 45s, 1, 5), 1.7, 200, 0.7, 1000, 500 },
      { MakeClass("summary", 3, 5s, 120s, 2, 5), 1.7, 500, 0.8, 3000, 2000 } }
  };
}

user_load
LankaSeaboardLoad()
{
  return {
    "lanka_seaboard",
    18,
    { { MakeClass("booking", 1, 500ms, 10s, 20, 0), 5, 50, 0.5, 250, 400 },
      { MakeClass("question", 2, 1s, 30s, 3, 0), 10, 150, 0.6, 800, 300 },
      { MakeClass("draft", 3, 10s, 300s, 8, 10), 1.7, 1500, 0.9, 6000, 4000 },
      { MakeClass("tag", 3, 3s, 10s, 0.2, 2), 25, 12, 0.3, 40, 200 } }
  };
}

user_load
ScaleLoad(user_load aLoad, unsigned aEngines)
{
  const auto factor = static_cast<double>(aEngines) / aLoad.mEngines;
  aLoad.mEngines = aEngines;
  for (auto& load : aLoad.mClasses) {
    load.mRequestsPerSecond *= factor;
  }
  return aLoad;
}

std::string_view
ToText(scenario aScenario)
{
  switch (aScenario) {
    case scenario::Calm:
      return "calm";
    case scenario::Burst:
      return "burst";
    case scenario::Crash:
      return "crash";
    case scenario::SlowEngine:
      return "slow_engine";
  }
  return "unknown";
}

bundle_ptr
MakeBundle(const user_load& aLoad)
{
  auto newBundle = std::make_shared<bundle>();
  newBundle->mVersion = { 1, 1 };
  std::ranges::transform(aLoad.mClasses,
                         std::back_inserter(newBundle->mClasses),
                         &class_load::mClass);
  return newBundle;
}

std::vector<arrival>
MakeArrivals(const user_load& aLoad, scenario aScenario, std::uint64_t aSeed)
{
  std::vector<arrival> arrivals;
  random_engine seeds(aSeed);
  for (const auto& load : aLoad.mClasses) {
    AddArrivals(load, aScenario, random_engine(seeds()), arrivals);
  }
  std::ranges::stable_sort(arrivals, {}, [](const arrival& aArrival) {
    return aArrival.mRequest.mArrival;
  });
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    arrivals[i].mRequest.mId = { std::to_string(i) };
  }
  return arrivals;
}

} // namespace sapphirespar::experiment
