// Parses workload files and draws random arrivals from them.
#include "sapphirespar/tools/workload.hpp"

#include "sapphirespar/config/toml_reader.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <random>

namespace sapphirespar::tools {
namespace {

using std::chrono::microseconds;

constexpr std::array<text_choice<upstream_kind>, 2> kKinds{ {
  { "engine", upstream_kind::Engine },
  { "service", upstream_kind::Service },
} };
constexpr std::array<text_choice<key_source>, 3> kKeySources{ {
  { "none", key_source::None },
  { "own", key_source::CallerGenerated },
  { "token", key_source::Token },
} };

constexpr std::int64_t kDayMs = 24LL * 60 * 60 * 1000;
constexpr integer_bounds kOffsetBounds{ 0, kDayMs };
constexpr integer_bounds kDurationBounds{ 1, kDayMs };
constexpr integer_bounds kCountBounds{ 1, 1000000 };
constexpr integer_bounds kRetryBounds{ 0, 100 };
// Reports store the seed as a JSON number and read it as a double, which is
// exact up to 2^53.
constexpr integer_bounds kSeedBounds{ 0, 1LL << 53 };
constexpr real_bounds kRateBounds{ 0.001, 1e6 };
constexpr real_bounds kFactorBounds{ 0, 1e4 };

unsigned
ReadCount(toml_table& aTable, std::string_view aKey, unsigned aFallback)
{
  return static_cast<unsigned>(aTable.Integer(aKey, kCountBounds, aFallback));
}

void
ReadEngineClass(toml_table& aTable, class_load& aClass)
{
  aClass.mModel = aTable.Text("model");
  aClass.mPromptWords = ReadCount(aTable, "prompt_words", aClass.mPromptWords);
  aClass.mMaximumTokens =
    ReadCount(aTable, "maximum_tokens", aClass.mMaximumTokens);
  aClass.mStream = aTable.Flag("stream", aClass.mStream);
}

class_load
ReadClass(toml_table& aTable)
{
  class_load item;
  item.mClass = aTable.Text("class");
  item.mKind = aTable.Choice<upstream_kind>("kind", kKinds, item.mKind);
  if (item.mKind == upstream_kind::Engine) {
    ReadEngineClass(aTable, item);
  } else {
    item.mService = aTable.Text("service");
    item.mPath = aTable.Text("path");
  }
  item.mBearer = aTable.Text("bearer");
  item.mRatePerSecond = aTable.Real("rate_per_second", kRateBounds);
  item.mKey = aTable.Choice<key_source>("key", kKeySources, item.mKey);
  item.mFirstTokenTarget = aTable.Milliseconds(
    "first_token_ms", kDurationBounds, item.mFirstTokenTarget.count());
  item.mAnswerTarget = aTable.Milliseconds(
    "answer_ms", kDurationBounds, item.mAnswerTarget.count());
  item.mRetries = static_cast<unsigned>(
    aTable.Integer("retries", kRetryBounds, item.mRetries));
  item.mRetriesUnknown = aTable.Flag("ask_after_unknown", item.mRetriesUnknown);
  return item;
}

load_burst
ReadBurst(toml_table& aTable, const workload& aWorkload)
{
  load_burst item;
  item.mClass = aTable.Text("class");
  item.mFrom = aTable.Milliseconds("from_ms", kOffsetBounds);
  item.mUntil = aTable.Milliseconds("until_ms", kOffsetBounds);
  item.mFactor = aTable.Real("factor", kFactorBounds);
  const auto& classes = aWorkload.mClasses;
  if (std::ranges::find(classes, item.mClass, &class_load::mClass) ==
      classes.end()) {
    aTable.Fail("class", "no class \"" + item.mClass + "\" in this workload");
  }
  if (item.mUntil <= item.mFrom) {
    aTable.Fail("until_ms", "must be over from_ms");
  }
  return item;
}

fault_step
ReadFault(toml_table& aTable)
{
  fault_step item;
  item.mAt = aTable.Milliseconds("at_ms", kOffsetBounds);
  item.mStandin = aTable.Text("standin");
  item.mFaults = aTable.Text("faults");
  boost::system::error_code error;
  const auto value = boost::json::parse(item.mFaults, error);
  if (error || !value.is_object()) {
    aTable.Fail("faults", "expected a JSON object such as {\"crash\":true}");
  }
  return item;
}

void
ReadWorkload(toml_table& aTable, workload& aWorkload)
{
  aWorkload.mName = aTable.Text("name");
  aWorkload.mSeed = static_cast<std::uint64_t>(
    aTable.Integer("seed", kSeedBounds, aWorkload.mSeed));
  aWorkload.mDuration = aTable.Milliseconds("duration_ms", kDurationBounds);
  aWorkload.mCallerTimeout = aTable.Milliseconds(
    "patience_ms", kDurationBounds, aWorkload.mCallerTimeout.count());
  aWorkload.mCallers = ReadCount(aTable, "callers", aWorkload.mCallers);
  aTable.EachTable("classes", [&](toml_table& aChild) {
    aWorkload.mClasses.push_back(ReadClass(aChild));
  });
  aTable.EachTable("bursts", [&](toml_table& aChild) {
    aWorkload.mBursts.push_back(ReadBurst(aChild, aWorkload));
  });
  aTable.EachTable("faults", [&](toml_table& aChild) {
    aWorkload.mFaults.push_back(ReadFault(aChild));
  });
  if (aWorkload.mClasses.empty()) {
    aTable.Fail("classes", "expected at least one class");
  }
}

// Returns the factor by which bursts multiply a class's rate at time aAt.
double
RateFactorAt(const workload& aWorkload,
             const std::string& aClass,
             microseconds aAt)
{
  double factor = 1;
  for (const auto& burst : aWorkload.mBursts) {
    if (burst.mClass == aClass && aAt >= burst.mFrom && aAt < burst.mUntil) {
      factor *= burst.mFactor;
    }
  }
  return factor;
}

// Returns an upper bound of RateFactorAt over the run.
double
MaxRateFactor(const workload& aWorkload, const std::string& aClass)
{
  double highestFactor = 1;
  for (const auto& burst : aWorkload.mBursts) {
    const bool raises = burst.mClass == aClass && burst.mFactor > 1;
    highestFactor *= raises ? burst.mFactor : 1;
  }
  return highestFactor;
}

// Draws a Poisson process with a varying rate by thinning: draws arrivals at
// the highest rate, and keeps each with a probability of the rate at its time
// divided by the highest rate.
void
AddArrivals(const workload& aWorkload,
            std::size_t aClass,
            std::vector<arrival>& aArrivals)
{
  const auto& load = aWorkload.mClasses[aClass];
  constexpr double kMicrosecondsPerSecond = 1e6;
  // Each class has a random sequence of its own.
  std::mt19937_64 random(aWorkload.mSeed * 1000003 + aClass);
  const double highestFactor = MaxRateFactor(aWorkload, load.mClass);
  std::exponential_distribution<double> gap(
    load.mRatePerSecond * highestFactor / kMicrosecondsPerSecond);
  std::uniform_real_distribution<double> acceptance(0, highestFactor);
  double at = gap(random);
  while (at < static_cast<double>(microseconds(aWorkload.mDuration).count())) {
    const microseconds moment(static_cast<std::int64_t>(at));
    if (acceptance(random) < RateFactorAt(aWorkload, load.mClass, moment)) {
      aArrivals.push_back({ moment, aClass, 0 });
    }
    at += gap(random);
  }
}

} // namespace

result<workload>
ParseWorkload(std::string_view aText, std::string_view aFile)
{
  workload parsed;
  BOOST_LEAF_CHECK(ReadToml(
    aText, aFile, [&](toml_table& aTable) { ReadWorkload(aTable, parsed); }));
  return parsed;
}

result<workload>
LoadWorkload(const std::string& aPath)
{
  BOOST_LEAF_AUTO(text, ReadTextFile(aPath));
  return ParseWorkload(text, aPath);
}

std::vector<arrival>
Arrivals(const workload& aWorkload)
{
  std::vector<arrival> arrivals;
  for (std::size_t index = 0; index < aWorkload.mClasses.size(); ++index) {
    AddArrivals(aWorkload, index, arrivals);
  }
  std::ranges::stable_sort(arrivals, {}, &arrival::mAt);
  std::uint64_t number = 0;
  for (auto& item : arrivals) {
    item.mNumber = ++number;
  }
  return arrivals;
}

std::string
PromptFor(const workload& aWorkload, const arrival& aArrival)
{
  constexpr std::uint64_t kVocabulary = 5000;
  const auto& load = aWorkload.mClasses[aArrival.mClass];
  std::mt19937_64 random(aWorkload.mSeed ^ (aArrival.mNumber << 20));
  std::string prompt = load.mClass + " " + std::to_string(aWorkload.mSeed) +
                       "-" + std::to_string(aArrival.mNumber);
  for (unsigned word = 0; word < load.mPromptWords; ++word) {
    prompt += " word" + std::to_string(random() % kVocabulary);
  }
  return prompt;
}

} // namespace sapphirespar::tools
