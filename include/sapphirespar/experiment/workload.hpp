// The load of an experiment: the classes of two users with their rates and
// lengths, and the arrivals generated from a seed.
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

// Response lengths follow a log-normal distribution, cut off at the maximum.
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

// One user: the number of engines and the load on them.
struct user_load
{
  std::string mName;
  unsigned mEngines = 0;
  std::vector<class_load> mClasses;
};

user_load KalnozolsLoad();
user_load LankaSeaboardLoad();

// Returns the proportional part of a load for aEngines engines, as one owner
// among several has it.
user_load ScaleLoad(user_load aLoad, unsigned aEngines);

enum class scenario
{
  Calm,
  // Arrivals double for two minutes.
  Burst,
  // One engine breaks its streams and refuses new ones for a minute.
  Crash,
  // One engine takes four times as long for a minute.
  SlowEngine,
};

inline constexpr scenario kScenarios[] = { scenario::Calm,
                                           scenario::Burst,
                                           scenario::Crash,
                                           scenario::SlowEngine };

std::string_view ToText(scenario aScenario);

// A request and the length of its response, which schedulers must not see.
struct arrival
{
  policy::queued_request mRequest;
  unsigned mTokens = 0;
};

// Start and end of the scenario's burst or fault, and end of all arrivals, from
// the start of the run.
inline constexpr std::chrono::seconds kChangeStart{ 60 };
inline constexpr std::chrono::seconds kBurstEnd{ 180 };
inline constexpr std::chrono::seconds kFaultEnd{ 120 };
inline constexpr std::chrono::seconds kArrivalsEnd{ 300 };

// Pool of every request.
inline constexpr std::string_view kPool = "model";

bundle_ptr MakeBundle(const user_load& aLoad);

// Returns all requests in order of arrival; the same seed gives the same ones.
std::vector<arrival> MakeArrivals(const user_load& aLoad,
                                  scenario aScenario,
                                  std::uint64_t aSeed);

} // namespace sapphirespar::experiment
