// The load of an experiment: two users' classes with their rates and lengths,
// and the arrivals that one seed makes of them.
#pragma once

#include "sapphirespar/model/bundle.hpp"
#include "sapphirespar/policy/scheduler.hpp"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirespar::experiment {

// Answer lengths follow a log-normal distribution, cut off at the maximum.
struct class_load
{
  request_class mClass;
  double mRequestsPerSecond = 0;
  double mMedianTokens = 0;
  // Standard deviation of the logarithm of the length.
  double mSpread = 0;
  unsigned mMaximumTokens = 0;
  unsigned mPromptTokens = 0;
};

// One user: a fleet of engines and what is asked of it.
struct user_load
{
  std::string mName;
  unsigned mEngines = 0;
  std::vector<class_load> mClasses;
};

user_load KalnozolsLoad();
user_load LankaSeaboardLoad();

// The part of a load that falls to aEngines engines, as one home among several
// sees it.
user_load ScaledTo(user_load aLoad, unsigned aEngines);

enum class scenario
{
  Calm,
  // Twice the arrivals for two minutes.
  Burst,
  // One engine drops its streams and refuses all for a minute.
  Crash,
  // One engine takes four times as long for a minute.
  SlowEngine,
};

inline constexpr scenario kScenarios[] = { scenario::Calm,
                                           scenario::Burst,
                                           scenario::Crash,
                                           scenario::SlowEngine };

std::string_view ToText(scenario aScenario);

// A request with the length of its answer, which only the engine may use.
struct arrival
{
  policy::queued_request mRequest;
  unsigned mTokens = 0;
};

// Times of the scenario's change, from the start of the run.
inline constexpr std::chrono::seconds kChangeStart{ 60 };
inline constexpr std::chrono::seconds kBurstEnd{ 180 };
inline constexpr std::chrono::seconds kFaultEnd{ 120 };
inline constexpr std::chrono::seconds kArrivalsEnd{ 300 };

// Pool that every request asks for.
inline constexpr std::string_view kPool = "model";

bundle_ptr BundleOf(const user_load& aLoad);

// Returns all requests in order of arrival; the same seed gives the same.
std::vector<arrival> MakeArrivals(const user_load& aLoad,
                                  scenario aScenario,
                                  std::uint64_t aSeed);

} // namespace sapphirespar::experiment
